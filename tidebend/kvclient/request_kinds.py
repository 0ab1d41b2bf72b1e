"""Kinds of requests to the key-value store, and the part of the request budget that each must leave unused."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """Purpose of a request. Members are strings, and callers may pass plain strings instead."""

    LEASE = "lease"  # this controller's lease and the records attached to it; never held back
    SEAL = "seal"  # sealing of a cancellation, which must precede a write of another controller
    SUBMIT = "submit"  # a user's submission
    CLAIM = "claim"  # records of allocations and completions, and the reads before and after them
    POLL = "poll"  # reads for users' polls


# Share of one second's budget that must be left after a request of each kind. Submissions are few and users wait for
# them, so they have priority over claims, which tolerate a short delay; polls have the lowest priority. Seals are only
# needed while versions are replaced.
BUDGET_FLOORS = {
    RequestKind.LEASE: -1.0,
    RequestKind.SEAL: 0.0,
    RequestKind.SUBMIT: 0.0,
    RequestKind.CLAIM: 0.2,
    RequestKind.POLL: 0.35,
}
