"""What teams use, added up from records and allocations as these change."""

from __future__ import annotations

from collections.abc import Container
from typing import Any, NamedTuple

from tidebend.protocol import JobSpec
from tidebend.quota.records import NOTHING, QUOTA_PREFIX, TEAM_PREFIX, QuotaAmount, amount
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.zone_quotas import ZoneQuotas


class _ChargedRecord(NamedTuple):
    """A team's record under `TEAM_PREFIX`."""

    amount: QuotaAmount
    version: int


class UsageIndex:
    """The usage of all teams. Changed and read under the lock of the cache that owns it."""

    def __init__(self) -> None:
        """Begin without records and allocations."""
        self._charged: dict[str, _ChargedRecord] = {}  # by team
        self._shares: dict[str, ZoneQuotas] = {}  # by team
        self._used: dict[str, dict[str, list[float]]] = {}  # team -> zone -> CPUs and GPUs of allocated tasks
        self._ended: dict[str, list[float]] = {}  # team -> CPUs and GPUs of ended tasks of its live jobs

    def on_change(self, key: str, value: Any, version: int) -> None:
        """Apply a team's record, or its removal if `value` is None; other keys are ignored."""
        if key.startswith(TEAM_PREFIX):
            self._change_charged(key[len(TEAM_PREFIX) :], value, version)
        elif key.startswith(QUOTA_PREFIX):
            self._change_shares(key[len(QUOTA_PREFIX) :], value, version)

    def _change_charged(self, team: str, value: list[float] | None, version: int) -> None:
        if value is None:
            self._charged.pop(team, None)
        else:
            self._charged[team] = _ChargedRecord(QuotaAmount(value[0], value[1]), version)

    def _change_shares(self, team: str, value: dict[str, list[float]] | None, version: int) -> None:
        if value is None:
            self._shares.pop(team, None)
        else:
            self._shares[team] = ZoneQuotas.unpack(value, version)

    def count_allocated(self, spec: JobSpec, zone: str, tasks: int) -> None:
        """Count `tasks` more allocated tasks of a job in a zone, or fewer if negative."""
        used = self._used.setdefault(spec.team, {}).setdefault(zone, [0.0, 0.0])
        used[0] = amount(used[0] + tasks * spec.cpus)
        used[1] = amount(used[1] + tasks * spec.gpus)

    def count_ended(self, spec: JobSpec, tasks: int) -> None:
        """Count `tasks` more ended tasks of a live job, or fewer if negative."""
        if tasks:
            ended = self._ended.setdefault(spec.team, [0.0, 0.0])
            ended[0] += tasks * spec.cpus
            ended[1] += tasks * spec.gpus

    def used(self, team: str, zones: Container[str] | None = None) -> QuotaAmount:
        """Return what a team's allocated tasks use, everywhere or in some zones."""
        rows = [row for zone, row in self._used.get(team, {}).items() if zones is None or zone in zones]
        return QuotaAmount(sum(row[0] for row in rows), sum(row[1] for row in rows))

    def has_zone_quotas(self, team: str) -> bool:
        """Whether a team's limit is divided into quota shares of zones."""
        return team in self._shares

    def team(self, name: str, zones: Container[str] = ()) -> TeamUsage:
        """Return a team's usage as the holder of these zones may act on it."""
        shares = self._shares.get(name)
        if shares is not None:
            elsewhere, here = shares.total(but=zones), self.used(name, zones)
            return TeamUsage(
                cpus=amount(elsewhere.cpus + here.cpus),
                gpus=amount(elsewhere.gpus + here.gpus),
                version=shares.version,
                zone_quotas=shares,
            )
        charged, version = self._charged.get(name, _ChargedRecord(NOTHING, 0))
        ended = self._ended.get(name, NOTHING)
        return TeamUsage(amount(charged.cpus - ended[0]), amount(charged.gpus - ended[1]), version, charged)
