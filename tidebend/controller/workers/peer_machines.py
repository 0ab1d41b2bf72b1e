"""Machines that other controllers have reported in their peer frames."""

from __future__ import annotations

from collections.abc import Sequence

from tidebend.coordination import PeerMachine, PeerState


def machines_of(peer: PeerState) -> Sequence[PeerMachine]:
    """The machines in the last frame of a peer; none before its first frame."""
    return peer.machines or ()


def released_by(peers: dict[str, PeerState]) -> set[str]:
    """The names of the machines that other controllers have released lately."""
    return {machine.name for peer in peers.values() for machine in machines_of(peer) if machine.released}
