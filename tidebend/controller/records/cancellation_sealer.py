"""Seals cancellations that controllers of the first schema version have recorded."""

from __future__ import annotations

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.kvclient import NotExecutedError
from tidebend.quota import TeamUsage

# the time in seconds for which a write ahead of an answer is repeated: users wait 2 s for the answer to a poll
ANSWER_PATIENCE_S = 1.0
# the time in seconds for which a write on sight is repeated; the next mapping event tries again
ON_SIGHT_PATIENCE_S = 0.1


class CancellationSealer:
    """Keeps cancelled jobs cancelled, though controllers of the first schema version may record them as done.

    How a record is sealed: see `Job`. Such a controller may have ended long ago: its transactions may be executed late.
    """

    def __init__(self, job_cache: JobCache, job_writer: JobWriter) -> None:
        """Seal the jobs in `job_cache`."""
        self._job_cache = job_cache
        self._job_writer = job_writer

    def seal(self, job_id: str) -> None:
        """Make sure that a job that is known to be cancelled stays so, whoever recorded it.

        Raises `NotExecutedError` if that can't be had now, or what `JobWriter.write_edits` raises.
        """
        if not self._needs_sealing(job_id):
            return
        self._write([job_id], ANSWER_PATIENCE_S)
        if self._needs_sealing(job_id):
            raise NotExecutedError("the cancellation isn't sealed")

    def seal_all(self) -> None:
        """Seal all cancellations that are known, ahead of the end of the last tasks.

        Several controllers may try at the same time: the first one succeeds. Raises what
        `JobWriter.write_edits` raises.
        """
        unsealed = self._job_cache.unsealed()
        if unsealed:
            self._write(unsealed, ON_SIGHT_PATIENCE_S)

    def _write(self, job_ids: list[str], patience: float) -> None:
        self._job_writer.write_edits([JobEdit(job_id, _sealed) for job_id in job_ids], patience)

    def _needs_sealing(self, job_id: str) -> bool:
        job = self._job_cache.get(job_id)
        return job is not None and job.needs_sealing


def _sealed(job: Job, _: TeamUsage) -> Job | None:
    return job.with_cancellation() if job.needs_sealing else None
