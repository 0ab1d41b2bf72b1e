"""Writes job records by compare-and-swap, several jobs in one transaction, together with their teams' records."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from tidebend.cluster_state.final_states import CANCELLED, DONE
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.records.edit_batches import EditBatch, EditBatchBuilder
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
    TransactionTooLargeError,
    WatchCache,
)

__all__ = ["JobEdit", "JobWriter"]

log = logging.getLogger("records")

# transactions that may fail in one call, for conflicts or their size
DEFAULT_TRIES = 4
# the smallest bound on a transaction's writes after conflicts
MIN_WRITES_AFTER_CONFLICT = 3


@dataclass
class _Progress:
    """The state of one call of `write_edits`."""

    remaining: list[JobEdit]
    tries_left: int
    max_writes: int
    to_be_split: list[JobEdit] = field(default_factory=list)
    changed: dict[str, Job] = field(default_factory=dict)


def _log_final_states(batch: EditBatch, revision: int) -> None:
    """Log which jobs have ended by a transaction, and from which version of their records that was concluded."""
    for job_id, job in batch.jobs.items():
        if FINAL + job_id in batch.writes:
            state = CANCELLED if job.cancelled else DONE
            done = job.done.bit_count()
            log.info(
                "job %s: %s at revision %d, by its record of revision %d; %d of %d tasks done",
                *(job_id, state, revision, job.version, done, job.spec.tasks),
            )


class JobWriter:
    """Applies edits to jobs and writes the results if nothing that they were made from has changed."""

    def __init__(
        self, cache: WatchCache, job_cache: JobCache, quota_rebalancer: QuotaRebalancer, record_limits: RecordLimits
    ) -> None:
        """Write through `cache`, from the jobs in `job_cache`."""
        self.cache = cache
        self.job_cache = job_cache
        self.quota_rebalancer = quota_rebalancer
        self.record_limits = record_limits
        transaction_builder = TransactionBuilder(job_cache, quota_rebalancer.schema_version, record_limits)
        self._batch_builder = EditBatchBuilder(job_cache, quota_rebalancer, record_limits, transaction_builder)
        self._record_splitter = RecordSplitter(cache, job_cache, record_limits)

    @property
    def writes_per_s(self) -> float:
        """Our share of the state service's writes per second."""
        return self.cache.client.writes_per_s

    def write_edit(
        self, job_id: str, apply: ApplyEdit, conditions: dict[str, int], patience: float = 1.0
    ) -> Job | None:
        """Write one job's edit; None if there was nothing to write, or a condition failed.

        For `apply` and `conditions` see `JobEdit`, for the rest `write_edits`.
        """
        return self.write_edits([JobEdit(job_id, apply, conditions)], patience).get(job_id)

    def write_edits(self, edits: list[JobEdit], patience: float = 1.0, tries: int = DEFAULT_TRIES) -> dict[str, Job]:
        """Write edits, and return the changed jobs by id.

        An edit isn't written if there is nothing to write, if one of its own conditions failed, if the team's quota has
        no room for its allocations, or if `tries` transactions failed. A team's record changes by just what its jobs'
        allocations add, in the same transaction. `patience` is the time in seconds for which each write is repeated.

        Raises `NotExecutedError` or `OutcomeUnknownError`; edits before the failed transaction may have been written.
        After `OutcomeUnknownError` the cache has been brought up to a later read, or that has failed too.
        """
        self.quota_rebalancer.settle_uncertain_writes(patience)
        progress = _Progress(list(edits), tries, self.record_limits.max_writes)
        while progress.remaining and progress.tries_left:
            built = self._batch_builder.build(progress.remaining, progress.max_writes)
            progress.remaining = built.remaining
            progress.to_be_split += built.to_be_split
            if built.batch.writes:
                self._write_batch(built.batch, progress, patience)
        self._write_split_jobs(progress, patience)
        return progress.changed

    def _write_batch(self, batch: EditBatch, progress: _Progress, patience: float) -> None:
        try:
            revision = self.cache.write(batch.conditions, list(batch.writes.values()), retry_for_s=patience)
        except ConflictError as conflict:
            self._retry_after_conflict(batch, progress, conflict)
        except TransactionTooLargeError:
            self._retry_one_by_one(batch, progress)
        except OutcomeUnknownError:
            # The write may have been executed, or may be later. A read shows what has been executed, and the next call
            # rules out what hasn't, by `settle_uncertain_writes`.
            self.quota_rebalancer.mark_uncertain({team for team, _ in batch.added})
            self.cache.barrier(self.cache.client.timeout, "claim")
            raise
        except LeaseNotFoundError as error:
            raise NotExecutedError("no such lease") from error
        else:
            progress.changed.update(batch.jobs)
            _log_final_states(batch, revision)

    def _retry_after_conflict(self, batch: EditBatch, progress: _Progress, conflict: ConflictError) -> None:
        """Apply the edits again after a read, in smaller transactions with fewer conditions that may fail.

        Edits whose own conditions failed are given up: only the caller can make them anew.
        """
        log.debug("conflict over %s", conflict)
        progress.tries_left -= 1
        failed_keys = set(conflict.keys)
        retried = [edit for edit in batch.edits if not failed_keys & set(edit.conditions)]
        progress.remaining = retried + progress.remaining
        progress.max_writes = max(MIN_WRITES_AFTER_CONFLICT, progress.max_writes // 2)
        if progress.remaining and not self.cache.barrier(self.cache.client.timeout, "claim"):
            raise NotExecutedError("no read after a conflict") from conflict

    @staticmethod
    def _retry_one_by_one(batch: EditBatch, progress: _Progress) -> None:
        """Write each edit alone after the service refused a transaction for its size.

        The service takes less than its announced limits then. An edit that is too large by itself isn't written now.
        """
        progress.tries_left -= 1
        if len(batch.edits) > 1:
            progress.remaining = batch.edits + progress.remaining
            progress.max_writes = 1

    def _write_split_jobs(self, progress: _Progress, patience: float) -> None:
        """Split the records of jobs that have become too large, then write these jobs' edits."""
        for edit in progress.to_be_split:
            try:
                is_split = bool(progress.tries_left) and self._record_splitter.split(edit.job_id, patience)
            except TransactionTooLargeError:
                # a description taken when records were larger; the other jobs' edits must not fail with it
                log.error("job %s: not even its description fits a record now", edit.job_id)
                continue
            if is_split:
                progress.changed.update(self.write_edits([edit], patience, progress.tries_left))
