"""A budget of requests for each second."""

from __future__ import annotations

import threading
import time


class Budget:
    """A token bucket of a rate and some seconds' worth of burst, with a floor that lesser uses may not touch."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate = rate
        self.burst_s = burst_s
        self._level = rate * burst_s
        self._at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, amount: float, floor: float = 0.0) -> bool:
        """`floor` is the share of a second's worth that must be left over."""
        with self._lock:
            now = time.monotonic()
            self._level = min(self.rate * self.burst_s, self._level + (now - self._at) * self.rate)
            self._at = now
            if self._level - amount < floor * self.rate:
                return False
            self._level -= amount
            return True

    def give_back(self, amount: float) -> None:
        with self._lock:
            self._level = min(self.rate * self.burst_s, self._level + amount)

    def change(self, rate: float) -> None:
        with self._lock:
            self.rate = rate
            self._level = min(rate * self.burst_s, self._level)
