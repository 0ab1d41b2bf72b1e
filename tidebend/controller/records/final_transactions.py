"""Transactions on ended jobs: the final one, and deletions of chunks before it."""

from __future__ import annotations

import time
from dataclasses import replace

from tidebend.cluster_state.final_states import final_state_of, pack_final
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.records.job_transaction import JobTransaction, chunk_key, chunk_versions, delete, put
from tidebend.controller.records.record_limits import RecordLimits
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.kvclient import FINAL
from tidebend.protocol import Write
from tidebend.quota import TeamUsage

# writes of the final transaction besides the chunks: the job's record, its final record and its team's record
WRITES_BESIDES_CHUNKS = 3


class FinalTransactionBuilder:
    """Builds transactions that replace the records of a done or cancelled job by its final record."""

    def __init__(self, job_cache: JobCache, schema_version: SchemaVersion, record_limits: RecordLimits) -> None:
        """Write final records in the format that `schema_version` allows."""
        self._job_cache = job_cache
        self._schema_version = schema_version
        self._record_limits = record_limits

    def build(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """Return the next transaction of an ended job; None while some of its chunks aren't in the cache.

        If the job has more chunks than one transaction can delete, the transaction deletes the first of them and keeps
        the job.
        """
        state = final_state_of(new)
        assert state is not None, "the job hasn't ended"
        versions = chunk_versions(self._job_cache, job)
        if job.chunks and job.chunks.missing_records:
            return None
        if len(versions) > max(0, self._record_limits.max_writes - WRITES_BESIDES_CHUNKS):
            numbers = list(versions)[: self._record_limits.max_writes - 1]
            return self._delete_chunks(job, new, {number: versions[number] for number in numbers}, usage)
        keys = [chunk_key(job.id, number) for number in versions]
        final = pack_final(state, time.time(), not self._schema_version.supports_pipelines)
        return JobTransaction(
            new,
            {job.key: job.version, **dict(zip(keys, versions.values(), strict=True))},
            [delete(job.key), put(FINAL + job.id, final), *map(delete, keys)],
            usage.without_charge(job.spec, job.charged),
        )

    def _delete_chunks(self, job: Job, new: Job, versions: dict[int, int], usage: TeamUsage) -> JobTransaction:
        """Return the transaction that deletes the chunks with these numbers and keeps the job."""
        keys = [chunk_key(job.id, number) for number in versions]
        conditions = {job.key: job.version, **dict(zip(keys, versions.values(), strict=True))}
        writes: list[Write] = list(map(delete, keys))
        if job.chunks:
            # count allocations that end with this change as ended, or the team would be charged for them forever
            records = tuple(
                (number, new.chunk_of(number, job) if number in versions else chunk)
                for number, chunk in job.chunks.records
            )
            open_numbers = [number for number in versions if job.chunks.open_chunks >> number & 1]
            job = replace(job, cancelled=new.cancelled, chunks=replace(job.chunks, records=records))
            job = job.with_chunks_closed(open_numbers)
            writes.append(put(job.key, job.pack()))
        return JobTransaction(job, conditions, writes, usage)
