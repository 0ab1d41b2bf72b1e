"""Teams: what they use, their limits, and the quota shares of these limits that zones hold."""

from tidebend.quota.records import EXHAUSTED, QUOTA_PREFIX, TEAM_PREFIX, QuotaAmount, QuotaAmountLike, amount
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.usage_index import UsageIndex
from tidebend.quota.zone_quotas import ZoneQuotas, fits_within, lower_shares, raise_shares

__all__ = [
    "EXHAUSTED",
    "QUOTA_PREFIX",
    "TEAM_PREFIX",
    "QuotaAmount",
    "QuotaAmountLike",
    "TeamUsage",
    "UsageIndex",
    "ZoneQuotas",
    "amount",
    "fits_within",
    "lower_shares",
    "raise_shares",
]
