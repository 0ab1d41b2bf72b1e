"""Machines that other controllers report in their peer frames."""

from __future__ import annotations

from collections.abc import Sequence

from tidebend.coordination import PeerMachine, PeerState


def machines_of(peer: PeerState) -> Sequence[PeerMachine]:
    """Return the machines in a peer's last frame; none before its first frame."""
    return peer.machines or ()


def released_by(peers: dict[str, PeerState]) -> set[str]:
    """Return the names of the machines that other controllers have recently released."""
    return {machine.name for peer in peers.values() for machine in machines_of(peer) if machine.released}
