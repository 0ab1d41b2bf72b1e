"""A team's limit divided into zone quotas: the record, and how it may be changed."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from typing import Any

from tidebend.quota.records import ZERO_AMOUNT, QuotaAmount, QuotaAmountLike, round_amount, sum_of
from tidebend.settings import Team

# the fraction of the free part of a team's limit that all zones together may preallocate beyond their needs
PREALLOCATED_FRACTION = 0.5
# tolerance for rounding errors when sums of amounts are compared
TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class ZoneQuotas:
    """The part of a team's limit that the team may use in each zone.

    Only the holder of a zone allocates there, and it knows all allocations in the zone. Its transactions are therefore
    conditional on this record without writing it, and allocations in one zone don't conflict with those in another.
    The quotas together never exceed the limit. A quota is raised from the free part of the limit, in the transaction
    that needs it, and lowered only by the zone's holder.
    """

    version: int  # 0 for quotas that aren't recorded yet
    zones: Mapping[str, QuotaAmountLike]

    def total(self, excluding: Container[str] = ()) -> QuotaAmount:
        """Return the sum of the quotas, without those of the zones `excluding`."""
        return sum_of([quota for zone, quota in self.zones.items() if zone not in excluding])

    def pack(self) -> dict[str, list[float]]:
        """Return the value of the record under `QUOTA_PREFIX`."""
        return {zone: [round_amount(quota[0]), round_amount(quota[1])] for zone, quota in self.zones.items()}

    @staticmethod
    def unpack(value: Mapping[str, Any], version: int) -> ZoneQuotas:
        """Return the quotas of a recorded value."""
        return ZoneQuotas(version, {zone: QuotaAmount(*quota) for zone, quota in value.items()})


def fits_within(need: QuotaAmountLike, quota: QuotaAmountLike, limit: Team) -> bool:
    """Return whether a need doesn't exceed a quota, in those resources for which the team has a limit."""
    cpus_fit = limit.cpus_max is None or need[0] <= quota[0] + TOLERANCE
    gpus_fit = limit.gpus_max is None or need[1] <= quota[1] + TOLERANCE
    return cpus_fit and gpus_fit


def raise_quotas(
    quotas: dict[str, QuotaAmountLike],
    needs: Mapping[str, QuotaAmountLike],
    grown_zones: list[str],
    limit: Team,
    zone_count: int,
) -> dict[str, QuotaAmountLike] | None:
    """Return quotas that cover new allocations in `grown_zones` within the limit; None if they would exceed it.

    `quotas` are the present quotas by zone; they are returned unchanged if they suffice. `needs` is the usage in each
    zone of the allocating holder, the new allocations included. `zone_count` is the number of all zones.
    """
    if all(fits_within(needs[zone], quotas.get(zone, ZERO_AMOUNT), limit) for zone in grown_zones):
        return quotas
    # Unused quota of the holder's own zones is used first, then the free part of the limit, some of which is
    # preallocated.
    raised = {**quotas, **needs}
    total = sum_of(raised.values())
    if not limit.allows(*total):
        return None
    fraction = PREALLOCATED_FRACTION / max(1, zone_count * len(grown_zones))
    free = QuotaAmount(
        max(0.0, (limit.cpus_max or 0.0) - total.cpus),
        max(0.0, (limit.gpus_max or 0.0) - total.gpus),
    )
    for zone in grown_zones:
        cpus, gpus = needs[zone]
        raised[zone] = QuotaAmount(cpus + fraction * free.cpus, gpus + fraction * free.gpus)
    return raised


def lower_quotas(quotas: ZoneQuotas, used: Mapping[str, QuotaAmountLike]) -> ZoneQuotas | None:
    """Return the quotas with those of the zones in `used` lowered to the usage there; None if that frees nothing.

    Only the holder of those zones may write them, in a transaction that is conditional on its holding them still.
    """
    lower = ZoneQuotas(0, {zone: used.get(zone, quota) for zone, quota in quotas.zones.items()})
    return None if lower.total() >= quotas.total() else lower
