"""Chunks of large jobs: fixed ranges of tasks, each with a record that always fits into one value.

The job's head lists which chunks have a record (open) and which no longer need one (closed), so the version of the head
determines the set of chunks. A chunk's record contains the allocations and done tasks of its range.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.allocations import Allocation, pack_allocations, shift_tasks, unpack_allocations
from tidebend.cluster_state.task_bitmap import bit_range, format_ranges, parse_ranges
from tidebend.kvclient import LIVE

# key prefix of chunks
CHUNK_PREFIX = LIVE + "part/"
# bytes of a value reserved for each task of a chunk: the size of an allocation of one task to one machine
BYTES_PER_TASK = 24


def chunk_size(value_bytes: int) -> int:
    """Return the number of tasks in a chunk, for values of at most `value_bytes`.

    The allocations of one event fit even if each task is allocated to a different machine.
    """
    return max(1, value_bytes // BYTES_PER_TASK)


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of a job. Task indexes are relative to the job here, and to the chunk in its record."""

    version: int = 0  # of the chunk's record; 0 if there is none yet
    last_attempt: int = 0  # the highest attempt so far in this chunk, or in the job before its record was split
    ended_count: int = 0  # number of tasks whose allocation has ended
    done: int = 0  # bitmap of task indexes
    allocations: tuple[Allocation, ...] = ()
    source: int = 0  # version of the job's record that the chunk was split from; 0 once the chunk was changed

    def pack(self, first: int) -> dict[str, Any]:
        """Return the record; `first` is the index of the chunk's first task."""
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
        """Parse a record; `version` is its version, `first` the index of the chunk's first task."""
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
    """The chunks of a job as listed in its head, and the known records of the open ones."""

    size: int  # tasks in a chunk
    open_chunks: int = 0  # bitmap of the chunks that have a record
    closed_chunks: int = 0  # bitmap of the chunks that no longer need a record
    ended_count: int = 0  # number of tasks in closed chunks whose allocation has ended
    last_attempt: int = 0  # the highest attempt in closed chunks, or before the split
    records: tuple[tuple[int, Chunk], ...] = ()  # (number, chunk) of open chunks, in ascending order

    def tasks_in(self, number: int) -> int:
        """Return the bitmap of a chunk's tasks; for the last chunk it may extend beyond the job's last task."""
        return bit_range(number * self.size, (number + 1) * self.size - 1)

    def chunks_with(self, tasks: int) -> list[int]:
        """Return the numbers of the chunks that contain any of these tasks."""
        found = []
        while tasks:
            number = ((tasks & -tasks).bit_length() - 1) // self.size
            found.append(number)
            tasks &= ~self.tasks_in(number)
        return found

    def pack(self) -> list[Any]:
        """Return the form in the head: size, open and closed chunks in hexadecimal, ended tasks, last attempt."""
        return [self.size, f"{self.open_chunks:x}", f"{self.closed_chunks:x}", self.ended_count, self.last_attempt]

    @staticmethod
    def unpack(row: list[Any]) -> ChunkIndex:
        """Parse the form in the head; `ChunkedJob.with_chunk_records` adds the records of the chunks."""
        size, open_chunks, closed_chunks, *counts = row
        return ChunkIndex(size, int(open_chunks, 16), int(closed_chunks, 16), *counts)

    @property
    def missing_records(self) -> int:
        """The bitmap of open chunks whose records aren't known."""
        return self.open_chunks & ~sum(1 << number for number, _ in self.records)
