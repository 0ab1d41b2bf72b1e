"""Moves a team's limit among zones: quotas are raised by allocations and lowered by the holders of zones' shards.

A team's limit is divided into one quota per zone, all in one record, as with escrow locking: the holder of a zone's
shard may allocate within the zone's quota without regard to other zones. Together the quotas never exceed the limit.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.cluster_state.job_cache import JobCache
from tidebend.coordination.schema_version import SCHEMA_VERSION_KEY, SchemaVersion
from tidebend.kvclient import ConflictError, NotExecutedError, OutcomeUnknownError, WatchCache
from tidebend.protocol import Write
from tidebend.quota import (
    EXHAUSTED,
    QUOTA_PREFIX,
    TEAM_PREFIX,
    QuotaAmountLike,
    ZoneQuotas,
    fits_within,
    lower_shares,
    raise_shares,
)
from tidebend.settings import Settings, Team

log = logging.getLogger("quota")

NOTHING: QuotaAmountLike = (0.0, 0.0)

# zone -> the condition (key and version) that its shard is still ours
HeldZones = dict[str, tuple[str, int]]


@dataclass(frozen=True)
class QuotaChange:
    """What a transaction has to contain so that its allocations keep the team's limit."""

    conditions: dict[str, int] = field(default_factory=dict)
    writes: list[Write] = field(default_factory=list)


class QuotaRebalancer:
    """Raises, releases and creates zone quotas, under conditions that make each change safe against all others."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        job_cache: JobCache,
        schema_version: SchemaVersion,
        held_zones: Callable[[], HeldZones],
    ) -> None:
        """`held_zones` returns the zones whose shards are ours."""
        self.settings = settings
        self.cache = cache
        self.job_cache = job_cache
        self.schema_version = schema_version
        self.held_zones = held_zones
        # team with writes that may still be executed -> an object that stands for the last of them
        self._uncertain_teams: dict[str, object] = {}

    def change_for_allocation(
        self,
        team: str,
        quotas: ZoneQuotas,
        *,
        already_added: dict[tuple[str, str], QuotaAmountLike],
        already_written: Write | None,
        added: dict[str, QuotaAmountLike],
        held_zones: HeldZones,
    ) -> QuotaChange | None:
        """Return what allocations need so that they keep the team's limit; None if they would exceed it.

        `added` is what they take in each zone, `already_added` what the transaction takes by team and zone without
        them, less what it ends; `already_written` is the transaction's write of these quotas, if it has one.
        """
        limit = self.settings.teams.get(team)
        grown_zones = [zone for zone, (cpus, gpus) in added.items() if cpus > 0 or gpus > 0]
        if not grown_zones or limit is None:
            return QuotaChange()
        conditions = {QUOTA_PREFIX + team: quotas.version}
        by_zone = _unpack_written(already_written) if already_written else dict(quotas.zones)
        needs = {}
        for zone in {*grown_zones, *held_zones}:
            used: QuotaAmountLike = self.job_cache.used(team, (zone,))
            used = _plus(used, already_added.get((team, zone), NOTHING))
            needs[zone] = _plus(used, added.get(zone, NOTHING))
        sufficient = raise_shares(by_zone, needs, grown_zones, limit, len(self.settings.zones))
        if sufficient is None:
            return None
        if sufficient is by_zone:
            return QuotaChange(conditions)
        conditions.update(dict(held_zones.values()))
        return QuotaChange(conditions, [(QUOTA_PREFIX + team, ZoneQuotas(0, sufficient).pack(), None)])

    def mark_uncertain(self, teams: set[str]) -> None:
        """Note that writes of these teams' allocations or quotas got no answer, and may still be executed."""
        self._uncertain_teams.update((team, object()) for team in teams)

    def settle_uncertain_writes(self, patience: float) -> None:
        """Make sure that no write without an answer can be executed any more, and learn which have been.

        An allocation that is executed late is bounded only by its zone's quota, and a quota may be lowered late below
        an allocation made meanwhile. Both are conditional on the quotas' version, so writing the quotas anew, with
        the same values, rules them out. Raises `NotExecutedError` if what happened before can't be read.
        """
        if not self._uncertain_teams:
            return
        uncertain = dict(self._uncertain_teams)
        for team in sorted(uncertain):
            quotas = self.job_cache.team(team).zone_quotas
            if quotas:
                # a conflict means that the quotas have been written since, which serves as well
                with contextlib.suppress(ConflictError):
                    self.cache.write(
                        {QUOTA_PREFIX + team: quotas.version},
                        [(QUOTA_PREFIX + team, quotas.pack(), None)],
                        retry_for_s=patience,
                    )
        if not self.cache.barrier(self.cache.client.timeout, "claim"):
            raise NotExecutedError("no read after a claim without an answer")
        for team, last_write in uncertain.items():
            if self._uncertain_teams.get(team) is last_write:  # otherwise there has been another one meanwhile
                del self._uncertain_teams[team]

    def establish_quotas(self) -> None:
        """Replace the common records of teams by zone quotas, at what they use, once all controllers can read them.

        Teams without a limit get them too: their allocations are then conditional on a record that never changes,
        while holders would collide over the common record of a team with many small jobs without any need.
        Raises `ConflictError` and the other errors of `WatchCache.write`.
        """
        if not self.schema_version.supports_pipelines:
            return
        for team in self.settings.teams.values():
            if self.job_cache.has_zone_quotas(team.name):
                if team.cpus_max is not None or team.gpus_max is not None:
                    self._raise_to_usage(team)
                continue
            with self.job_cache.lock:
                usage = self.job_cache.team(team.name)
                used = self._used_by_zone(team.name)
            self.cache.write(
                {
                    TEAM_PREFIX + team.name: usage.version,
                    QUOTA_PREFIX + team.name: 0,
                    SCHEMA_VERSION_KEY: self.cache.get(SCHEMA_VERSION_KEY)[1],
                },
                [
                    (TEAM_PREFIX + team.name, EXHAUSTED, None),
                    (QUOTA_PREFIX + team.name, ZoneQuotas(0, used).pack(), None),
                ],
            )
            log.info("team %s has shares of its limit in each zone from now on", team.name)

    def _raise_to_usage(self, limit: Team) -> None:
        """Raise the quotas to what is used, which exceeds them only where allocations were made under another limit.

        A team that had no limit before has quotas below its usage: other zones' usage would be counted too low.
        """
        with self.job_cache.lock:
            quotas = self.job_cache.team(limit.name).zone_quotas
            used = self._used_by_zone(limit.name)
        if quotas is None or all(
            fits_within(amounts, quotas.zones.get(zone, NOTHING), limit) for zone, amounts in used.items()
        ):
            return
        sufficient = {
            zone: _larger(quotas.zones.get(zone, NOTHING), used.get(zone, NOTHING))
            for zone in quotas.zones.keys() | used.keys()
        }
        self.cache.write(
            {QUOTA_PREFIX + limit.name: quotas.version},
            [(QUOTA_PREFIX + limit.name, ZoneQuotas(0, sufficient).pack(), None)],
        )
        log.info("team %s uses more than its shares: they are raised to it", limit.name)

    def release_unused(self, team: str) -> bool:
        """Lower a team's quotas in our zones to what is used there; True if that gave other zones more room.

        Raises `ConflictError` and the other errors of `WatchCache.write`.
        """
        held_zones = self.held_zones()
        quotas = self.job_cache.team(team).zone_quotas
        if quotas is None or team in self._uncertain_teams:
            return False
        lower = lower_shares(quotas, {zone: self.job_cache.used(team, (zone,)) for zone in held_zones})
        if lower is None:
            return False
        try:
            self.cache.write(
                {QUOTA_PREFIX + team: quotas.version, **dict(held_zones.values())},
                [(QUOTA_PREFIX + team, lower.pack(), None)],
            )
        except OutcomeUnknownError:
            # An allocation within the quota that we know doesn't write the quotas, so this write could be executed
            # after it, and other zones would use what the allocation uses: the limit would be exceeded.
            self.mark_uncertain({team})
            raise
        return True

    def _used_by_zone(self, team: str) -> dict[str, QuotaAmountLike]:
        return {zone: self.job_cache.used(team, (zone,)) for zone in self.settings.zones}


def _unpack_written(write: Write) -> dict[str, QuotaAmountLike]:
    """Return the quotas by zone of a write of them."""
    return {zone: (amounts[0], amounts[1]) for zone, amounts in write[1].items()}


def _plus(one: QuotaAmountLike, other: QuotaAmountLike) -> QuotaAmountLike:
    return one[0] + other[0], one[1] + other[1]


def _larger(one: QuotaAmountLike, other: QuotaAmountLike) -> QuotaAmountLike:
    return max(one[0], other[0]), max(one[1], other[1])
