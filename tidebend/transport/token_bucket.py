"""A rate limiter: a token bucket."""

from __future__ import annotations

import threading
import time


class TokenBucket:
    """A token bucket. It is refilled with `rate` tokens per second up to `rate * burst_s` tokens, and starts full.

    Methods never block: a request that doesn't find enough tokens is refused. Safe for use by several threads.
    """

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        """`rate`: tokens per second; `burst_s`: the bucket's capacity as seconds of the rate."""
        self.rate = rate
        self.burst_s = burst_s
        self._level = rate * burst_s
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, amount: float, floor: float = 0.0) -> bool:
        """Take tokens; if there aren't enough, take none and return False.

        `floor`: tokens that must be left over, as seconds of the rate. It is higher for less important requests, so
        that they leave tokens for the others.
        """
        with self._lock:
            now = time.monotonic()
            self._level = min(self.rate * self.burst_s, self._level + (now - self._refilled_at) * self.rate)
            self._refilled_at = now
            if self._level - amount < floor * self.rate:
                return False
            self._level -= amount
            return True

    def put_back(self, amount: float) -> None:
        """Return tokens that were taken for a request that wasn't sent."""
        with self._lock:
            self._level = min(self.rate * self.burst_s, self._level + amount)

    def set_rate(self, rate: float) -> None:
        """Change the rate; tokens beyond the new capacity are lost."""
        with self._lock:
            self.rate = rate
            self._level = min(rate * self.burst_s, self._level)
