"""Teams: what they use, their limits, and the shares of these that zones hold."""

from tidebend.quota.records import QUOTA, SPENT, TEAM, Amounts, amount
from tidebend.quota.team_usage import Usage
from tidebend.quota.usage_index import Accounts
from tidebend.quota.zone_quotas import Shares, lowered, raised, within

__all__ = ["QUOTA", "SPENT", "TEAM", "Accounts", "Amounts", "Shares", "Usage", "amount", "lowered", "raised", "within"]
