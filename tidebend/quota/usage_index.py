"""Index of the resources that teams use, kept up to date as records and allocations change."""

from __future__ import annotations

from collections.abc import Container
from typing import Any, NamedTuple

from tidebend.protocol import JobSpec
from tidebend.quota.records import QUOTA_PREFIX, TEAM_PREFIX, ZERO_AMOUNT, QuotaAmount, round_amount
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.zone_quotas import ZoneQuotas


class _ChargedRecord(NamedTuple):
    """The value and version of a team's record under `TEAM_PREFIX`."""

    amount: QuotaAmount
    version: int


class UsageIndex:
    """The usage of all teams. The caller holds the lock of the cache that owns the index."""

    def __init__(self) -> None:
        """Create an index without records and allocations."""
        self._charged: dict[str, _ChargedRecord] = {}  # by team
        self._zone_quotas: dict[str, ZoneQuotas] = {}  # by team
        self._used: dict[str, dict[str, list[float]]] = {}  # team -> zone -> CPUs and GPUs of allocated tasks
        self._ended: dict[str, list[float]] = {}  # team -> CPUs and GPUs of ended tasks of its live jobs

    def on_change(self, key: str, value: Any, version: int) -> None:
        """Apply a change of a team's record, a deletion if `value` is None; ignore other keys."""
        if key.startswith(TEAM_PREFIX):
            self._change_charged(key[len(TEAM_PREFIX) :], value, version)
        elif key.startswith(QUOTA_PREFIX):
            self._change_zone_quotas(key[len(QUOTA_PREFIX) :], value, version)

    def _change_charged(self, team: str, value: list[float] | None, version: int) -> None:
        if value is None:
            self._charged.pop(team, None)
        else:
            self._charged[team] = _ChargedRecord(QuotaAmount(value[0], value[1]), version)

    def _change_zone_quotas(self, team: str, value: dict[str, list[float]] | None, version: int) -> None:
        if value is None:
            self._zone_quotas.pop(team, None)
        else:
            self._zone_quotas[team] = ZoneQuotas.unpack(value, version)

    def count_allocated(self, spec: JobSpec, zone: str, tasks: int) -> None:
        """Add `tasks` to the allocated tasks of a job in a zone; a negative number subtracts."""
        used = self._used.setdefault(spec.team, {}).setdefault(zone, [0.0, 0.0])
        used[0] = round_amount(used[0] + tasks * spec.cpus)
        used[1] = round_amount(used[1] + tasks * spec.gpus)

    def count_ended(self, spec: JobSpec, tasks: int) -> None:
        """Add `tasks` to the ended tasks of a live job; a negative number subtracts."""
        if tasks:
            ended = self._ended.setdefault(spec.team, [0.0, 0.0])
            ended[0] += tasks * spec.cpus
            ended[1] += tasks * spec.gpus

    def used(self, team: str, zones: Container[str] | None = None) -> QuotaAmount:
        """Return the resources of a team's allocated tasks, in all zones or in the given ones."""
        amounts = [amount for zone, amount in self._used.get(team, {}).items() if zones is None or zone in zones]
        return QuotaAmount(sum(amount[0] for amount in amounts), sum(amount[1] for amount in amounts))

    def has_zone_quotas(self, team: str) -> bool:
        """Return whether a team's limit is divided into zone quotas."""
        return team in self._zone_quotas

    def team(self, name: str, zones: Container[str] = ()) -> TeamUsage:
        """Return a team's usage as seen by the holder of `zones`.

        With zone quotas it is the quotas of all other zones plus the actual usage in `zones`.
        """
        quotas = self._zone_quotas.get(name)
        if quotas is not None:
            elsewhere, here = quotas.total(excluding=zones), self.used(name, zones)
            return TeamUsage(
                cpus=round_amount(elsewhere.cpus + here.cpus),
                gpus=round_amount(elsewhere.gpus + here.gpus),
                version=quotas.version,
                zone_quotas=quotas,
            )
        charged, version = self._charged.get(name, _ChargedRecord(ZERO_AMOUNT, 0))
        ended = self._ended.get(name, ZERO_AMOUNT)
        return TeamUsage(round_amount(charged.cpus - ended[0]), round_amount(charged.gpus - ended[1]), version, charged)
