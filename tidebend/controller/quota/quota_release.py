"""Shares of a team's limit go back when work of the team waits that finds no room in what is free of it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.records.completions import CompletionTracker
from tidebend.kvclient import ConflictError
from tidebend.quota import Amounts
from tidebend.settings import Settings


class QuotaReleaser:
    """Every holder looks at the same records: who waits, what is free, and what of its own shares it doesn't use.

    That its work waits is all that a team has to say, and its job's record says it. A share lies with whoever holds its
    zone's block: so it waits for a holder that is dead or cut off no longer than for that block's next holder.
    """

    def __init__(
        self, settings: Settings, job_cache: JobCache, quota_rebalancer: QuotaRebalancer, completions: CompletionTracker
    ) -> None:
        self.settings = settings
        self.job_cache = job_cache
        self.quota_rebalancer = quota_rebalancer
        # a moment later, since it is we who use them first: our own tasks that end make room for the team's next
        self.pause_s = completions.allocation_pause_s
        self._since: dict[str, float] = {}  # team -> steady time since which what is free is too small

    def look(self, waiting: Iterable[Job], now: float) -> None:
        short = self._short(waiting)
        self._since = {team: self._since.get(team, now) for team in short}
        for team in sorted(short):
            if now - self._since[team] > self.pause_s:
                self._since[team] = now
                with contextlib.suppress(ConflictError):
                    self.quota_rebalancer.release_shares(team)

    def _short(self, waiting: Iterable[Job]) -> set[str]:
        """Teams some job of which can't begin another task, or can't begin at all, with what is free."""
        totals: dict[str, Amounts | None] = {}
        short = set()
        for job in waiting:
            spec = job.spec
            limit = self.settings.teams.get(spec.team)
            if limit is None or spec.team in short:
                continue
            if spec.team not in totals:
                shares = self.job_cache.team(spec.team).shares
                totals[spec.team] = shares.total() if shares else None
            total = totals[spec.team]
            # guards against a gang that waits for ever beside a free amount that any one of its tasks would fit into
            tasks = job.pending.bit_count() if spec.kind == "gang" else 1
            if total is not None and not limit.allows(total[0] + spec.cpus * tasks, total[1] + spec.gpus * tasks):
                short.add(spec.team)
        return short
