"""Splits a job's record that has become too large into a head record with chunks."""

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
    """A job's records as they are after the split."""

    head: Job
    index: ChunkIndex
    open_chunks: dict[int, Chunk]
    finished_chunks: int  # bitmap of chunks that need no record

    @property
    def largest_chunk_bytes(self) -> int:
        """The packed size of the largest chunk."""
        sizes = (packed_bytes(self.pack_chunk(number)) for number in self.open_chunks)
        return max(sizes, default=0)

    def pack_chunk(self, number: int) -> dict[str, object]:
        """Return the record of an open chunk."""
        return self.open_chunks[number].pack(number * self.index.size)


class RecordSplitter:
    """Moves jobs to head records with chunks, one job at a time."""

    def __init__(self, cache: WatchCache, job_cache: JobCache, record_limits: RecordLimits) -> None:
        """Write through `cache`, with chunks as large as `record_limits` allow."""
        self._cache = cache
        self._job_cache = job_cache
        self._record_limits = record_limits

    def split(self, job_id: str, patience: float) -> bool:
        """Replace a job's record by a head with chunks; False if the job is gone or was changed meanwhile.

        The chunks are written first, while nothing refers to them, then the head. Each step is conditional on the
        version of the record that is split, and each chunk contains that version: the steps may be interrupted
        anywhere, and made by several controllers. Records of the schema version before pipelines are split once a
        change doesn't fit any more, not before. Raises the errors of `WatchCache.write` but for conflicts; `patience`
        is the time in seconds for which each write is repeated.
        """
        with self._job_cache.lock:
            job = self._job_cache.get(job_id)
            if job is None or job.chunks:
                return job is not None
            source_versions = self._job_cache.chunk_sources(job_id)
        split_job = self._split_to_fit(job)
        head = split_job.head
        try:
            self._write_chunks(job, split_job, source_versions, patience)
            self._write_head(job, head, patience)
        except ConflictError:
            self._cache.barrier(self._cache.client.timeout, "claim")
            return False
        chunks = len(split_job.open_chunks) + split_job.finished_chunks.bit_count()
        log.info("job %s is kept in %d chunks from now on", job_id, chunks)
        return True

    def _split_to_fit(self, job: Job) -> _SplitJob:
        """Split a job into the largest chunks whose records leave room for what is to come."""
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
        for number in index.numbers(whole.done | whole.allocated):
            chunk = replace(whole.chunk_of(number, job), source=job.version, last_attempt=job.last_attempt)
            if whole.chunk_is_finished(number, chunk):
                finished |= 1 << number
            else:
                open_chunks[number] = chunk
        opened = sum(1 << number for number in open_chunks)
        head_index = replace(index, opened=opened, closed=0 if job.cancelled else finished)
        return _SplitJob(replace(whole, chunks=head_index), index, open_chunks, finished)

    def _write_chunks(self, job: Job, split_job: _SplitJob, source_versions: dict[int, int], patience: float) -> None:
        """Write the chunks that weren't written from this version of the job's record before."""
        writes: list[Write] = [
            put(chunk_key(job.id, number), split_job.pack_chunk(number))
            for number in split_job.open_chunks
            if source_versions.get(number) != job.version
        ]
        max_writes = self._record_limits.max_writes
        while writes:
            self._cache.write({job.key: job.version}, writes[:max_writes], retry_for_s=patience)
            writes = writes[max_writes:]

    def _write_head(self, job: Job, head: Job, patience: float) -> None:
        """Replace the record by the head, under the head's key."""
        conditions = {job.key: job.version, SCHEMA_VERSION_KEY: self._cache.get(SCHEMA_VERSION_KEY)[1]}
        writes: list[Write] = []
        if job.key != head.key:
            conditions[head.key] = 0
            writes.append(delete(job.key))
        writes.append(put(HEAD_PREFIX + job.id, head.pack()))
        self._cache.write(conditions, writes, retry_for_s=patience)
