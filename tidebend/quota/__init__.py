"""Resource usage and limits of teams, and the quotas by which a limit is divided among zones."""

from tidebend.quota.records import (
    EXHAUSTED_CHARGE,
    QUOTA_PREFIX,
    TEAM_PREFIX,
    QuotaAmount,
    QuotaAmountLike,
    round_amount,
)
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.usage_index import UsageIndex
from tidebend.quota.zone_quotas import ZoneQuotas, fits_within, lower_quotas, raise_quotas

__all__ = [
    "EXHAUSTED_CHARGE",
    "QUOTA_PREFIX",
    "TEAM_PREFIX",
    "QuotaAmount",
    "QuotaAmountLike",
    "TeamUsage",
    "UsageIndex",
    "ZoneQuotas",
    "fits_within",
    "lower_quotas",
    "raise_quotas",
    "round_amount",
]
