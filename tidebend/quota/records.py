"""The records of teams, and amounts of resources as they are counted for them."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from tidebend.kvclient import LIVE

# key prefix of what a team's live jobs were ever allocated, in the first format version
TEAM_PREFIX = LIVE + "team/"
# the value there of a team with quota shares: it leaves no room for allocations by controllers of that version
EXHAUSTED = [1e15, 1e15]
# key prefix of a team's limit divided into quota shares of zones
QUOTA_PREFIX = LIVE + "quota/"


class QuotaAmount(NamedTuple):
    """An amount of the resources that are limited."""

    cpus: float
    gpus: float


# what functions take: a `QuotaAmount`, or a plain pair of CPUs and GPUs
QuotaAmountLike = tuple[float, float]

NOTHING = QuotaAmount(0.0, 0.0)


def amount(value: float) -> float:
    """Return a sum without its rounding error: to six digits after the point, and never negative."""
    return max(0.0, round(value, 6))


def total_of(amounts: Collection[QuotaAmountLike]) -> QuotaAmount:
    """Return the sum of some amounts."""
    return QuotaAmount(sum([row[0] for row in amounts]), sum([row[1] for row in amounts]))
