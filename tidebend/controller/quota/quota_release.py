"""Releases unused zone quotas when a team's waiting jobs need more of the limit than is free."""

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
    """Decides when our zones' unused quotas are released.

    No requests are sent between controllers: each holder of shards sees from the same records which jobs wait, what of
    the limit is free, and which of its own quotas it doesn't use. A zone's quota can be released by whoever holds the
    zone's shard, so the quota of a controller that is down or cut off is tied up only until the shard's next holder.
    """

    def __init__(
        self, settings: Settings, job_cache: JobCache, quota_rebalancer: QuotaRebalancer, completions: CompletionTracker
    ) -> None:
        """Release by `quota_rebalancer`, after the pause that `completions` keeps between allocations."""
        self._settings = settings
        self._job_cache = job_cache
        self._quota_rebalancer = quota_rebalancer
        # our own jobs may use the quota first: their ended tasks make room for the team's next ones
        self._delay_s = completions.allocation_pause_s
        self._short_since: dict[str, float] = {}  # team -> steady time since which too little of its limit is free

    def release_for(self, waiting: Iterable[Job], now: float) -> None:
        """Release the quotas of teams whose waiting jobs have been short of quota for long enough.

        Raises the errors of `WatchCache.write` but for conflicts.
        """
        short = self._teams_short_of_quota(waiting)
        self._short_since = {team: self._short_since.get(team, now) for team in short}
        for team in sorted(short):
            if now - self._short_since[team] > self._delay_s:
                self._short_since[team] = now
                with contextlib.suppress(ConflictError):
                    self._quota_rebalancer.release_unused(team)

    def _teams_short_of_quota(self, waiting: Iterable[Job]) -> set[str]:
        """Return the teams with a job that can't start another task, or can't start at all, with what is free."""
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
            # a gang needs room for all its tasks: it would wait for ever beside an amount that one of them fits into
            tasks = job.pending.bit_count() if spec.kind == "gang" else 1
            if total is not None and not limit.allows(total[0] + spec.cpus * tasks, total[1] + spec.gpus * tasks):
                short.add(spec.team)
        return short
