"""This controller's share of the requests and changes that the key-value store takes in a second."""

from __future__ import annotations

import random
import time

from tidebend.kvclient.request_kinds import BUDGET_FLOORS, RequestKind
from tidebend.kvclient.steady_time import NEVER
from tidebend.settings import StoreLimits
from tidebend.transport import TokenBucket

# A controller's share is so many times an equal one, since the others seldom use theirs in the same second; when they
# do, the store refuses, which is safe, and the refused back off.
EQUAL_SHARES = 1.8
# a flood of submissions takes no more than this share of our changes
SUBMIT_SHARE = 0.5
# watches take no more than this share of the store's requests: changes that follow closely are read together
WATCH_SHARE = 0.25
# ... and reads for users' polls alone no more than the first of these, or the second while requests are refused for the
# rate. They keep the cache young besides, so that claims collide less: they are held back only where they must be.
POLL_SHARE = 1.0
POLL_SHARE_BUSY = 0.15
# some are always refused, since our share is more than an equal one: beyond this share of the store's requests the
# polls are held back, for so many of our time-outs
REFUSED_SHARE = 0.05
BUSY_TIMEOUTS = 10.0


class RequestBudget:
    """Token buckets for requests, changes and submissions, and the pauses that keep reads within their shares."""

    def __init__(self, limits: StoreLimits, controllers: int, timeout_s: float) -> None:
        """`controllers`: how many share the limits; `timeout_s`: of a request."""
        self._share = min(1.0, EQUAL_SHARES / controllers)
        self._controllers = controllers
        self._timeout_s = timeout_s
        self._requests = TokenBucket(limits.rps * self._share)
        self._writes = TokenBucket(limits.write_rps * self._share)
        self._submissions = TokenBucket(SUBMIT_SHARE * self.writes_per_s)
        self._refusals = TokenBucket(REFUSED_SHARE * limits.rps)
        self._busy_until = NEVER  # steady time
        self._set_pauses(limits)

    def set_limits(self, limits: StoreLimits) -> None:
        """Take over other limits of the store."""
        self._requests.change(limits.rps * self._share)
        self._writes.change(limits.write_rps * self._share)
        self._submissions.change(SUBMIT_SHARE * self.writes_per_s)
        self._set_pauses(limits)

    def _set_pauses(self, limits: StoreLimits) -> None:
        self.watch_pause_s = self._controllers / (WATCH_SHARE * limits.rps)
        self._poll_read_interval_s = self._controllers / (POLL_SHARE * limits.rps)
        self._busy_poll_read_interval_s = self._controllers / (POLL_SHARE_BUSY * limits.rps)

    @property
    def poll_read_interval_s(self) -> float:
        """How far apart reads for polls alone begin."""
        return self._busy_poll_read_interval_s if time.monotonic() < self._busy_until else self._poll_read_interval_s

    @property
    def writes_per_s(self) -> float:
        """How many changes we may make in a second."""
        return self._writes.rate

    def take_submissions(self, writes: int) -> bool:
        """Take so many changes from what submissions may use; False if they have used it up."""
        return self._submissions.take(writes)

    def take(self, kind: RequestKind, writes: int) -> bool:
        """Take a request with so many changes; False, and nothing is taken, if too little would be left over."""
        floor = BUDGET_FLOORS[kind]
        if not self._requests.take(1.0, floor):
            return False
        if not writes or self._writes.take(writes, floor):
            return True
        self._requests.give_back(1.0)
        return False

    def record_rate_refusal(self) -> None:
        """The store has refused a request for its rate: the others have used their shares."""
        if not self._refusals.take(1.0):
            self._busy_until = time.monotonic() + BUSY_TIMEOUTS * self._timeout_s

    def retry_pause_s(self) -> float:
        """A random pause before a request is tried again."""
        return random.uniform(0.5, 1.5) / self._requests.rate
