"""Limits on the size of records and transactions, from those of the key-value store."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import ChunkIndex, chunk_size
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.settings import StoreLimits

# The maximum size of a transaction's packed records. The rest of the protocol's 64 KiB is for keys and conditions.
MAX_TRANSACTION_BYTES = 48 * 1024
# Share of a record that allocations may take. The rest is for the indexes of done tasks while allocations end.
ALLOCATIONS_SHARE = 0.75
# share of a record that a job's description may take
DESCRIPTION_SHARE = 0.5
# writes for the end of a job: its record, its last chunk's record, its final record and its team's record
FINAL_WRITES = 4
# share of the writes that this controller may make per second that one transaction may take
BUDGET_SHARE = 0.5
# conditions that a transaction may have, per write that the key-value store allows
CONDITIONS_PER_WRITE = 4
# writes of a gang's start besides its chunks: the head and the team's record
GANG_START_WRITES = 2
# conditions of a service's change besides its chunks: the head, the team's record and shards
SERVICE_CONDITIONS = 4


def packed_bytes(value: Any) -> int:
    """Return the size in bytes of a record as it is sent."""
    return len(json.dumps(value, separators=(",", ":")))


class RecordLimits:
    """The maximum sizes of records and transactions, and which jobs fit into them."""

    def __init__(self, limits: StoreLimits, schema_version: SchemaVersion, writes_per_s: float) -> None:
        """Start with these limits; for `writes_per_s` see `apply`."""
        self.schema_version = schema_version
        self.apply(limits, writes_per_s)

    def apply(self, limits: StoreLimits, writes_per_s: float) -> None:
        """Replace the limits; `writes_per_s` is this controller's share of the key-value store's writes per second."""
        self.max_value_bytes = limits.value_bytes
        budget = int(BUDGET_SHARE * writes_per_s)
        self.max_writes = max(min(FINAL_WRITES, limits.txn_ops), min(limits.txn_ops, budget))
        self.max_conditions = CONDITIONS_PER_WRITE * limits.txn_ops

    def can_be_split(self, job: Job) -> bool:
        """Whether a job's record may be split into a head with chunks.

        All tasks of a gang start together, so its record is split only if it has too many tasks for a single record.
        Records of schema version 1 can't be split.
        """
        min_tasks = chunk_size(self.max_value_bytes) if job.spec.kind == "gang" else 1
        return self.schema_version.supports_pipelines and job.chunks is None and job.spec.tasks > min_tasks

    def fits(self, job: Job, before: Job | None = None) -> bool:
        """Whether the job's records leave room for completions.

        `before` is the version that the job was derived from; given that, only changed chunks are checked.
        """
        max_bytes = ALLOCATIONS_SHARE * self.max_value_bytes
        if job.chunks and before is not None:
            chunk_bytes = [
                packed_bytes(job.chunk_of(number, before).pack(number * job.chunks.size))
                for number in job.changed_chunks(before)
            ]
            return max(chunk_bytes, default=0) <= max_bytes
        return self.can_be_split(job) or packed_bytes(job.pack()) <= max_bytes

    def in_stored_form(self, job: Job) -> Job:
        """Return a new job in its stored form: with chunks if it has too many tasks for a single record."""
        tasks_per_chunk = chunk_size(self.max_value_bytes)
        if self.schema_version.supports_pipelines and job.spec.tasks > tasks_per_chunk:
            return replace(job, chunks=ChunkIndex(tasks_per_chunk))
        return job

    def reason_never_fits(self, job: Job) -> str | None:
        """Return why a job can't be stored or started within the limits; None if it can."""
        if packed_bytes(job.pack()) > DESCRIPTION_SHARE * self.max_value_bytes:
            return "its description is too long for a record"
        if job.chunks:
            chunks = -(-job.spec.tasks // job.chunks.size)
            # the start of a gang writes all its chunks; a change to a service has conditions on all its chunks
            if job.spec.kind == "gang" and chunks > self.max_writes - GANG_START_WRITES:
                return "it has more tasks than a gang can start at once"
            if job.spec.kind == "service" and chunks > self.max_conditions - SERVICE_CONDITIONS:
                return "it has more replicas than a service can have"
        return None
