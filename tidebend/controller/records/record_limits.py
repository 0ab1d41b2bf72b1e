"""Limits on the size of records and transactions, as the state service and our share of its writes set them."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import ChunkIndex, chunk_size
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.settings import StoreLimits

# A transaction's records, packed, stay this far below the protocol's 64 KiB: keys and conditions come on top.
MAX_TRANSACTION_BYTES = 48 * 1024
# Allocations take at most this share of a record. The indexes of done tasks may need the rest while allocations end.
ALLOCATIONS_SHARE = 0.75
# the largest share of a record that a job's description may take
DESCRIPTION_SHARE = 0.5
# The end of a job takes up to this many writes: its record, its last chunk's, its final record, its team's record.
FINAL_WRITES = 4
# a transaction takes at most this share of the writes that we may make in a second
BUDGET_SHARE = 0.5
# conditions of a transaction per write that the service allows
CONDITIONS_PER_WRITE = 4
# writes of a gang's start besides its chunks: the head and the team's record
GANG_START_WRITES = 2
# conditions of a service's change besides its chunks: the head, the team's record, and shards
SERVICE_CONDITIONS = 4


def packed_bytes(value: Any) -> int:
    """Return the length in bytes of a record as it is sent."""
    return len(json.dumps(value, separators=(",", ":")))


class RecordLimits:
    """How much a record and a transaction hold, and which jobs fit them."""

    def __init__(self, limits: StoreLimits, schema_version: SchemaVersion, writes_per_s: float) -> None:
        """Begin with `limits`; for `writes_per_s` see `apply`."""
        self.schema_version = schema_version
        self.apply(limits, writes_per_s)

    def apply(self, limits: StoreLimits, writes_per_s: float) -> None:
        """Keep to these limits from now on; `writes_per_s` is our share of the service's writes per second."""
        self.max_value_bytes = limits.value_bytes
        budget = int(BUDGET_SHARE * writes_per_s)
        self.max_writes = max(min(FINAL_WRITES, limits.txn_ops), min(limits.txn_ops, budget))
        self.max_conditions = CONDITIONS_PER_WRITE * limits.txn_ops

    def can_be_split(self, job: Job) -> bool:
        """Whether a job's record may become a head with chunks.

        A gang starts as a whole, so its record is split only if it has too many tasks for one. Records of the schema
        version before pipelines can't be split.
        """
        min_tasks = chunk_size(self.max_value_bytes) if job.spec.kind == "gang" else 1
        return self.schema_version.supports_pipelines and job.chunks is None and job.spec.tasks > min_tasks

    def fits(self, job: Job, before: Job | None = None) -> bool:
        """Whether records with these allocations leave room for completions; `before`: what the job was made from."""
        max_bytes = ALLOCATIONS_SHARE * self.max_value_bytes
        if job.chunks and before is not None:
            chunk_bytes = [
                packed_bytes(job.chunk_of(number, before).pack(number * job.chunks.size))
                for number in job.changed_chunks(before)
            ]
            return max(chunk_bytes, default=0) <= max_bytes
        return self.can_be_split(job) or packed_bytes(job.pack()) <= max_bytes

    def in_stored_form(self, job: Job) -> Job:
        """Return a new job in the form in which it is kept: with chunks if it has too many tasks for one record."""
        tasks_per_chunk = chunk_size(self.max_value_bytes)
        if self.schema_version.supports_pipelines and job.spec.tasks > tasks_per_chunk:
            return replace(job, chunks=ChunkIndex(tasks_per_chunk))
        return job

    def reason_never_fits(self, job: Job) -> str | None:
        """Return why a job can't be kept or started with records of this size; None if it can."""
        if packed_bytes(job.pack()) > DESCRIPTION_SHARE * self.max_value_bytes:
            return "its description is too long for a record"
        if job.chunks:
            chunks = -(-job.spec.tasks // job.chunks.size)
            # the start of a gang writes all its chunks; a change of a service has conditions on all its chunks
            if job.spec.kind == "gang" and chunks > self.max_writes - GANG_START_WRITES:
                return "more tasks than can be started at once"
            if job.spec.kind == "service" and chunks > self.max_conditions - SERVICE_CONDITIONS:
                return "more replicas than can be kept"
        return None
