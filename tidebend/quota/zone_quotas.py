"""A team's limit shared out among zones: the record, and the ways in which it may be changed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tidebend.quota.records import Amounts, amount
from tidebend.settings import Team

# of what is free of a team's limit, the zones together take this share ahead of need
AHEAD = 0.5


@dataclass(frozen=True, slots=True)
class ZoneQuotas:
    """How much of its limit a team may use in each zone.

    Only a zone's holder adds claims there, and it knows all that there are: so it compares this record and need not
    write it, and claims in one zone don't collide with those in another. The shares never exceed the limit together.
    A share is raised from what is free, in the transaction that needs it, and lowered by the zone's holder alone.
    """

    version: int
    zones: dict[str, Amounts]

    def total(self, but: Iterable[str] = ()) -> Amounts:
        rows = [row for zone, row in self.zones.items() if zone not in but]
        return sum(row[0] for row in rows), sum(row[1] for row in rows)

    def pack(self) -> dict[str, list[float]]:
        return {zone: [amount(row[0]), amount(row[1])] for zone, row in self.zones.items()}


def within(need: Amounts, share: Amounts, limit: Team) -> bool:
    """Whether a need keeps to a share, in what is limited at all."""
    return (limit.cpus_max is None or need[0] <= share[0] + 1e-6) and (
        limit.gpus_max is None or need[1] <= share[1] + 1e-6
    )


def raised(
    zones: dict[str, Amounts], needs: dict[str, Amounts], grown: list[str], limit: Team, every: int
) -> dict[str, Amounts] | None:
    """The shares with which claims in the zones `grown` keep the limit; None if they can't.

    `zones`: the shares now, returned as they are if they suffice; `needs`: what is used in the zones that are the
    claiming holder's own, the claims included; `every`: how many zones there are.
    """
    have = (0.0, 0.0)
    if all(within(needs[zone], zones.get(zone, have), limit) for zone in grown):
        return zones
    # what lies unused in our own zones serves first, then what is free; a part of that is taken ahead
    zones = {**zones, **needs}
    total = ZoneQuotas(0, zones).total()
    if not limit.allows(*total):
        return None
    ahead = AHEAD / max(1, every * len(grown))
    for zone in grown:
        zones[zone] = tuple(
            need + ahead * max(0.0, (most or 0.0) - taken)
            for need, most, taken in zip(needs[zone], (limit.cpus_max, limit.gpus_max), total, strict=True)
        )
    return zones


def lowered(shares: ZoneQuotas, used: dict[str, Amounts]) -> ZoneQuotas | None:
    """The shares with those of some zones at what is used there; None if that gives nobody more room.

    Only those zones' holder may write it, in a transaction that compares that it still is.
    """
    lower = ZoneQuotas(0, {zone: used.get(zone, row) for zone, row in shares.zones.items()})
    return None if lower.total() >= shares.total() else lower
