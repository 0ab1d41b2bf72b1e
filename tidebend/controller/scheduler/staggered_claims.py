"""Whose turn it is: holders take turns at waiting jobs, so as not to collide over them."""

from __future__ import annotations

import zlib

from tidebend.cluster_state.job_records import Job
from tidebend.settings import Settings


def order_of(job: str, shards: list[str]) -> list[str]:
    """The order in which blocks take their turns at a job: the same for every holder, another for each job."""
    return sorted(shards, key=lambda shard: zlib.crc32(f"{job}/{shard}".encode()))


class ClaimStagger:
    def __init__(self, settings: Settings) -> None:
        self.turn_s = 0.1 * settings.report_s
        self._since: dict[str, tuple[int, float]] = {}  # job -> (pending bitmap, steady time)

    def keep(self, waiting: set[str] | dict[str, Job]) -> list[str]:
        """Forget jobs that don't wait any more; returns them."""
        over = [name for name in self._since if name not in waiting]
        for name in over:
            del self._since[name]
        return over

    def waits_since(self, name: str) -> float | None:
        """Steady time since which just these tasks of a job wait."""
        seen = self._since.get(name)
        return seen[1] if seen else None

    def until(self, job: Job, shard: str, shards: list[str], now: float, round_: int) -> float:
        """Seconds until this block may take a job's tasks: holders take turns, so as not to collide.

        Blocks with the job's image at hand take theirs in a round before the others: a fetch takes longer.
        """
        pending = job.pending
        seen = self._since.get(job.id)
        if seen is None or seen[0] != pending:
            seen = (pending, now if seen is None else seen[1])
            self._since[job.id] = seen
        order = order_of(job.id, shards)
        if shard not in order or len(order) == 1:
            return 0.0  # nobody to collide with
        return seen[1] + (order.index(shard) + round_ * len(order)) * self.turn_s - now
