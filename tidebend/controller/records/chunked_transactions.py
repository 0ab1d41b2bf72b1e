"""Transactions on jobs that are kept as a head record with chunks."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field, replace

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import Chunk, ChunkIndex
from tidebend.controller.records.job_transaction import JobTransaction, chunk_key, chunk_versions, delete, put
from tidebend.controller.records.record_limits import RecordLimits, packed_bytes
from tidebend.protocol import Write
from tidebend.quota import TeamUsage

log = logging.getLogger("records")

# writes besides the chunks: the head and the team's record
WRITES_BESIDES_CHUNKS = 2
# the least number of writes that a transaction may have whatever the limits: the end of a job takes so many
MIN_WRITES = 4
# conditions that may come on top of the job's own: the team's record, and the shards of the change
RESERVED_CONDITIONS = 3


@dataclass
class _ChunkWrites:
    """The changed chunks of one transaction."""

    chunks: dict[int, Chunk] = field(default_factory=dict)  # as they will be, finished ones included
    finished: list[int] = field(default_factory=list)  # chunks that need no record any more
    conditions: dict[str, int] = field(default_factory=dict)
    writes: list[Write] = field(default_factory=list)
    size_bytes: int = 0


class ChunkedTransactionBuilder:
    """Writes the chunks in which a job differs, and its head if that differs too."""

    def __init__(self, job_cache: JobCache, record_limits: RecordLimits) -> None:
        """Read the versions of chunks that are not open from `job_cache`."""
        self._job_cache = job_cache
        self._record_limits = record_limits

    def build(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """Return the transaction that makes `new` of `job`; None if there is nothing to write, or too much.

        Of a change to many chunks only the first ones are written; the others follow when the change is made again at
        the next mapping event. A start of a gang is written as a whole or not at all.
        """
        index = job.chunks
        assert index is not None
        written = self._write_chunks(job, new, index, self._chunks_to_write(job, new))
        if written is None:
            return None
        head = self._head(new, index, written)
        writes, size_bytes = written.writes, written.size_bytes
        if head.pack() != job.pack():
            writes.append(put(head.key, head.pack()))
            size_bytes += packed_bytes(head.pack())
        conditions = {job.key: job.version, **written.conditions}
        if job.spec.kind != "array":
            # rules that concern the whole job were checked against all its chunks
            conditions.update((chunk_key(job.id, number), chunk.version) for number, chunk in index.rows)
        if not writes or not self._fits(writes, conditions):
            return None
        assert head.chunks is not None
        head = head.with_chunk_records(dict(head.chunks.rows))
        return JobTransaction(
            head, conditions, writes, usage.with_tasks_allocated(head.spec, head.charged - job.charged), size_bytes
        )

    def _chunks_to_write(self, job: Job, new: Job) -> list[int]:
        numbers = new.changed_chunks(job)
        if job.spec.kind == "gang" and new.allocated_count > job.allocated_count:
            return numbers  # a gang starts as a whole
        return numbers[: max(1, self._record_limits.max_writes - WRITES_BESIDES_CHUNKS)]

    def _write_chunks(self, job: Job, new: Job, index: ChunkIndex, numbers: list[int]) -> _ChunkWrites | None:
        """Return the writes of the chunks with these numbers; None if one of them doesn't fit a record."""
        versions = chunk_versions(self._job_cache, job)
        written = _ChunkWrites()
        for number in numbers:
            key = chunk_key(job.id, number)
            chunk = new.chunk_of(number, job)
            written.chunks[number] = chunk
            written.conditions[key] = versions.get(number, 0)
            if new.chunk_is_finished(number, chunk):
                written.finished.append(number)
                if number in versions:
                    written.writes.append(delete(key))
                continue
            value = chunk.pack(number * index.size)
            size_bytes = packed_bytes(value)
            if size_bytes > self._record_limits.max_value_bytes:
                log.error("job %s: a chunk's record would be too long", job.id)
                return None
            written.size_bytes += size_bytes
            written.writes.append(put(key, value))
        return written

    @staticmethod
    def _head(new: Job, index: ChunkIndex, written: _ChunkWrites) -> Job:
        """Return the job as its head describes it once the chunks are written."""
        opened = index.opened | sum(1 << number for number in written.chunks)
        chunks = {**dict(index.rows), **written.chunks}
        head = replace(new, chunks=replace(index, opened=opened, rows=tuple(sorted(chunks.items()))))
        return head.with_chunks_closed(written.finished) if written.finished else head

    def _fits(self, writes: list[Write], conditions: dict[str, int]) -> bool:
        """Whether a transaction holds this, with the team's record and the caller's conditions on top."""
        return (
            len(writes) + 1 <= max(self._record_limits.max_writes, MIN_WRITES)
            and len(conditions) + RESERVED_CONDITIONS <= self._record_limits.max_conditions
        )
