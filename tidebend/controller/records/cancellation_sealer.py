"""Sealing of cancellations that controllers of schema version 1 have recorded."""

from __future__ import annotations

import logging

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.kvclient import NotExecutedError
from tidebend.quota import TeamUsage

log = logging.getLogger("records")

# how long to retry a write on which the answer to a poll depends: users wait 2 s for the answer
POLL_WRITE_RETRY_S = 1.0
# how long to retry a write by a mapping event; the next mapping event tries again
MAPPING_EVENT_WRITE_RETRY_S = 0.1


class CancellationSealer:
    """Prevents controllers of schema version 1 from recording cancelled jobs as done.

    For the sealing of a record see `Job`. It is needed even if no such controller runs any more: a transaction of a
    terminated one may still be executed late.
    """

    def __init__(self, job_cache: JobCache, job_writer: JobWriter) -> None:
        """Seal the cancelled jobs in `job_cache`."""
        self._job_cache = job_cache
        self._job_writer = job_writer

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
        """Seal all known cancellations, before the last tasks of the jobs end.

        If several controllers try at the same time, the first one succeeds. Raises the errors of
        `JobWriter.write_edits`.
        """
        unsealed = self._job_cache.unsealed_cancellations()
        if unsealed:
            self._write(unsealed, MAPPING_EVENT_WRITE_RETRY_S)

    def _write(self, job_ids: list[str], retry_for_s: float) -> None:
        edits = [JobEdit(job_id, _with_sealed_cancellation) for job_id in job_ids]
        for job_id, job in self._job_writer.write_edits(edits, retry_for_s).items():
            log.info("job %s: cancellation sealed, by its record of revision %d", job_id, job.version)

    def _needs_sealing(self, job_id: str) -> bool:
        job = self._job_cache.get(job_id)
        return job is not None and job.needs_sealing


def _with_sealed_cancellation(job: Job, _: TeamUsage) -> Job | None:
    return job.with_cancellation() if job.needs_sealing else None
