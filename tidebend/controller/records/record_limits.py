"""How large records and transactions may be."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import ChunkIndex, chunk_size
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.settings import Limits

# a transaction's bytes stay this far below the protocol's 64 KiB: keys, conditions and punctuation come on top
MOST_BYTES = 48 * 1024
# claims leave the rest of a record to what the numbers of done tasks may need while the claims end one by one
CLAIMS_SHARE = 0.75


def packed_bytes(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":")))


class RecordLimits:
    def __init__(self, limits: Limits, schema_version: SchemaVersion, writes_per_s: float) -> None:
        self.schema_version = schema_version
        self.keep_within(limits, writes_per_s)

    def keep_within(self, limits: Limits, writes_per_s: float) -> None:
        """`writes_per_s`: our share of the service's changes."""
        self.value_bytes = limits.value_bytes
        # The end of a job alone may need four (its record, its last part's, its final one, its team's), without parts
        # three; a transaction must fit our budget.
        self.most_writes = max(min(4, limits.txn_ops), min(limits.txn_ops, int(0.5 * writes_per_s)))
        self.most_checks = 4 * limits.txn_ops

    def can_be_split(self, job: Job) -> bool:
        """Whether a record may become a head with parts; a gang, which starts whole, only if it must."""
        return (
            self.schema_version.pipelines
            and job.chunks is None
            and job.spec.tasks > (chunk_size(self.value_bytes) if job.spec.kind == "gang" else 1)
        )

    def fits(self, job: Job, before: Job | None = None) -> bool:
        """Whether records with these claims leave room for what is still to come; `before`: what it was made from."""
        if job.chunks and before is not None:
            record_limits = [
                packed_bytes(job.chunk_of(number, before).pack(number * job.chunks.size))
                for number in job.touched(before)
            ]
            return max(record_limits, default=0) <= CLAIMS_SHARE * self.value_bytes
        return self.can_be_split(job) or packed_bytes(job.pack()) <= CLAIMS_SHARE * self.value_bytes

    def new_job(self, job: Job) -> Job:
        """A job in the shape in which it will be kept."""
        size = chunk_size(self.value_bytes)
        return replace(job, chunks=ChunkIndex(size)) if self.schema_version.pipelines and job.spec.tasks > size else job

    def never_fits(self, job: Job) -> str | None:
        """Why a job can't be kept or started with records as large as they may be, if it can't."""
        if packed_bytes(job.pack()) > 0.5 * self.value_bytes:
            return "its description is too long for a record"
        if job.chunks:
            chunks = -(-job.spec.tasks // job.chunks.size)
            # a gang's start writes all its parts, the head and the team's record; a service's compares all parts
            if job.spec.kind == "gang" and chunks > self.most_writes - 2:
                return "more tasks than can be started at once"
            if job.spec.kind == "service" and chunks > self.most_checks - 4:
                return "more replicas than can be kept"
        return None
