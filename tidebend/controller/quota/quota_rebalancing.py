"""Shares of teams' limits as transactions carry them: raised by claims, lowered by holders, written anew in doubt."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.coordination.schema_version import FORMAT, SchemaVersion
from tidebend.kvclient import ConflictError, NotExecutedError, OutcomeUnknownError, WatchCache
from tidebend.protocol import Write
from tidebend.quota import QUOTA, SPENT, TEAM, Amounts, ZoneQuotas, lowered, raised, within
from tidebend.settings import Settings, Team

log = logging.getLogger("ledger")


class QuotaRebalancer:
    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        job_cache: JobCache,
        schema_version: SchemaVersion,
        held: Callable[[], dict[str, tuple[str, int]]],
    ) -> None:
        self.settings = settings
        self.cache = cache
        self.job_cache = job_cache
        self.schema_version = schema_version
        self.held = held  # the zones whose blocks are ours, with the conditions that they still are
        self._doubtful: dict[str, object] = {}  # teams with claims that may be executed yet -> the last of them

    def for_allocation(
        self,
        team: str,
        shares: ZoneQuotas,
        batch: dict[tuple[str, str], Amounts],
        written: Write | None,
        added: dict[str, Amounts],
        held: dict[str, tuple[str, int]],
    ) -> tuple[dict[str, int], list[Write]] | None:
        """The conditions and writes under which a team may claim more; None if it may not.

        `batch`: what the transaction already claims more than it ends, by team and zone; `written`: what it already
        writes of these shares.
        """
        limit = self.settings.teams.get(team)
        grown = [zone for zone, (cpus, gpus) in added.items() if cpus > 0 or gpus > 0]
        if not grown or limit is None:
            return {}, []
        checks = {QUOTA + team: shares.version}
        zones = {zone: tuple(row) for zone, row in written[1].items()} if written else dict(shares.zones)
        needs = {}
        for zone in {*grown, *held}:
            used = self.job_cache.used(team, (zone,))
            for cpus, gpus in (batch.get((team, zone), (0.0, 0.0)), added.get(zone, (0.0, 0.0))):
                used = (used[0] + cpus, used[1] + gpus)
            needs[zone] = used
        enough = raised(zones, needs, grown, limit, len(self.settings.zones))
        if enough is None:
            return None
        if enough is zones:
            return checks, []
        checks.update(dict(held.values()))
        return checks, [(QUOTA + team, ZoneQuotas(0, enough).pack(), None)]

    def mark_uncertain(self, teams: set[str]) -> None:
        """Claims of these teams, or changes of their shares, got no answer: they may be executed yet."""
        self._doubtful.update((team, object()) for team in teams)

    def settle_uncertain_claims(self, patience: float) -> None:
        """A claim without an answer may be executed late, and only its team's shares bound what it takes; lowered
        shares may come late on top of a claim.

        Writing them anew ends that: it was conditional on the shares as they were. What happened before is read.
        """
        if not self._doubtful:
            return
        doubts = dict(self._doubtful)
        for team in sorted(doubts):
            shares = self.job_cache.team(team).shares
            if shares:
                with contextlib.suppress(ConflictError):  # they have been written since: just as well
                    self.cache.write(
                        {QUOTA + team: shares.version}, [(QUOTA + team, shares.pack(), None)], patience=patience
                    )
        if not self.cache.barrier(self.cache.state.timeout, "claim"):
            raise NotExecutedError("no read after a claim without an answer")
        for team, allocation in doubts.items():
            if self._doubtful.get(team) is allocation:  # else there has been another meanwhile
                del self._doubtful[team]

    def establish_shares(self) -> None:
        """Give teams shares instead of a common record, from what they use: once, when all can read them.

        Teams without a limit too: their claims then compare a record that never changes. Guards against holders that
        collide over the common record of a team whose jobs are many and small, for nothing.
        """
        if not self.schema_version.pipelines:
            return
        for team in self.settings.teams.values():
            if self.job_cache.has_zone_quotas(team.name):
                if team.cpus_max is not None or team.gpus_max is not None:
                    self._catch_up(team)
                continue
            with self.job_cache.lock:
                usage = self.job_cache.team(team.name)
                used = {zone: self.job_cache.used(team.name, (zone,)) for zone in self.settings.zones}
            self.cache.write(
                {TEAM + team.name: usage.version, QUOTA + team.name: 0, FORMAT: self.cache.get(FORMAT)[1]},
                [(TEAM + team.name, SPENT, None), (QUOTA + team.name, ZoneQuotas(0, used).pack(), None)],
            )
            log.info("team %s has shares of its limit in each zone from now on", team.name)

    def _catch_up(self, limit: Team) -> None:
        """Raise recorded shares to what is used: it can be more only where claims were made under another limit.

        Guards a limit that a team hasn't had before: what other zones use would count for less than it is.
        """
        with self.job_cache.lock:
            shares = self.job_cache.team(limit.name).shares
            used = {zone: self.job_cache.used(limit.name, (zone,)) for zone in self.settings.zones}
        if shares is None or all(within(row, shares.zones.get(zone, (0.0, 0.0)), limit) for zone, row in used.items()):
            return
        most = {
            zone: tuple(map(max, shares.zones.get(zone, (0.0, 0.0)), used.get(zone, (0.0, 0.0))))
            for zone in shares.zones.keys() | used.keys()
        }
        self.cache.write({QUOTA + limit.name: shares.version}, [(QUOTA + limit.name, ZoneQuotas(0, most).pack(), None)])
        log.info("team %s uses more than its shares: they are raised to it", limit.name)

    def release_shares(self, team: str) -> bool:
        """Lower a team's shares in our zones to what is used there; True if that gave others more room."""
        held = self.held()
        shares = self.job_cache.team(team).shares
        if shares is None or team in self._doubtful:
            return False
        lower = lowered(shares, {zone: self.job_cache.used(team, (zone,)) for zone in held})
        if lower is None:
            return False
        try:
            self.cache.write(
                {QUOTA + team: shares.version, **dict(held.values())}, [(QUOTA + team, lower.pack(), None)]
            )
        except OutcomeUnknownError:
            # Guards against overshoot: a claim within the share as we know it doesn't write the shares, so that this
            # would still be executed after it, and others would take what the claim uses.
            self.mark_uncertain({team})
            raise
        return True
