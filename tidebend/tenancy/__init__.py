"""Teams: what they use, their limits, and the shares of these that zones hold."""

from tidebend.tenancy.accounts import Accounts
from tidebend.tenancy.records import QUOTA, SPENT, TEAM, Amounts, amount
from tidebend.tenancy.shares import Shares, lowered, raised, within
from tidebend.tenancy.usage import Usage

__all__ = ["QUOTA", "SPENT", "TEAM", "Accounts", "Amounts", "Shares", "Usage", "amount", "lowered", "raised", "within"]
