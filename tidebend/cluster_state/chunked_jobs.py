"""Jobs whose record is split: how the whole job follows from its head and chunks, and the chunks from the job."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from typing import Self

from tidebend.cluster_state.allocations import Allocation, restrict_to
from tidebend.cluster_state.job_state import JobState
from tidebend.cluster_state.record_chunks import Chunk, ChunkIndex
from tidebend.cluster_state.task_bitmap import set_bits


@dataclass(frozen=True, slots=True)
class ChunkedJob(JobState):
    """Conversions between a job and its chunks. All of them need a job with a chunk index."""

    def with_chunk_records(self, known: Mapping[int, Chunk]) -> Self:
        """Return the whole job of a head with the records of its chunks, by their number.

        Records that the head doesn't name as open are left out.
        """
        index = self._chunk_index()
        rows = tuple((number, known[number]) for number in sorted(known) if index.opened >> number & 1)
        done = 0
        if not self.cancelled:  # the closed chunks of a cancelled job need not be done
            for number in set_bits(index.closed):
                done |= index.mask(number)
        allocations: tuple[Allocation, ...] = ()
        for _, chunk in rows:
            done |= chunk.done
            allocations += chunk.allocations
        return replace(
            self,
            chunks=replace(index, rows=rows),
            done=done & self.all_tasks,
            allocations=allocations,
            last_attempt=max([index.last_attempt, *(chunk.last_attempt for _, chunk in rows)]),
            ended_count=index.ended_count + sum(chunk.ended_count for _, chunk in rows),
        )

    def changed_chunks(self, before: JobState) -> list[int]:
        """Return the numbers of the chunks in which allocations or done tasks differ."""
        tasks = self.done ^ before.done
        for allocation in set(self.allocations) ^ set(before.allocations):
            tasks |= allocation.tasks
        return self._chunk_index().numbers(tasks)

    def chunk_of(self, number: int, before: JobState) -> Chunk:
        """Return a chunk as it follows from the whole job; `before` is the job that this one was made from."""
        mask = self._chunk_index().mask(number)
        old = dict(before.chunks.rows).get(number, Chunk()) if before.chunks else Chunk()
        allocations = restrict_to(self.allocations, mask)
        left = {
            (allocation.machine, allocation.session, allocation.attempt): allocation.tasks for allocation in allocations
        }
        ended_count = sum(
            (allocation.tasks & ~left.get((allocation.machine, allocation.session, allocation.attempt), 0)).bit_count()
            for allocation in old.allocations
        )
        last_attempt = max([old.last_attempt, *(allocation.attempt for allocation in allocations)])
        return Chunk(old.version, last_attempt, old.ended_count + ended_count, self.done & mask, allocations)

    def chunk_is_finished(self, number: int, chunk: Chunk) -> bool:
        """Whether a chunk needs no record any more: nothing is allocated, and nothing is left to be."""
        if chunk.allocations:
            return False
        return self.cancelled or chunk.done == self._chunk_index().mask(number) & self.all_tasks

    def with_chunks_closed(self, numbers: Collection[int]) -> Self:
        """Return the job with some chunks closed.

        All their tasks are done, or the job is cancelled and none of them is allocated.
        """
        index = self._chunk_index()
        bits = sum(1 << number for number in numbers)
        closed = [chunk for number, chunk in index.rows if number in numbers]
        return replace(
            self,
            chunks=replace(
                index,
                opened=index.opened & ~bits,
                closed=index.closed | bits,
                ended_count=index.ended_count + sum(chunk.ended_count for chunk in closed),
                last_attempt=max([index.last_attempt, *(chunk.last_attempt for chunk in closed)]),
                rows=tuple(row for row in index.rows if row[0] not in numbers),
            ),
        )

    def _chunk_index(self) -> ChunkIndex:
        assert self.chunks is not None, "a job whose record isn't split has no chunks"
        return self.chunks
