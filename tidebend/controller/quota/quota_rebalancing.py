"""Rebalances a team's zone quotas: allocations raise them, and the holders of the zones' shards lower them.

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
    EXHAUSTED_CHARGE,
    QUOTA_PREFIX,
    TEAM_PREFIX,
    QuotaAmountLike,
    ZoneQuotas,
    fits_within,
    lower_quotas,
    raise_quotas,
)
from tidebend.settings import Settings, Team

log = logging.getLogger("quota")

ZERO_AMOUNT: QuotaAmountLike = (0.0, 0.0)

# zone -> the condition (key and version) that this controller still holds the zone's shard
HeldZones = dict[str, tuple[str, int]]


@dataclass(frozen=True)
class QuotaChange:
    """The conditions and writes by which a transaction keeps its allocations within the team's limit."""

    conditions: dict[str, int] = field(default_factory=dict)
    writes: list[Write] = field(default_factory=list)


class QuotaRebalancer:
    """Creates, raises and releases zone quotas, under conditions that make concurrent changes safe."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        job_cache: JobCache,
        schema_version: SchemaVersion,
        held_zones: Callable[[], HeldZones],
    ) -> None:
        """`held_zones` returns the zones whose shards this controller holds."""
        self.settings = settings
        self.cache = cache
        self.job_cache = job_cache
        self.schema_version = schema_version
        self.held_zones = held_zones
        # team with writes of unknown outcome -> an object that identifies the last of them
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
        """Return what keeps allocations within the team's limit; None if they would exceed it.

        `added` is the resources of the allocations by zone. `already_added` is those of the transaction's other
        allocations by team and zone, less those of the tasks that it ends. `already_written` is the transaction's
        write of these quotas, if it has one.
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
            used = _plus(used, already_added.get((team, zone), ZERO_AMOUNT))
            needs[zone] = _plus(used, added.get(zone, ZERO_AMOUNT))
        sufficient = raise_quotas(by_zone, needs, grown_zones, limit, len(self.settings.zones))
        if sufficient is None:
            return None
        if sufficient is by_zone:
            return QuotaChange(conditions)
        conditions.update(dict(held_zones.values()))
        return QuotaChange(conditions, [(QUOTA_PREFIX + team, ZoneQuotas(0, sufficient).pack(), None)])

    def mark_uncertain(self, teams: set[str]) -> None:
        """Record that the outcome of writes of these teams' allocations or quotas is unknown."""
        self._uncertain_teams.update((team, object()) for team in teams)

    def settle_uncertain_writes(self, retry_for_s: float) -> None:
        """Make sure that no write of unknown outcome can still be executed, and read which ones were.

        A late allocation is bounded by its zone's quota alone, and a late write may lower a quota below an allocation
        made meanwhile. Both are conditional on the version of the quotas, so writing the quotas again with the same
        values makes them fail. Raises `NotExecutedError` if the read barrier fails.
        """
        if not self._uncertain_teams:
            return
        uncertain = dict(self._uncertain_teams)
        for team in sorted(uncertain):
            quotas = self.job_cache.team(team).zone_quotas
            if quotas:
                # a conflict means that the quotas have been written since, which makes the earlier writes fail as well
                with contextlib.suppress(ConflictError):
                    self.cache.write(
                        {QUOTA_PREFIX + team: quotas.version},
                        [(QUOTA_PREFIX + team, quotas.pack(), None)],
                        retry_for_s=retry_for_s,
                    )
        if not self.cache.barrier(self.cache.client.timeout, "claim"):
            raise NotExecutedError("read barrier failed after a claim with unknown outcome")
        for team, last_write in uncertain.items():
            if self._uncertain_teams.get(team) is last_write:  # otherwise another write was recorded meanwhile
                del self._uncertain_teams[team]

    def establish_quotas(self) -> None:
        """Replace the teams' records by zone quotas equal to their usage, once all controllers can read these.

        Teams without a limit get zone quotas too: their allocations are then conditional on a record that never
        changes, while on the common record of a team with many small jobs, holders would conflict needlessly.
        A team whose write conflicts is left to the next call. Raises the errors of `WatchCache.write` except
        `ConflictError`.
        """
        if not self.schema_version.supports_pipelines:
            return
        for team in self.settings.teams.values():
            try:
                self._establish_quotas_of(team)
            except ConflictError as conflict:
                log.info("team %s: zone quotas not written because of a conflict: %s", team.name, conflict)

    def _establish_quotas_of(self, team: Team) -> None:
        """Write a team's first zone quotas, or raise those that it has to its usage."""
        if self.job_cache.has_zone_quotas(team.name):
            if team.cpus_max is not None or team.gpus_max is not None:
                self._raise_to_usage(team)
            return
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
                (TEAM_PREFIX + team.name, EXHAUSTED_CHARGE, None),
                (QUOTA_PREFIX + team.name, ZoneQuotas(0, used).pack(), None),
            ],
        )
        log.info("team %s: limit is now divided into zone quotas", team.name)

    def _raise_to_usage(self, limit: Team) -> None:
        """Raise quotas that are below the usage; only allocations made under another limit can have exceeded them.

        A team that had no limit before has quotas below its usage: the usage of other zones would be underestimated.
        """
        with self.job_cache.lock:
            quotas = self.job_cache.team(limit.name).zone_quotas
            used = self._used_by_zone(limit.name)
        if quotas is None or all(
            fits_within(amounts, quotas.zones.get(zone, ZERO_AMOUNT), limit) for zone, amounts in used.items()
        ):
            return
        sufficient = {
            zone: _larger(quotas.zones.get(zone, ZERO_AMOUNT), used.get(zone, ZERO_AMOUNT))
            for zone in quotas.zones.keys() | used.keys()
        }
        self.cache.write(
            {QUOTA_PREFIX + limit.name: quotas.version},
            [(QUOTA_PREFIX + limit.name, ZoneQuotas(0, sufficient).pack(), None)],
        )
        log.info("team %s: usage exceeds zone quotas; raised them to the usage", limit.name)

    def release_unused(self, team: str) -> bool:
        """Lower a team's quotas in the zones held here to the usage there; True if that freed quota for other zones.

        Raises `ConflictError` and the other errors of `WatchCache.write`.
        """
        held_zones = self.held_zones()
        quotas = self.job_cache.team(team).zone_quotas
        if quotas is None or team in self._uncertain_teams:
            return False
        lower = lower_quotas(quotas, {zone: self.job_cache.used(team, (zone,)) for zone in held_zones})
        if lower is None:
            return False
        try:
            self.cache.write(
                {QUOTA_PREFIX + team: quotas.version, **dict(held_zones.values())},
                [(QUOTA_PREFIX + team, lower.pack(), None)],
            )
        except OutcomeUnknownError:
            # An allocation within the quota as cached here doesn't write the quotas, so this write could be executed
            # after it and free the same resources for other zones: the limit would be exceeded.
            self.mark_uncertain({team})
            raise
        return True

    def _used_by_zone(self, team: str) -> dict[str, QuotaAmountLike]:
        return {zone: self.job_cache.used(team, (zone,)) for zone in self.settings.zones}


def _unpack_written(write: Write) -> dict[str, QuotaAmountLike]:
    """Return the quotas by zone that a write contains."""
    return {zone: (amounts[0], amounts[1]) for zone, amounts in write[1].items()}


def _plus(one: QuotaAmountLike, other: QuotaAmountLike) -> QuotaAmountLike:
    return one[0] + other[0], one[1] + other[1]


def _larger(one: QuotaAmountLike, other: QuotaAmountLike) -> QuotaAmountLike:
    return max(one[0], other[0]), max(one[1], other[1])
