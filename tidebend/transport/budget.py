"""A budget of requests for each second."""

from __future__ import annotations

import threading
import time


class Budget:
    """A token bucket of a rate and one second's worth of burst, with a floor that lesser uses may not touch."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._level = rate
        self._at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, amount: float, floor: float = 0.0) -> bool:
        """`floor` is the share of the burst that must be left over."""
        with self._lock:
            now = time.monotonic()
            self._level = min(self.rate, self._level + (now - self._at) * self.rate)
            self._at = now
            if self._level - amount < floor * self.rate:
                return False
            self._level -= amount
            return True

    def give_back(self, amount: float) -> None:
        with self._lock:
            self._level = min(self.rate, self._level + amount)

    def change(self, rate: float) -> None:
        with self._lock:
            self.rate = rate
            self._level = min(rate, self._level)
