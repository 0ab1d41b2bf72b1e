"""Teams: what they use, their limits, and the quota shares of these limits that zones hold."""

from tidebend.quota.records import EXHAUSTED, QUOTA, TEAM, QuotaAmount, QuotaAmountLike, amount
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.usage_index import UsageIndex
from tidebend.quota.zone_quotas import ZoneQuotas, fits_within, lower_shares, raise_shares

# FORMER NAMES BEGIN

Amounts = QuotaAmountLike
SPENT = EXHAUSTED
lowered = lower_shares
raised = raise_shares
within = fits_within

# FORMER NAMES END

__all__ = [
    "EXHAUSTED",
    "QUOTA",
    "SPENT",  # former name
    "TEAM",
    "Amounts",  # former name
    "QuotaAmount",
    "QuotaAmountLike",
    "TeamUsage",
    "UsageIndex",
    "ZoneQuotas",
    "amount",
    "fits_within",
    "lower_shares",
    "lowered",  # former name
    "raise_shares",
    "raised",  # former name
    "within",  # former name
]
