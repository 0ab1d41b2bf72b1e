"""A team's limit divided into quota shares of zones: the record, and how it may be changed."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from typing import Any

from tidebend.quota.records import NOTHING, QuotaAmount, QuotaAmountLike, amount, total_of
from tidebend.settings import Team

# the part of what is free of a team's limit that all zones together may take ahead of need
AHEAD = 0.5
# sums of amounts are compared with this tolerance for rounding errors
TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class ZoneQuotas:
    """How much of its limit a team may use in each zone.

    Only the holder of a zone allocates there, and it knows all allocations in it. So it compares this record without
    writing it, and allocations in one zone don't conflict with those in another. The shares together never exceed the
    limit. A share is raised from what is free, in the transaction that needs it, and lowered only by the zone's holder.
    """

    version: int  # 0 for shares that aren't recorded yet
    zones: Mapping[str, QuotaAmountLike]

    def total(self, but: Container[str] = ()) -> QuotaAmount:
        """Return the sum of the shares, without those of some zones."""
        return total_of([row for zone, row in self.zones.items() if zone not in but])

    def pack(self) -> dict[str, list[float]]:
        """Return the record under `QUOTA_PREFIX`."""
        return {zone: [amount(row[0]), amount(row[1])] for zone, row in self.zones.items()}

    @staticmethod
    def unpack(value: Mapping[str, Any], version: int) -> ZoneQuotas:
        """Read what `pack` wrote."""
        return ZoneQuotas(version, {zone: QuotaAmount(*row) for zone, row in value.items()})


def fits_within(need: QuotaAmountLike, share: QuotaAmountLike, limit: Team) -> bool:
    """Whether a need doesn't exceed a share, in those resources that the team's limit bounds."""
    cpus_fit = limit.cpus_max is None or need[0] <= share[0] + TOLERANCE
    gpus_fit = limit.gpus_max is None or need[1] <= share[1] + TOLERANCE
    return cpus_fit and gpus_fit


def raise_shares(
    zones: dict[str, QuotaAmountLike],
    needs: Mapping[str, QuotaAmountLike],
    grown: list[str],
    limit: Team,
    every: int,
) -> dict[str, QuotaAmountLike] | None:
    """Return the shares under which allocations in the zones `grown` keep the limit; None if there are none.

    `zones` are the present shares, which are returned themselves if they suffice. `needs` is what is used in the zones
    of the allocating holder, these allocations included. `every` is the number of all zones.
    """
    if all(fits_within(needs[zone], zones.get(zone, NOTHING), limit) for zone in grown):
        return zones
    # What isn't used in the holder's own zones serves first, then what is free; some of that is taken ahead of need.
    raised = {**zones, **needs}
    total = total_of(raised.values())
    if not limit.allows(*total):
        return None
    ahead = AHEAD / max(1, every * len(grown))
    free = QuotaAmount(
        max(0.0, (limit.cpus_max or 0.0) - total.cpus),
        max(0.0, (limit.gpus_max or 0.0) - total.gpus),
    )
    for zone in grown:
        cpus, gpus = needs[zone]
        raised[zone] = QuotaAmount(cpus + ahead * free.cpus, gpus + ahead * free.gpus)
    return raised


def lower_shares(shares: ZoneQuotas, used: Mapping[str, QuotaAmountLike]) -> ZoneQuotas | None:
    """Return the shares with those of some zones lowered to what is used there; None if that frees nothing.

    Only the holder of those zones may write them, in a transaction that compares that it still is.
    """
    lower = ZoneQuotas(0, {zone: used.get(zone, row) for zone, row in shares.zones.items()})
    return None if lower.total() >= shares.total() else lower
