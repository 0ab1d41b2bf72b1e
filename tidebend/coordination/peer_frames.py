"""Frames that controllers send each other directly, not through the key-value store: typed form and encoding.

Controllers of two versions exchange frames during a rolling upgrade, so the encoded field names and the order of a
machine's values are fixed; the attribute names here differ from them. A frame contains thousands of machines and is
sent about twice a second, so a machine is a named tuple, which is encoded as a plain array.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from tidebend.coordination.shards import ShardHolder


class InvalidPeerFrameError(Exception):
    """A frame lacks a field or has a value of a wrong type."""


class PeerMachine(NamedTuple):
    """A machine that the sender holds or has released. The order of the fields is the order in the frame."""

    name: str
    type: str
    zone: str
    spot: int  # 1 or 0
    released: int  # 1 or 0; a released machine has no other values than its name
    host: str
    port: int  # 0 if the address is unknown
    session: int

    @classmethod
    def of_released(cls, name: str) -> PeerMachine:
        """Return the entry of a machine that the sender has released."""
        return cls(name, "", "", 0, 1, "", 0, 0)


@dataclass(frozen=True, slots=True)
class PeerFrame:
    """A controller's information on shards and machines."""

    sender: str
    state_as_of: float  # wall-clock time at which the sender's last completed read of the key-value store began
    machines: Sequence[PeerMachine]
    held_shards: Sequence[str]
    holders: Mapping[str, ShardHolder]
    # Controllers before schema version 2 don't know the following fields; they are None in frames for these.
    crash_looping_jobs: Sequence[str] | None = None  # jobs that failed on every machine on which the sender tried them
    report_ages_s: Mapping[str, float] | None = None  # shard -> seconds since a worker last reported

    def pack(self) -> dict[str, Any]:
        """Return the frame in its encoded form; machines and holders are tuples, which are encoded as arrays."""
        frame = {
            "from": self.sender,
            "state_contact": self.state_as_of,
            "machines": list(self.machines),
            "held": list(self.held_shards),
            "blocks": dict(self.holders),
        }
        if self.crash_looping_jobs is not None:
            frame["at_fault"] = list(self.crash_looping_jobs)
        if self.report_ages_s is not None:
            frame["came"] = dict(self.report_ages_s)
        return frame

    @classmethod
    def unpack(cls, frame: Mapping[str, Any]) -> PeerFrame:
        """Return the typed form of a received frame. Raises InvalidPeerFrameError if any part of it is invalid."""
        try:
            return cls(
                sender=frame["from"],
                state_as_of=float(frame["state_contact"]),
                machines=list(map(PeerMachine._make, frame["machines"])),
                held_shards=list(frame["held"]),
                holders={shard: _unpack_holder(row) for shard, row in frame["blocks"].items()},
                crash_looping_jobs=list(frame.get("at_fault", ())),
                report_ages_s={shard: float(age_s) for shard, age_s in frame.get("came", {}).items()},
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise InvalidPeerFrameError(repr(error)) from error


def _unpack_holder(row: Sequence[Any]) -> ShardHolder:
    holder = ShardHolder._make(row)
    if not isinstance(holder.token, int):
        raise TypeError("fencing token is not an integer")
    return holder
