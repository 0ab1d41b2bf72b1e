"""Large jobs in parts: fixed ranges of tasks, each with a record of its own that a value can always hold.

The head of such a job says which parts have a record (opened) and which need none any more (closed), so that its
version vouches for the set of parts; a part's record has the claims and done tasks of its range.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.allocations import Allocation, pack_allocations, shift_tasks, unpack_allocations
from tidebend.cluster_state.task_bitmap import from_text, interval, to_text
from tidebend.kvclient import LIVE

CHUNK = LIVE + "part/"
# bytes of a value for each task of a part: a claim of one task on a machine of its own takes about so many
BYTES_A_TASK = 24


def chunk_size(value_bytes: int) -> int:
    """Tasks in a part: with each on a machine of its own, the claims made at one event fit."""
    return max(1, value_bytes // BYTES_A_TASK)


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part's record; task numbers count from 0 in the whole job here, and from the part's first in the record."""

    version: int = 0
    started: int = 0  # the highest attempt so far
    ended: int = 0  # claimed tasks whose claims have ended
    done: int = 0
    allocations: tuple[Allocation, ...] = ()
    source: int = 0  # the version of the record that it was split from, until it has been changed

    def pack(self, first: int) -> dict[str, Any]:
        value: dict[str, Any] = {"started": self.started, "ended": self.ended}
        if self.done:
            value["done"] = to_text(self.done >> first)
        if self.allocations:
            value["claims"] = pack_allocations(shift_tasks(self.allocations, -first))
        if self.source:
            value["source"] = self.source
        return value

    @staticmethod
    def unpack(value: dict[str, Any], version: int, first: int) -> Chunk:
        return Chunk(
            version,
            value["started"],
            value["ended"],
            from_text(value.get("done", "")) << first,
            tuple(shift_tasks(unpack_allocations(value.get("claims", ())), first)),
            value.get("source", 0),
        )


@dataclass(frozen=True, slots=True)
class ChunkIndex:
    """What the head says of its parts, and the records of those that are open."""

    size: int
    opened: int = 0  # bitmap of parts that have a record
    closed: int = 0  # bitmap of parts whose record is no longer needed
    ended: int = 0  # claimed tasks of closed parts, all of whose claims have ended
    started: int = 0  # the highest attempt in parts that have no record
    rows: tuple[tuple[int, Chunk], ...] = ()

    def mask(self, number: int) -> int:
        return interval(number * self.size, (number + 1) * self.size - 1)

    def numbers(self, tasks: int) -> list[int]:
        """The parts in which some of these tasks lie."""
        found = []
        while tasks:
            number = ((tasks & -tasks).bit_length() - 1) // self.size
            found.append(number)
            tasks &= ~self.mask(number)
        return found

    def pack(self) -> list[Any]:
        return [self.size, f"{self.opened:x}", f"{self.closed:x}", self.ended, self.started]

    @staticmethod
    def unpack(row: list[Any]) -> ChunkIndex:
        return ChunkIndex(row[0], int(row[1], 16), int(row[2], 16), *row[3:])

    @property
    def unknown(self) -> int:
        """Open parts whose records we haven't got."""
        return self.opened & ~sum(1 << number for number, _ in self.rows)
