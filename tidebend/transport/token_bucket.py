"""A limit on the rate of requests: a token bucket."""

from __future__ import annotations

import threading
import time


class TokenBucket:
    """A token bucket: it fills with `rate` tokens a second, up to `burst_s` seconds' worth, and is full at first.

    A request takes tokens or is refused at once; nothing waits here. Safe for use by several threads.
    """

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        """`rate` in tokens a second; `burst_s`: the bucket's size in seconds of its rate."""
        self.rate = rate
        self.burst_s = burst_s
        self._level = rate * burst_s
        self._filled_at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, amount: float, floor: float = 0.0) -> bool:
        """Take tokens, or none and return False if there aren't enough.

        `floor`: so many seconds' worth must be left over. Less important requests have one, so that they don't take
        the last tokens from the others.
        """
        with self._lock:
            now = time.monotonic()
            self._level = min(self.rate * self.burst_s, self._level + (now - self._filled_at) * self.rate)
            self._filled_at = now
            if self._level - amount < floor * self.rate:
                return False
            self._level -= amount
            return True

    def give_back(self, amount: float) -> None:
        """Put tokens back that were taken for a request that wasn't sent."""
        with self._lock:
            self._level = min(self.rate * self.burst_s, self._level + amount)

    def change(self, rate: float) -> None:
        """Set another rate; tokens beyond the new size are lost."""
        with self._lock:
            self.rate = rate
            self._level = min(rate * self.burst_s, self._level)
