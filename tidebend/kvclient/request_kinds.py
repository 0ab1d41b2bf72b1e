"""Kinds of requests to the key-value store, and how much of the request budget each must leave over."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """What a request is for. Members are their strings, which callers may use as well."""

    LEASE = "lease"  # our own lease and what hangs on it: never held back
    SUBMIT = "submit"  # a user's submission
    CLAIM = "claim"  # records of allocations and completions, and the reads before and after them
    POLL = "poll"  # reads for users' polls


# The share of a second's budget that must be left after a request of each kind. Submissions are few, and their users
# wait for them: they find room when claims don't, which may be late by a moment; polls come last.
BUDGET_FLOORS = {
    RequestKind.LEASE: -1.0,
    RequestKind.SUBMIT: 0.0,
    RequestKind.CLAIM: 0.2,
    RequestKind.POLL: 0.35,
}
