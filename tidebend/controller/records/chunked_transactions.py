"""Transactions on jobs that are stored as a head record with chunks."""

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
# writes that a transaction may have whatever the limits, since the end of a job takes this many
MIN_WRITES = 4
# conditions besides the job's own: the team's record, and the shards that the change depends on
RESERVED_CONDITIONS = 3


@dataclass
class _ChunkWrites:
    """The changed chunks of one transaction."""

    chunks: dict[int, Chunk] = field(default_factory=dict)  # in their new state, including finished ones
    finished: list[int] = field(default_factory=list)  # numbers of chunks that no longer need a record
    conditions: dict[str, int] = field(default_factory=dict)
    writes: list[Write] = field(default_factory=list)
    size_bytes: int = 0


class ChunkedTransactionBuilder:
    """Builds transactions that write the changed chunks of a job, and its head if that has changed."""

    def __init__(self, job_cache: JobCache, record_limits: RecordLimits) -> None:
        """Take the versions of chunks that aren't open from `job_cache`."""
        self._job_cache = job_cache
        self._record_limits = record_limits

    def build(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """Return the transaction that changes `job` to `new`; None if there is nothing to write, or too much.

        Of a change to many chunks only the first ones are written; the next mapping event makes the change again and
        so writes further chunks. The start of a gang is written completely or not at all.
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
            # the change was checked against rules for the whole job, so no chunk may have changed since
            conditions.update((chunk_key(job.id, number), chunk.version) for number, chunk in index.records)
        if not writes or not self._fits(writes, conditions):
            return None
        assert head.chunks is not None
        head = head.with_chunk_records(dict(head.chunks.records))
        return JobTransaction(
            head, conditions, writes, usage.with_tasks_allocated(head.spec, head.charged - job.charged), size_bytes
        )

    def _chunks_to_write(self, job: Job, new: Job) -> list[int]:
        numbers = new.changed_chunks(job)
        if job.spec.kind == "gang" and new.allocated_count > job.allocated_count:
            return numbers  # all tasks of a gang start together
        return numbers[: max(1, self._record_limits.max_writes - WRITES_BESIDES_CHUNKS)]

    def _write_chunks(self, job: Job, new: Job, index: ChunkIndex, numbers: list[int]) -> _ChunkWrites | None:
        """Return the writes of the chunks with these numbers; None if one of them doesn't fit into a record."""
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
                log.error("job %s: the record of a chunk would exceed the size limit", job.id)
                return None
            written.size_bytes += size_bytes
            written.writes.append(put(key, value))
        return written

    @staticmethod
    def _head(new: Job, index: ChunkIndex, written: _ChunkWrites) -> Job:
        """Return the job with its head as it is once the chunks are written."""
        open_chunks = index.open_chunks | sum(1 << number for number in written.chunks)
        chunks = {**dict(index.records), **written.chunks}
        head = replace(new, chunks=replace(index, open_chunks=open_chunks, records=tuple(sorted(chunks.items()))))
        return head.with_chunks_closed(written.finished) if written.finished else head

    def _fits(self, writes: list[Write], conditions: dict[str, int]) -> bool:
        """Whether these fit into one transaction, together with the team's record and the caller's conditions."""
        return (
            len(writes) + 1 <= max(self._record_limits.max_writes, MIN_WRITES)
            and len(conditions) + RESERVED_CONDITIONS <= self._record_limits.max_conditions
        )
