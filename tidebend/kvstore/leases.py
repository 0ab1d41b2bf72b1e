"""Leases on the monotonic clock: which are live, and which have expired.

A wall clock that is set back changes nothing here. What is durable of a lease (that it exists, and its lifetime) is in
the database; when it expires is not, since after an outage every lease has its full lifetime again.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass


@dataclass
class Lease:
    """A live lease."""

    life_s: float
    expires_at: float  # monotonic time


class LeaseClock:
    """Tells when leases expire. Safe for use by several threads.

    A lease that has expired or was ended stays `expired` until `forget` says that its end is durable; meanwhile nobody
    can extend it or attach keys to it.
    """

    def __init__(self, lives_ms: dict[int, int]) -> None:
        """Leases by number, with their lifetimes in milliseconds, which all begin now."""
        now = time.monotonic()
        self._lock = threading.Lock()
        self._live = {number: Lease(life / 1000.0, now + life / 1000.0) for number, life in lives_ms.items()}
        self._expired: set[int] = set()

    def add(self, number: int, life_ms: int) -> None:
        """A lease that was granted; its lifetime begins now."""
        with self._lock:
            self._live[number] = Lease(life_ms / 1000.0, time.monotonic() + life_ms / 1000.0)

    def extend(self, number: int) -> bool:
        """Give a lease its full lifetime from now on; False if it isn't live."""
        with self._lock:
            lease = self._live.get(number)
            if lease is None or lease.expires_at < time.monotonic():
                return False
            lease.expires_at = time.monotonic() + lease.life_s
            return True

    def is_live(self, number: int) -> bool:
        """Whether keys may be attached to it."""
        with self._lock:
            lease = self._live.get(number)
            return lease is not None and lease.expires_at >= time.monotonic()

    def expired(self) -> set[int]:
        """Those whose end has to be made durable; they are returned again until `forget` is called."""
        now = time.monotonic()
        with self._lock:
            for number in [number for number, lease in self._live.items() if lease.expires_at < now]:
                del self._live[number]
                self._expired.add(number)
            return set(self._expired)

    def end(self, number: int) -> bool:
        """End one at its holder's wish; False if it isn't there."""
        with self._lock:
            if self._live.pop(number, None) is None:
                return False
            self._expired.add(number)
            return True

    def forget(self, numbers: set[int]) -> None:
        """The end of these is durable."""
        with self._lock:
            self._expired -= numbers

    def restart_all(self) -> None:
        """Give all live leases their full lifetime: after an outage, in which nobody could extend them."""
        now = time.monotonic()
        with self._lock:
            for lease in self._live.values():
                lease.expires_at = now + lease.life_s
