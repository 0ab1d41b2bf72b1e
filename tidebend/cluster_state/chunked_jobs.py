"""Jobs whose record is split into chunks: conversion between the whole job and its head with chunks."""

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
    """A job with conversions to and from its chunks, all of which require a job with a chunk index."""

    def with_chunk_records(self, chunks: Mapping[int, Chunk]) -> Self:
        """Return the whole job, from its head and the records of its chunks by number.

        Records of chunks that aren't open according to the head are ignored.
        """
        index = self._chunk_index()
        records = tuple((number, chunks[number]) for number in sorted(chunks) if index.open_chunks >> number & 1)
        done = 0
        if not self.cancelled:  # a cancelled job may have closed chunks with tasks that aren't done
            for number in set_bits(index.closed_chunks):
                done |= index.tasks_in(number)
        allocations: tuple[Allocation, ...] = ()
        for _, chunk in records:
            done |= chunk.done
            allocations += chunk.allocations
        return replace(
            self,
            chunks=replace(index, records=records),
            done=done & self.all_tasks,
            allocations=allocations,
            last_attempt=max([index.last_attempt, *(chunk.last_attempt for _, chunk in records)]),
            ended_count=index.ended_count + sum(chunk.ended_count for _, chunk in records),
        )

    def changed_chunks(self, before: JobState) -> list[int]:
        """Return the numbers of the chunks in which allocations or done tasks differ from those of `before`."""
        tasks = self.done ^ before.done
        for allocation in set(self.allocations) ^ set(before.allocations):
            tasks |= allocation.tasks
        return self._chunk_index().chunks_with(tasks)

    def chunk_of(self, number: int, before: JobState) -> Chunk:
        """Return a chunk of this job; `before` is the version of the job that this one was derived from."""
        tasks = self._chunk_index().tasks_in(number)
        old = dict(before.chunks.records).get(number, Chunk()) if before.chunks else Chunk()
        allocations = restrict_to(self.allocations, tasks)
        remaining = {
            (allocation.machine, allocation.session, allocation.attempt): allocation.tasks for allocation in allocations
        }
        ended_count = sum(
            (
                allocation.tasks & ~remaining.get((allocation.machine, allocation.session, allocation.attempt), 0)
            ).bit_count()
            for allocation in old.allocations
        )
        last_attempt = max([old.last_attempt, *(allocation.attempt for allocation in allocations)])
        return Chunk(old.version, last_attempt, old.ended_count + ended_count, self.done & tasks, allocations)

    def chunk_is_finished(self, number: int, chunk: Chunk) -> bool:
        """Whether a chunk needs no record any more: none of its tasks is allocated or will be."""
        if chunk.allocations:
            return False
        return self.cancelled or chunk.done == self._chunk_index().tasks_in(number) & self.all_tasks

    def with_chunks_closed(self, numbers: Collection[int]) -> Self:
        """Return the job with some chunks closed.

        All tasks of these chunks must be done; if the job is cancelled, it is enough that none of them is allocated.
        """
        index = self._chunk_index()
        bits = sum(1 << number for number in numbers)
        closed = [chunk for number, chunk in index.records if number in numbers]
        return replace(
            self,
            chunks=replace(
                index,
                open_chunks=index.open_chunks & ~bits,
                closed_chunks=index.closed_chunks | bits,
                ended_count=index.ended_count + sum(chunk.ended_count for chunk in closed),
                last_attempt=max([index.last_attempt, *(chunk.last_attempt for chunk in closed)]),
                records=tuple(record for record in index.records if record[0] not in numbers),
            ),
        )

    def _chunk_index(self) -> ChunkIndex:
        assert self.chunks is not None, "the job's record isn't split into chunks"
        return self.chunks
