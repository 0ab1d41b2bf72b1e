"""Staggered claims: controllers delay their claims of a job by different times to avoid conflicts."""

from __future__ import annotations

import zlib
from collections.abc import Container
from typing import NamedTuple

from tidebend.cluster_state.job_records import Job
from tidebend.settings import Settings

# interval between the claims of two shards, as a share of the workers' report interval
CLAIM_INTERVAL_PER_REPORT = 0.1


class _PendingState(NamedTuple):
    """A job's pending tasks when it was last checked, and since when it has had pending tasks."""

    tasks: int  # bitmap
    since: float  # monotonic time


def shard_order(job_id: str, shards: list[str]) -> list[str]:
    """Return the order in which shards may claim a job: the same on every controller, different for each job."""
    return sorted(shards, key=lambda shard: zlib.crc32(f"{job_id}/{shard}".encode()))


class ClaimStagger:
    """Tracks since when jobs have been pending, and when each shard may claim them."""

    def __init__(self, settings: Settings) -> None:
        """Start without pending jobs."""
        self.interval_s = CLAIM_INTERVAL_PER_REPORT * settings.report_s
        self._since: dict[str, _PendingState] = {}

    def forget_jobs_not_in(self, pending: Container[str]) -> list[str]:
        """Forget the jobs that aren't pending any more, and return them."""
        finished = [job_id for job_id in self._since if job_id not in pending]
        for job_id in finished:
            del self._since[job_id]
        return finished

    def pending_since(self, job_id: str) -> float | None:
        """Return the monotonic time since which a job has had pending tasks; None if it isn't known to have any."""
        entry = self._since.get(job_id)
        return entry.since if entry else None

    def delay_s(self, job: Job, shard: str, shards: list[str], now: float, claim_round: int) -> float:
        """Return the seconds until this shard may claim a job's tasks; 0 or less means now.

        Shards with a machine that has the job's image claim in round 0, all others after them in round 1, since a fetch
        takes longer than this delay.
        """
        entry = self._update_pending_state(job, now)
        order = shard_order(job.id, shards)
        if shard not in order or len(order) == 1:
            return 0.0  # no other shard competes for the job
        return entry.since + (order.index(shard) + claim_round * len(order)) * self.interval_s - now

    def _update_pending_state(self, job: Job, now: float) -> _PendingState:
        pending = job.pending
        entry = self._since.get(job.id)
        if entry is None or entry.tasks != pending:
            entry = _PendingState(pending, now if entry is None else entry.since)
            self._since[job.id] = entry
        return entry
