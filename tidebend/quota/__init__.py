"""Teams: what they use, their limits, and the shares of these that zones hold."""

from tidebend.quota.records import QUOTA, SPENT, TEAM, Amounts, amount
from tidebend.quota.team_usage import TeamUsage
from tidebend.quota.usage_index import UsageIndex
from tidebend.quota.zone_quotas import ZoneQuotas, lowered, raised, within

__all__ = [
    "QUOTA",
    "SPENT",
    "TEAM",
    "UsageIndex",
    "Amounts",
    "ZoneQuotas",
    "TeamUsage",
    "amount",
    "lowered",
    "raised",
    "within",
]
