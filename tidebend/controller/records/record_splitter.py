"""Splitting of a job's record that has become too large into a head record with chunks."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, Job
from tidebend.cluster_state.record_chunks import Chunk, ChunkIndex, chunk_size
from tidebend.controller.records.job_transaction import chunk_key, delete, put
from tidebend.controller.records.record_limits import ALLOCATIONS_SHARE, RecordLimits, packed_bytes
from tidebend.coordination.schema_version import SCHEMA_VERSION_KEY
from tidebend.kvclient import ConflictError, WatchCache
from tidebend.protocol import Write

log = logging.getLogger("records")


@dataclass
class _SplitJob:
    """The records of a job after the split."""

    head: Job
    index: ChunkIndex
    open_chunks: dict[int, Chunk]
    finished_chunks: int  # bitmap of chunks that no longer need a record

    @property
    def largest_chunk_bytes(self) -> int:
        """The packed size of the largest chunk."""
        sizes = (packed_bytes(self.pack_chunk(number)) for number in self.open_chunks)
        return max(sizes, default=0)

    def pack_chunk(self, number: int) -> dict[str, object]:
        """Return the record of an open chunk."""
        return self.open_chunks[number].pack(number * self.index.size)


class RecordSplitter:
    """Splits the records of jobs, one job at a time."""

    def __init__(self, cache: WatchCache, job_cache: JobCache, record_limits: RecordLimits) -> None:
        """Write through `cache`, with chunks as large as `record_limits` allow."""
        self._cache = cache
        self._job_cache = job_cache
        self._record_limits = record_limits

    def split(self, job_id: str, retry_for_s: float) -> bool:
        """Replace a job's record by a head with chunks; False if the job is gone or was changed meanwhile.

        The chunks are written first, while no head refers to them, then the head. Each step is conditional on the
        version of the record that is split, and each chunk contains that version. The split may therefore be
        interrupted at any step, and several controllers may attempt it. Records written under schema version 1 are
        split only once a change no longer fits. Each write is retried for `retry_for_s`. Raises the errors of
        `WatchCache.write` except conflicts.
        """
        with self._job_cache.lock:
            job = self._job_cache.get(job_id)
            if job is None or job.chunks:
                return job is not None
            source_versions = self._job_cache.chunk_sources(job_id)
        split_job = self._split_to_fit(job)
        head = split_job.head
        try:
            self._write_chunks(job, split_job, source_versions, retry_for_s)
            self._write_head(job, head, retry_for_s)
        except ConflictError:
            self._cache.barrier(self._cache.client.timeout, "claim")
            return False
        chunks = len(split_job.open_chunks) + split_job.finished_chunks.bit_count()
        log.info("job %s: record split into %d chunks", job_id, chunks)
        return True

    def _split_to_fit(self, job: Job) -> _SplitJob:
        """Split a job into the largest chunks whose records leave room for later changes."""
        max_bytes = ALLOCATIONS_SHARE * self._record_limits.max_value_bytes
        size = min(chunk_size(self._record_limits.max_value_bytes), job.spec.tasks)
        split_job = self._split_into(job, size)
        while size > 1 and split_job.largest_chunk_bytes > max_bytes:
            size = max(1, size // 2)
            split_job = self._split_into(job, size)
        return split_job

    @staticmethod
    def _split_into(job: Job, size: int) -> _SplitJob:
        """Split a job into chunks of `size` tasks."""
        index = ChunkIndex(size, ended_count=job.ended_count, last_attempt=job.last_attempt)
        whole = replace(job, chunks=index)
        open_chunks: dict[int, Chunk] = {}
        finished = 0
        for number in index.chunks_with(whole.done | whole.allocated):
            chunk = replace(whole.chunk_of(number, job), source=job.version, last_attempt=job.last_attempt)
            if whole.chunk_is_finished(number, chunk):
                finished |= 1 << number
            else:
                open_chunks[number] = chunk
        open_bitmap = sum(1 << number for number in open_chunks)
        head_index = replace(index, open_chunks=open_bitmap, closed_chunks=0 if job.cancelled else finished)
        return _SplitJob(replace(whole, chunks=head_index), index, open_chunks, finished)

    def _write_chunks(
        self, job: Job, split_job: _SplitJob, source_versions: dict[int, int], retry_for_s: float
    ) -> None:
        """Write the chunks, except those that have been written from this version of the job's record already."""
        writes: list[Write] = [
            put(chunk_key(job.id, number), split_job.pack_chunk(number))
            for number in split_job.open_chunks
            if source_versions.get(number) != job.version
        ]
        max_writes = self._record_limits.max_writes
        while writes:
            self._cache.write({job.key: job.version}, writes[:max_writes], retry_for_s=retry_for_s)
            writes = writes[max_writes:]

    def _write_head(self, job: Job, head: Job, retry_for_s: float) -> None:
        """Replace the job's record by the head, under the head's key."""
        conditions = {job.key: job.version, SCHEMA_VERSION_KEY: self._cache.get(SCHEMA_VERSION_KEY)[1]}
        writes: list[Write] = []
        if job.key != head.key:
            conditions[head.key] = 0
            writes.append(delete(job.key))
        writes.append(put(HEAD_PREFIX + job.id, head.pack()))
        self._cache.write(conditions, writes, retry_for_s=retry_for_s)
