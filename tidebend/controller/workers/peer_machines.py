"""Machines that other controllers have reported in their peer frames."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from tidebend.coordination import PeerState

# the fields of a machine's row in a peer frame; later versions may append others
ROW_FIELDS = 8


class PeerMachine(NamedTuple):
    """A machine's row in a peer frame, in the order of its fields there."""

    name: str
    type: str
    zone: str
    spot: int
    released: int  # 1 for a machine that the peer has released, of which nothing but the name is filled in
    host: str = ""  # empty if the peer doesn't know the worker's address
    port: int = 0
    session: int = 0


def machines_of(peer: PeerState) -> Iterator[PeerMachine]:
    """The machines in the last frame of a peer; none before its first frame."""
    for row in peer.machines or ():
        yield PeerMachine(*row[:ROW_FIELDS])


def released_by(peers: dict[str, PeerState]) -> set[str]:
    """The names of the machines that other controllers have released lately."""
    return {machine.name for peer in peers.values() for machine in machines_of(peer) if machine.released}
