"""Writing of job records by compare-and-swap, several jobs per transaction, together with their teams' records."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from tidebend.cluster_state.final_states import final_state_of
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.records.edit_batches import EditBatch, EditBatchBuilder
from tidebend.controller.records.failed_edits import FailedEdits
from tidebend.controller.records.job_edit import ApplyEdit, JobEdit
from tidebend.controller.records.record_limits import RecordLimits
from tidebend.controller.records.record_splitter import RecordSplitter
from tidebend.controller.records.transaction_builder import TransactionBuilder
from tidebend.kvclient import (
    FINAL,
    ConflictError,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    RequestKind,
    TransactionTooLargeError,
    WatchCache,
)

__all__ = ["JobEdit", "JobWriter"]

log = logging.getLogger("records")

# transactions that may fail in one call because of conflicts or their size
DEFAULT_MAX_FAILURES = 4
# lower bound of the limit on a transaction's writes, which is halved after each conflict
MIN_WRITES_AFTER_CONFLICT = 3


@dataclass
class _Progress:
    """The state of one call of `write_edits`."""

    remaining: list[JobEdit]
    deferred: list[JobEdit]  # each is written alone, after all the others
    failures_left: int
    max_writes: int
    kind: RequestKind
    to_be_split: list[JobEdit] = field(default_factory=list)
    changed: dict[str, Job] = field(default_factory=dict)

    def take_deferred(self) -> None:
        """Continue with the next deferred edit if no others remain."""
        if not self.remaining and self.deferred:
            self.remaining = [self.deferred.pop(0)]


def _log_final_states(batch: EditBatch, revision: int) -> None:
    """Log the jobs that a transaction has ended, with the version of the record on which that was based."""
    for job_id, job in batch.jobs.items():
        if FINAL + job_id in batch.writes:
            done = job.done.bit_count()
            log.info(
                "job %s: %s at revision %d, by its record of revision %d; %d of %d tasks done",
                *(job_id, final_state_of(job), revision, job.version, done, job.spec.tasks),
            )


class JobWriter:
    """Applies edits to jobs and writes the results unless the records that they are based on have changed."""

    def __init__(
        self, cache: WatchCache, job_cache: JobCache, quota_rebalancer: QuotaRebalancer, record_limits: RecordLimits
    ) -> None:
        """Write through `cache`, based on the jobs in `job_cache`."""
        self.cache = cache
        self.job_cache = job_cache
        self.quota_rebalancer = quota_rebalancer
        self.record_limits = record_limits
        transaction_builder = TransactionBuilder(job_cache, quota_rebalancer.schema_version, record_limits)
        self._batch_builder = EditBatchBuilder(job_cache, quota_rebalancer, record_limits, transaction_builder)
        self._record_splitter = RecordSplitter(cache, job_cache, record_limits)
        self.failed_edits = FailedEdits(job_cache, quota_rebalancer.settings.report_s)

    @property
    def writes_per_s(self) -> float:
        """This controller's share of the key-value store's writes per second."""
        return self.cache.client.writes_per_s

    def write_edit(
        self, job_id: str, apply: ApplyEdit, conditions: dict[str, int], retry_for_s: float = 1.0
    ) -> Job | None:
        """Write an edit of one job; return None if it wasn't written.

        For `apply` and `conditions` see `JobEdit`, for `retry_for_s` and the reasons not to write see `write_edits`.
        """
        return self.write_edits([JobEdit(job_id, apply, conditions)], retry_for_s).get(job_id)

    def write_edits(
        self,
        edits: list[JobEdit],
        retry_for_s: float = 1.0,
        max_failures: int = DEFAULT_MAX_FAILURES,
        kind: RequestKind = RequestKind.CLAIM,
    ) -> dict[str, Job]:
        """Write edits, and return the changed jobs by id.

        An edit isn't written if there is nothing to write, if one of its own conditions fails, if its allocations
        exceed the team's quota, or if `max_failures` transactions have failed. A team's record is changed in the same
        transaction by exactly what its jobs' allocations add. Each write is retried for `retry_for_s`. Edits of jobs
        whose transactions fail again and again come last. `kind`: the purpose of the writes.

        Raises `NotExecutedError` or `OutcomeUnknownError`; edits before the failed transaction may have been written.
        After `OutcomeUnknownError` the cache reflects a later read, unless that has failed too.
        """
        self.quota_rebalancer.settle_uncertain_writes(retry_for_s)
        first, deferred = self.failed_edits.split(edits)
        progress = _Progress(first, deferred, max_failures, self.record_limits.max_writes, kind)
        while progress.failures_left:
            progress.take_deferred()
            if not progress.remaining:
                break
            built = self._batch_builder.build(progress.remaining, progress.max_writes)
            progress.remaining = built.remaining
            progress.to_be_split += built.to_be_split
            if built.batch.writes:
                self._write_batch(built.batch, progress, retry_for_s)
        self._write_split_jobs(progress, retry_for_s)
        return progress.changed

    def _write_batch(self, batch: EditBatch, progress: _Progress, retry_for_s: float) -> None:
        try:
            revision = self.cache.write(batch.conditions, list(batch.writes.values()), progress.kind, retry_for_s)
        except ConflictError as conflict:
            self._retry_after_conflict(batch, progress, conflict)
        except TransactionTooLargeError:
            self._retry_one_by_one(batch, progress)
        except OutcomeUnknownError:
            # The write may have been executed, or may still be. A read shows whether it has been; if not, the next
            # call rules it out, by `settle_uncertain_writes`.
            self.quota_rebalancer.mark_uncertain({team for team, _ in batch.usage_changes})
            self.cache.barrier(self.cache.client.timeout, "claim")
            raise
        except LeaseNotFoundError as error:
            raise NotExecutedError("a lease in the transaction does not exist") from error
        else:
            progress.changed.update(batch.jobs)
            self.failed_edits.record_success(batch.jobs)
            _log_final_states(batch, revision)

    def _retry_after_conflict(self, batch: EditBatch, progress: _Progress, conflict: ConflictError) -> None:
        """Apply the edits again after a read, in smaller transactions, which have fewer conditions that can fail.

        Edits whose own conditions failed are dropped: only the caller can create them again.
        """
        log.debug("transaction failed because of a conflict: %s", conflict)
        progress.failures_left -= 1
        failed_keys = set(conflict.keys)
        failed = batch.edits_with_conditions_on(failed_keys)
        dropped = [edit for edit in failed if failed_keys & edit.conditions.keys()]
        self.failed_edits.record_failure(edit for edit in failed if edit not in dropped)
        self._retry_first([edit for edit in batch.edits if edit not in dropped], progress)
        progress.max_writes = max(MIN_WRITES_AFTER_CONFLICT, progress.max_writes // 2)
        if (progress.remaining or progress.deferred) and not self.cache.barrier(self.cache.client.timeout, "claim"):
            raise NotExecutedError("the read after a conflict failed") from conflict

    def _retry_one_by_one(self, batch: EditBatch, progress: _Progress) -> None:
        """Write each edit in its own transaction after the key-value store rejected a transaction for its size.

        The store then accepts less than its announced limits. An edit that is too large on its own isn't written now.
        """
        progress.failures_left -= 1
        self.failed_edits.record_failure(batch.edits)
        if len(batch.edits) > 1:
            self._retry_first(batch.edits, progress)
            progress.max_writes = 1

    def _retry_first(self, edits: list[JobEdit], progress: _Progress) -> None:
        """Put edits of a failed transaction before the remaining ones, except those that are deferred by now."""
        first, deferred = self.failed_edits.split(edits)
        progress.remaining = first + progress.remaining
        progress.deferred += deferred

    def _write_split_jobs(self, progress: _Progress, retry_for_s: float) -> None:
        """Split the records that have become too large, then write the edits of their jobs."""
        for edit in progress.to_be_split:
            try:
                is_split = bool(progress.failures_left) and self._record_splitter.split(edit.job_id, retry_for_s)
            except TransactionTooLargeError:
                # accepted while the limit was larger; the edits of other jobs must not fail because of it
                log.error("job %s: its description exceeds the present size limit of a record", edit.job_id)
                continue
            if is_split:
                progress.changed.update(self.write_edits([edit], retry_for_s, progress.failures_left, progress.kind))
