"""Jobs whose edits failed repeatedly, so that they neither hold up nor take the room of other jobs."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass

from tidebend.cluster_state.job_cache import JobCache
from tidebend.controller.records.job_edit import JobEdit

log = logging.getLogger("records")

# An edit is deferred after this number of consecutive failed transactions with edits of its job. One failure is the
# normal result of another controller's write.
DEFERRED_AFTER_FAILURES = 2
# the backoff of a job's claims when its edits are first deferred, and its maximum, in report intervals of the workers
INITIAL_BACKOFF_REPORTS = 0.25
MAX_BACKOFF_REPORTS = 8.0
MAX_DOUBLINGS = 16  # beyond the maximum; bounds the exponent


@dataclass
class _Failures:
    """The consecutive failed transactions with edits of one job."""

    count: int = 0
    retry_at: float = 0.0  # monotonic time before which no new claim of the job is planned


class FailedEdits:
    """Counts consecutive failed transactions by job. Safe for use by several threads.

    Kept across calls of the job writer: each call gives up after a few failures, so the same edits at the front of each
    call would keep all others from being written. Bounded by the number of live jobs.
    """

    def __init__(self, job_cache: JobCache, report_s: float) -> None:
        """Jobs that are no longer in `job_cache` are dropped; `report_s` is the workers' report interval."""
        self._job_cache = job_cache
        self._report_s = report_s
        self._lock = threading.Lock()
        self._failures: dict[str, _Failures] = {}  # by job

    def record_failure(self, edits: Iterable[JobEdit]) -> None:
        """Count a transaction that failed because of these edits."""
        now = time.monotonic()
        with self._lock:
            for edit in edits:
                failures = self._failures.setdefault(edit.job_id, _Failures())
                failures.count += 1
                failures.retry_at = now + self._backoff_s(failures.count)
                if failures.count == DEFERRED_AFTER_FAILURES:
                    log.info(
                        "job %s: %d transactions failed in a row; other jobs go first", edit.job_id, failures.count
                    )

    def _backoff_s(self, count: int) -> float:
        if count < DEFERRED_AFTER_FAILURES:
            return 0.0
        backoff_reports = INITIAL_BACKOFF_REPORTS * 2.0 ** min(count - DEFERRED_AFTER_FAILURES, MAX_DOUBLINGS)
        return min(MAX_BACKOFF_REPORTS, backoff_reports) * self._report_s

    def record_success(self, job_ids: Iterable[str]) -> None:
        """Reset the counts of jobs whose edits were written."""
        self._forget(job_ids)

    def is_backing_off(self, job_id: str, now: float) -> bool:
        """Whether no claim of a job should be planned now: its room would be lost to other jobs for nothing."""
        with self._lock:
            failures = self._failures.get(job_id)
            return failures is not None and now < failures.retry_at

    def split(self, edits: list[JobEdit]) -> tuple[list[JobEdit], list[JobEdit]]:
        """Return the edits to be written first, in their order, and the deferred ones, fewest failures first.

        A deferred edit must not share a transaction with another edit.
        """
        with self._lock:
            counts = {job_id: failures.count for job_id, failures in self._failures.items()}
        self._forget([job_id for job_id in counts if self._job_cache.get(job_id) is None])
        first = [edit for edit in edits if counts.get(edit.job_id, 0) < DEFERRED_AFTER_FAILURES]
        deferred = [edit for edit in edits if counts.get(edit.job_id, 0) >= DEFERRED_AFTER_FAILURES]
        return first, sorted(deferred, key=lambda edit: counts[edit.job_id])

    def _forget(self, job_ids: Iterable[str]) -> None:
        with self._lock:
            for job_id in job_ids:
                self._failures.pop(job_id, None)
