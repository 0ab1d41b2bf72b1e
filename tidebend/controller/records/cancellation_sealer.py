"""Sealing of cancellations that controllers of schema version 1 have recorded."""

from __future__ import annotations

import contextlib
import logging
import threading
import time

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.kvclient import NotExecutedError, OutcomeUnknownError, RequestKind
from tidebend.quota import TeamUsage
from tidebend.threads import start_daemon

log = logging.getLogger("records")

# how long to retry a write on which the answer to a poll depends: users wait 2 s for the answer
POLL_WRITE_RETRY_S = 1.0
# how long to retry a write of all known cancellations before it is made anew from what has been read meanwhile
WRITE_RETRY_S = 0.1


class CancellationSealer:
    """Prevents controllers of schema version 1 from recording cancelled jobs as done.

    For the sealing of a record see `Job`. It is needed even if no such controller runs any more: a transaction of a
    terminated one may still be executed late. Seals are written by a thread of their own, since a mapping event may
    wait for the key-value store's rate limit until the last tasks have ended.
    """

    def __init__(self, job_cache: JobCache, job_writer: JobWriter) -> None:
        """Seal the cancelled jobs in `job_cache`."""
        self._job_cache = job_cache
        self._job_writer = job_writer
        self._wake_event = threading.Event()

    def start(self) -> None:
        """Start the thread, which runs until the process ends."""
        start_daemon("sealer", self._run)

    def wake_if_needed(self) -> None:
        """Request that the thread seal what is known, if there is anything to seal."""
        if self._job_cache.has_unsealed_cancellations():
            self._wake_event.set()

    def _run(self) -> None:
        while True:
            self._wake_event.wait()
            self._wake_event.clear()
            self.seal_until_done()

    def seal_until_done(self) -> None:
        """Seal all known cancellations, and try again until none is left."""
        while self._job_cache.has_unsealed_cancellations():
            try:
                with contextlib.suppress(NotExecutedError, OutcomeUnknownError):
                    self.seal_all()
            except Exception:
                log.exception("sealing cancellations failed")
            time.sleep(1.0 / self._job_writer.writes_per_s)

    def seal(self, job_id: str) -> None:
        """Make sure that a cancelled job stays cancelled, whichever controller recorded the cancellation.

        Raises `NotExecutedError` if it can't be sealed now, and the errors of `JobWriter.write_edits`.
        """
        if not self._needs_sealing(job_id):
            return
        self._write([job_id], POLL_WRITE_RETRY_S)
        if self._needs_sealing(job_id):
            raise NotExecutedError("the job's cancellation could not be sealed")

    def seal_all(self) -> None:
        """Seal all known cancellations, those of the jobs first whose last tasks may end soonest.

        If several controllers try at the same time, the first one succeeds. Raises the errors of
        `JobWriter.write_edits`.
        """
        unsealed = self._job_cache.unsealed_cancellations()
        if unsealed:
            self._write([job.id for job in sorted(unsealed, key=_steps_to_completion)], WRITE_RETRY_S)

    def _write(self, job_ids: list[str], retry_for_s: float) -> None:
        edits = [JobEdit(job_id, _with_sealed_cancellation) for job_id in job_ids]
        for job_id, job in self._job_writer.write_edits(edits, retry_for_s, kind=RequestKind.SEAL).items():
            log.info("job %s: cancellation sealed, by its record of revision %d", job_id, job.version)

    def _needs_sealing(self, job_id: str) -> bool:
        job = self._job_cache.get(job_id)
        return job is not None and job.needs_sealing


def _steps_to_completion(job: Job) -> tuple[bool, int]:
    """Return a sort key: whether the job has tasks that would have to be allocated first, and how many aren't done."""
    remaining = job.all_tasks & ~job.done
    return bool(remaining & ~job.allocated), remaining.bit_count()


def _with_sealed_cancellation(job: Job, _: TeamUsage) -> Job | None:
    return job.with_cancellation() if job.needs_sealing else None
