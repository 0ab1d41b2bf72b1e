"""This controller's share of the key-value store's rate limits for requests and writes."""

from __future__ import annotations

import random
import time

from tidebend.kvclient.monotonic_time import NEVER
from tidebend.kvclient.request_kinds import BUDGET_FLOORS, RequestKind
from tidebend.settings import StoreLimits
from tidebend.transport import TokenBucket

# A controller's share of the limits, as a multiple of an equal share. Controllers seldom use their shares in the same
# second; if they do, the store safely refuses requests, and the senders back off.
OVERCOMMIT_FACTOR = 1.8
# Maximum share of this controller's writes that submissions may use.
SUBMIT_SHARE = 0.5
# Maximum share of the store's requests that watches may use; changes in quick succession are read together.
WATCH_SHARE = 0.25
# Maximum share of the store's requests that reads for polls may use, normally and while requests are rate-limited.
# These reads also keep the cache fresh, which reduces conflicts between claims, so they are restricted only when
# necessary.
POLL_SHARE = 1.0
RATE_LIMITED_POLL_SHARE = 0.15
# Since the shares are overcommitted, some requests are always refused. If the refusals exceed this share of the store's
# requests, reads for polls are restricted for the time below, which is a multiple of the request timeout.
NORMAL_REFUSAL_SHARE = 0.05
RATE_LIMITED_TIMEOUTS = 10.0


class RequestBudget:
    """Token buckets for requests, writes and submissions, and the intervals that keep reads within their shares."""

    def __init__(self, limits: StoreLimits, controllers: int, timeout_s: float) -> None:
        """`controllers`: number of controllers that share the limits; `timeout_s`: of a request."""
        self._share = min(1.0, OVERCOMMIT_FACTOR / controllers)
        self._controllers = controllers
        self._timeout_s = timeout_s
        self._requests = TokenBucket(limits.rps * self._share)
        self._writes = TokenBucket(limits.write_rps * self._share)
        self._submissions = TokenBucket(SUBMIT_SHARE * self.writes_per_s)
        self._refusals = TokenBucket(NORMAL_REFUSAL_SHARE * limits.rps)
        self._rate_limited_until = NEVER  # monotonic time
        self._set_intervals(limits)

    def set_limits(self, limits: StoreLimits) -> None:
        """Change the limits of the store."""
        self._requests.set_rate(limits.rps * self._share)
        self._writes.set_rate(limits.write_rps * self._share)
        self._submissions.set_rate(SUBMIT_SHARE * self.writes_per_s)
        self._set_intervals(limits)

    def _set_intervals(self, limits: StoreLimits) -> None:
        self.watch_pause_s = self._controllers / (WATCH_SHARE * limits.rps)
        self._poll_read_interval_s = self._controllers / (POLL_SHARE * limits.rps)
        self._rate_limited_poll_read_interval_s = self._controllers / (RATE_LIMITED_POLL_SHARE * limits.rps)

    @property
    def poll_read_interval_s(self) -> float:
        """Interval between reads that serve only polls, in seconds."""
        return (
            self._rate_limited_poll_read_interval_s
            if time.monotonic() < self._rate_limited_until
            else self._poll_read_interval_s
        )

    @property
    def writes_per_s(self) -> float:
        """Number of writes per second that this controller may make."""
        return self._writes.rate

    def take_submissions(self, writes: int) -> bool:
        """Take writes from the budget of submissions; return False if it is used up."""
        return self._submissions.take(writes)

    def take(self, kind: RequestKind, writes: int) -> bool:
        """Take one request with a number of writes; return False and take nothing if too little would be left."""
        floor = BUDGET_FLOORS[kind]
        if not self._requests.take(1.0, floor):
            return False
        if not writes or self._writes.take(writes, floor):
            return True
        self._requests.put_back(1.0)
        return False

    def record_rate_limited(self) -> None:
        """Record that the store refused a request because of its rate limit."""
        if not self._refusals.take(1.0):
            self._rate_limited_until = time.monotonic() + RATE_LIMITED_TIMEOUTS * self._timeout_s

    def retry_pause_s(self) -> float:
        """Return a random pause before a retry, in seconds."""
        return random.uniform(0.5, 1.5) / self._requests.rate
