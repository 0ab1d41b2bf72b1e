"""Key prefixes of the records of teams, and arithmetic on their amounts of resources."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from tidebend.kvclient import LIVE

# Key prefix of the records of the first schema version: the resources of all tasks of a team's live jobs that were
# ever allocated.
TEAM_PREFIX = LIVE + "team/"
# The value of that record for a team with zone quotas. It exceeds any limit, so that controllers of the first schema
# version allocate nothing for the team.
EXHAUSTED_CHARGE = [1e15, 1e15]
# key prefix of the records that divide a team's limit into zone quotas
QUOTA_PREFIX = LIVE + "quota/"


class QuotaAmount(NamedTuple):
    """An amount of the resources to which limits apply."""

    cpus: float
    gpus: float


# accepted by functions: a `QuotaAmount`, or a plain pair of CPUs and GPUs
QuotaAmountLike = tuple[float, float]

ZERO_AMOUNT = QuotaAmount(0.0, 0.0)


def round_amount(value: float) -> float:
    """Return a sum without its rounding error: rounded to 6 decimal places, and 0 if negative."""
    return max(0.0, round(value, 6))


def sum_of(amounts: Collection[QuotaAmountLike]) -> QuotaAmount:
    """Return the sum of the amounts."""
    return QuotaAmount(sum([amount[0] for amount in amounts]), sum([amount[1] for amount in amounts]))
