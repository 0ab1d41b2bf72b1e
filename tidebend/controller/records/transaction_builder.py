"""Building of the transaction that changes one job, for each stored form of jobs."""

from __future__ import annotations

from tidebend.cluster_state.final_states import final_state_of
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.records.chunked_transactions import ChunkedTransactionBuilder
from tidebend.controller.records.final_transactions import FinalTransactionBuilder
from tidebend.controller.records.job_transaction import JobTransaction, RecordTooLargeError, put
from tidebend.controller.records.record_limits import ALLOCATIONS_SHARE, RecordLimits, packed_bytes
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.quota import TeamUsage


class TransactionBuilder:
    """Builds transactions on jobs, without the teams' records, which the caller adds."""

    def __init__(self, job_cache: JobCache, schema_version: SchemaVersion, record_limits: RecordLimits) -> None:
        """Create the builders for each form of a job's records."""
        self._record_limits = record_limits
        self._final_transactions = FinalTransactionBuilder(job_cache, schema_version, record_limits)
        self._chunked_transactions = ChunkedTransactionBuilder(job_cache, record_limits)

    def build(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """Return the transaction that changes `job` to `new`; None if there is nothing to write.

        `usage` is the team's usage before the change. Raises `RecordTooLargeError` if `new` doesn't fit into the job's
        single record, or would leave no room there for later completions.
        """
        if not new.allocations and final_state_of(new) is not None:
            return self._final_transactions.build(job, new, usage)
        if new == job:
            return None
        if job.chunks:
            return self._chunked_transactions.build(job, new, usage)
        return self._single_record(job, new, usage)

    def _single_record(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction:
        value = new.pack()
        size_bytes = packed_bytes(value)
        max_bytes = self._record_limits.max_value_bytes
        adds_allocations = new.allocated_count > job.allocated_count
        leaves_room = size_bytes <= ALLOCATIONS_SHARE * max_bytes
        if size_bytes > max_bytes or (adds_allocations and self._record_limits.can_be_split(job) and not leaves_room):
            raise RecordTooLargeError(job)
        return JobTransaction(
            new,
            {job.key: job.version},
            [put(new.key, value)],
            usage.with_tasks_allocated(new.spec, new.charged - job.charged),
            size_bytes,
        )
