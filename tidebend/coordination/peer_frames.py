"""The frames that controllers send each other, past the key-value store: their typed form, and how it is packed.

Controllers of two versions exchange frames during an upgrade, so that the names of fields and the order of a machine's
values are fixed; they differ from the attributes here. Frames hold thousands of machines and are sent about twice a
second, so that a machine is a plain tuple with names.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from tidebend.coordination.shards import ShardHolder


class InvalidPeerFrameError(Exception):
    """A frame can't be read."""


class PeerMachine(NamedTuple):
    """A machine that the sender holds, or one that it has released, in the order of the frame's values."""

    name: str
    type: str
    zone: str
    spot: int  # 1 or 0
    released: int  # 1 or 0; of a released machine the frame holds only the name
    host: str
    port: int  # 0: the address isn't known
    session: int

    @classmethod
    def of_released(cls, name: str) -> PeerMachine:
        """A machine that the sender has released."""
        return cls(name, "", "", 0, 1, "", 0, 0)


@dataclass(frozen=True, slots=True)
class PeerFrame:
    """What a controller knows of shards and machines."""

    sender: str
    state_as_of: float  # time of day at which its last completed read of the key-value store began
    machines: Sequence[PeerMachine]
    held_shards: Sequence[str]
    holders: Mapping[str, ShardHolder]
    # Unknown to controllers before format 2, and None to them.
    crash_looping_jobs: Sequence[str] | None = None  # jobs that failed wherever the sender tried them
    report_ages_s: Mapping[str, float] | None = None  # shard -> seconds since a worker last reported

    def pack(self) -> dict[str, Any]:
        """The frame as it is sent; machines and holders are encoded as arrays, as any tuple."""
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
        """Read a frame as a whole; raises InvalidPeerFrameError."""
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
        raise TypeError("a token is no integer")
    return holder
