"""Releases unused zone quotas when a team's waiting jobs need more than the free part of its limit."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.kvclient import ConflictError
from tidebend.quota import QuotaAmountLike
from tidebend.settings import Settings


class QuotaReleaser:
    """Decides when the unused quotas of the zones held here are released.

    Controllers send each other no requests for this: each shard holder sees from the same records which jobs wait, how
    much of the limit is free, and how much of its own quotas is unused. Whoever holds a zone's shard can release the
    zone's quota, so the quota of a controller that is down or cut off is blocked only until the shard has another
    holder.
    """

    def __init__(
        self, settings: Settings, job_cache: JobCache, quota_rebalancer: QuotaRebalancer, completions: CompletionTracker
    ) -> None:
        """Quotas are released by `quota_rebalancer`, after the pause that `completions` keeps between allocations."""
        self._settings = settings
        self._job_cache = job_cache
        self._quota_rebalancer = quota_rebalancer
        # jobs in the zones held here may use the quota first: their ended tasks free quota for the team's next tasks
        self._delay_s = completions.allocation_pause_s
        self._short_since: dict[str, float] = {}  # team -> monotonic time since which too little of its limit is free

    def release_for(self, waiting: Iterable[Job], now: float) -> None:
        """Release the quotas of teams whose waiting jobs have been short of quota for long enough.

        Raises the errors of `WatchCache.write` except `ConflictError`.
        """
        short = self._teams_short_of_quota(waiting)
        self._short_since = {team: self._short_since.get(team, now) for team in short}
        for team in sorted(short):
            if now - self._short_since[team] > self._delay_s:
                self._short_since[team] = now
                with contextlib.suppress(ConflictError):
                    self._quota_rebalancer.release_unused(team)

    def _teams_short_of_quota(self, waiting: Iterable[Job]) -> set[str]:
        """Return the teams with a job for whose next task, or whole gang, too little of the limit is free."""
        totals: dict[str, QuotaAmountLike | None] = {}
        short = set()
        for job in waiting:
            spec = job.spec
            limit = self._settings.teams.get(spec.team)
            if limit is None or spec.team in short:
                continue
            if spec.team not in totals:
                quotas = self._job_cache.team(spec.team).zone_quotas
                totals[spec.team] = quotas.total() if quotas else None
            total = totals[spec.team]
            # A gang needs quota for all its tasks: checked for a single task, it would wait forever beside free quota
            # that is enough for one.
            tasks = job.pending.bit_count() if spec.kind == "gang" else 1
            if total is not None and not limit.allows(total[0] + spec.cpus * tasks, total[1] + spec.gpus * tasks):
                short.add(spec.team)
        return short
