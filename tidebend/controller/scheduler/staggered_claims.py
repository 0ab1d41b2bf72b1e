"""Staggered claims: controllers wait for different times before they claim a job, so as not to collide over it."""

from __future__ import annotations

import zlib
from collections.abc import Container
from typing import NamedTuple

from tidebend.cluster_state.job_records import Job
from tidebend.settings import Settings

# time between the claims of two shards, as a share of the workers' report interval
INTERVAL_PER_REPORT = 0.1


class _PendingSince(NamedTuple):
    """A job's pending tasks when it was last looked at, and since when it has had any."""

    tasks: int  # bitmap
    since: float  # steady time


def shard_order(job: str, shards: list[str]) -> list[str]:
    """The order in which shards may claim a job: the same for every controller, another for each job."""
    return sorted(shards, key=lambda shard: zlib.crc32(f"{job}/{shard}".encode()))


class ClaimStagger:
    """Since when jobs wait, and when each shard may claim them."""

    def __init__(self, settings: Settings) -> None:
        """Nothing is known to wait."""
        self.interval_s = INTERVAL_PER_REPORT * settings.report_s
        self._since: dict[str, _PendingSince] = {}

    def forget_all_but(self, pending: Container[str]) -> list[str]:
        """Forget jobs that aren't pending any more; returns them."""
        over = [name for name in self._since if name not in pending]
        for name in over:
            del self._since[name]
        return over

    def pending_since(self, name: str) -> float | None:
        """Steady time since which a job has had pending tasks; None if it isn't known to have any."""
        seen = self._since.get(name)
        return seen.since if seen else None

    def delay_s(self, job: Job, shard: str, shards: list[str], now: float, round_: int) -> float:
        """Seconds until this shard may claim a job's tasks; 0 or less: now.

        Shards with a machine that has the job's image claim in round 0, the others after all of them in round 1: a
        fetch takes longer than the wait.
        """
        seen = self._seen(job, now)
        order = shard_order(job.id, shards)
        if shard not in order or len(order) == 1:
            return 0.0  # there is no other shard to collide with
        return seen.since + (order.index(shard) + round_ * len(order)) * self.interval_s - now

    def _seen(self, job: Job, now: float) -> _PendingSince:
        pending = job.pending
        seen = self._since.get(job.id)
        if seen is None or seen.tasks != pending:
            seen = _PendingSince(pending, now if seen is None else seen.since)
            self._since[job.id] = seen
        return seen
