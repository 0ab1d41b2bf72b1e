"""What teams use, added up from records and claims as these change."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from tidebend.protocol import JobSpec
from tidebend.quota.records import QUOTA, TEAM, Amounts, amount
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.zone_quotas import ZoneQuotas


class UsageIndex:
    """Changed and read under the lock of the cache that owns it."""

    def __init__(self) -> None:
        self._charged: dict[str, tuple[float, float, int]] = {}  # team -> its record and the record's version
        self._shares: dict[str, ZoneQuotas] = {}
        self._used: dict[str, dict[str, list[float]]] = {}  # team -> zone -> what its claims there take
        self._ended: dict[str, list[float]] = {}  # team -> what its live jobs' ended claims took

    def on_change(self, key: str, value: Any, version: int) -> None:
        """Take over a team's record; other keys don't matter here."""
        if key.startswith(TEAM):
            if value is None:
                self._charged.pop(key[len(TEAM) :], None)
            else:
                self._charged[key[len(TEAM) :]] = (value[0], value[1], version)
        elif key.startswith(QUOTA):
            if value is None:
                self._shares.pop(key[len(QUOTA) :], None)
            else:
                self._shares[key[len(QUOTA) :]] = ZoneQuotas(version, {zone: tuple(row) for zone, row in value.items()})

    def count_claim(self, spec: JobSpec, zone: str, tasks: int) -> None:
        """`tasks` more of a job hold places in a zone, or fewer."""
        used = self._used.setdefault(spec.team, {}).setdefault(zone, [0.0, 0.0])
        used[0] = amount(used[0] + tasks * spec.cpus)
        used[1] = amount(used[1] + tasks * spec.gpus)

    def count_ended(self, spec: JobSpec, tasks: int) -> None:
        """`tasks` more of a live job's claims have ended, or fewer."""
        if tasks:
            ended = self._ended.setdefault(spec.team, [0.0, 0.0])
            ended[0] += tasks * spec.cpus
            ended[1] += tasks * spec.gpus

    def used(self, team: str, zones: Iterable[str] | None = None) -> Amounts:
        """What a team's claims take, everywhere or in some zones."""
        rows = [row for zone, row in self._used.get(team, {}).items() if zones is None or zone in zones]
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    def has_zone_quotas(self, team: str) -> bool:
        return team in self._shares

    def team(self, name: str, zones: Iterable[str] = ()) -> TeamUsage:
        """A team's usage as who holds these zones may act on it."""
        shares = self._shares.get(name)
        if shares is not None:
            others, here = shares.total(but=zones), self.used(name, zones)
            return TeamUsage(amount(others[0] + here[0]), amount(others[1] + here[1]), shares.version, shares=shares)
        cpus, gpus, version = self._charged.get(name, (0.0, 0.0, 0))
        ended = self._ended.get(name, (0.0, 0.0))
        return TeamUsage(amount(cpus - ended[0]), amount(gpus - ended[1]), version, (cpus, gpus))
