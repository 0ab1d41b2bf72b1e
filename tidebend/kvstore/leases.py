"""Leases on the steady clock: which live, and which have run out.

A clock of the day that is set back changes nothing here. What is durable of a lease (that it exists, and its length)
is in the file; when it ends is not, since after an outage every lease has its full time again.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass


@dataclass
class Lease:
    life_s: float
    until: float  # steady time


class Leases:
    def __init__(self, lives_ms: dict[int, int]) -> None:
        now = time.monotonic()
        self._lock = threading.Lock()
        self._live = {number: Lease(life / 1000.0, now + life / 1000.0) for number, life in lives_ms.items()}
        # run out, but not yet recorded as ended: nobody can renew them or attach keys to them any more
        self._ending: set[int] = set()

    def add(self, number: int, life_ms: int) -> None:
        with self._lock:
            self._live[number] = Lease(life_ms / 1000.0, time.monotonic() + life_ms / 1000.0)

    def extend(self, number: int) -> bool:
        with self._lock:
            lease = self._live.get(number)
            if lease is None or lease.until < time.monotonic():
                return False
            lease.until = time.monotonic() + lease.life_s
            return True

    def lives(self, number: int) -> bool:
        with self._lock:
            lease = self._live.get(number)
            return lease is not None and lease.until >= time.monotonic()

    def run_out(self) -> set[int]:
        """Those whose end has to be recorded; they are asked for again until `ended` is called."""
        now = time.monotonic()
        with self._lock:
            for number in [number for number, lease in self._live.items() if lease.until < now]:
                del self._live[number]
                self._ending.add(number)
            return set(self._ending)

    def end(self, number: int) -> bool:
        """End one at its holder's wish; False if it isn't there."""
        with self._lock:
            if self._live.pop(number, None) is None:
                return False
            self._ending.add(number)
            return True

    def ended(self, numbers: set[int]) -> None:
        with self._lock:
            self._ending -= numbers

    def full_time_again(self) -> None:
        """After an outage: nobody could renew meanwhile."""
        now = time.monotonic()
        with self._lock:
            for lease in self._live.values():
                lease.until = now + lease.life_s
