"""Chunks of large jobs: fixed ranges of tasks, each with a record that always fits into a value.

The job's head says which chunks have a record (open) and which need none any more (closed), so that the version of the
head determines the set of chunks. A chunk's record has the allocations and done tasks of its range.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.allocations import Allocation, pack_allocations, shift_tasks, unpack_allocations
from tidebend.cluster_state.task_bitmap import bit_range, format_ranges, parse_ranges
from tidebend.kvclient import LIVE

# key prefix of chunks
CHUNK_PREFIX = LIVE + "part/"
# bytes of a value to allow for each task of a chunk: what the allocation of one task to a machine of its own takes
BYTES_PER_TASK = 24


def chunk_size(value_bytes: int) -> int:
    """Return the number of tasks in a chunk, for values of at most so many bytes.

    The allocations made at one event fit even if each task goes to a machine of its own.
    """
    return max(1, value_bytes // BYTES_PER_TASK)


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk; tasks are numbered within the job here, and from the first of the chunk in the record."""

    version: int = 0  # of its record; 0 if there is none yet
    last_attempt: int = 0  # the highest attempt so far
    ended_count: int = 0  # tasks of allocations that have ended
    done: int = 0  # bitmap
    allocations: tuple[Allocation, ...] = ()
    source: int = 0  # the version of the job's record from which it was split, 0 once it has been changed

    def pack(self, first: int) -> dict[str, Any]:
        """Return the record; `first` is the number of the chunk's first task."""
        value: dict[str, Any] = {"started": self.last_attempt, "ended": self.ended_count}
        if self.done:
            value["done"] = format_ranges(self.done >> first)
        if self.allocations:
            value["claims"] = pack_allocations(shift_tasks(self.allocations, -first))
        if self.source:
            value["source"] = self.source
        return value

    @staticmethod
    def unpack(value: dict[str, Any], version: int, first: int) -> Chunk:
        """Read a record of this version; `first` is the number of the chunk's first task."""
        return Chunk(
            version=version,
            last_attempt=value["started"],
            ended_count=value["ended"],
            done=parse_ranges(value.get("done", "")) << first,
            allocations=tuple(shift_tasks(unpack_allocations(value.get("claims", ())), first)),
            source=value.get("source", 0),
        )


@dataclass(frozen=True, slots=True)
class ChunkIndex:
    """What a job's head says of its chunks, and the records of the open ones that are known."""

    size: int  # tasks in a chunk
    opened: int = 0  # bitmap of the chunks that have a record
    closed: int = 0  # bitmap of the chunks that need no record any more
    ended_count: int = 0  # tasks of allocations in closed chunks, all of which have ended
    last_attempt: int = 0  # the highest attempt in chunks without a record
    rows: tuple[tuple[int, Chunk], ...] = ()  # number and chunk, in ascending order

    def mask(self, number: int) -> int:
        """Return the bitmap of a chunk's tasks; of the last chunk it may go beyond the job's last task."""
        return bit_range(number * self.size, (number + 1) * self.size - 1)

    def numbers(self, tasks: int) -> list[int]:
        """Return the numbers of the chunks that some of these tasks lie in."""
        found = []
        while tasks:
            number = ((tasks & -tasks).bit_length() - 1) // self.size
            found.append(number)
            tasks &= ~self.mask(number)
        return found

    def pack(self) -> list[Any]:
        """Return the form in the head's record: size, open and closed chunks in hexadecimal, ended, started."""
        return [self.size, f"{self.opened:x}", f"{self.closed:x}", self.ended_count, self.last_attempt]

    @staticmethod
    def unpack(row: list[Any]) -> ChunkIndex:
        """Read what `pack` wrote; the records of chunks are added by `ChunkedJob.with_chunk_records`."""
        size, opened, closed, *counts = row
        return ChunkIndex(size, int(opened, 16), int(closed, 16), *counts)

    @property
    def missing_records(self) -> int:
        """The bitmap of open chunks whose records aren't known."""
        return self.opened & ~sum(1 << number for number, _ in self.rows)
