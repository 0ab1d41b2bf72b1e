"""Lease expiry on the monotonic clock.

Steps of the wall clock have no effect. The database holds that a lease exists and its lifetime, but not when it
expires: after an outage every lease gets its full lifetime again.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass


@dataclass
class Lease:
    """A live lease."""

    lifetime_s: float
    expires_at: float  # on the monotonic clock


class LeaseTable:
    """The live leases, and those whose end isn't durable yet. Thread-safe.

    A lease that has expired or was ended is `ending` until `confirm_ended` is called once its end is durable. Meanwhile
    it can't be extended, and no keys can be attached to it.
    """

    def __init__(self, lifetimes_ms: dict[int, int]) -> None:
        """Start the lifetime of each lease now. `lifetimes_ms`: by lease ID, in milliseconds."""
        now = time.monotonic()
        self._lock = threading.Lock()
        self._live = {
            lease_id: Lease(lifetime / 1000.0, now + lifetime / 1000.0) for lease_id, lifetime in lifetimes_ms.items()
        }
        self._ending: set[int] = set()

    def add(self, lease_id: int, lifetime_ms: int) -> None:
        """Add a granted lease, whose lifetime begins now."""
        with self._lock:
            self._live[lease_id] = Lease(lifetime_ms / 1000.0, time.monotonic() + lifetime_ms / 1000.0)

    def extend(self, lease_id: int) -> bool:
        """Restart a lease's lifetime; return False if it isn't live."""
        with self._lock:
            lease = self._live.get(lease_id)
            if lease is None or lease.expires_at < time.monotonic():
                return False
            lease.expires_at = time.monotonic() + lease.lifetime_s
            return True

    def is_live(self, lease_id: int) -> bool:
        """Return whether the lease is live, so that keys may be attached to it."""
        with self._lock:
            lease = self._live.get(lease_id)
            return lease is not None and lease.expires_at >= time.monotonic()

    def ending(self) -> set[int]:
        """Return the leases whose end isn't durable yet, including those that have expired since the last call."""
        now = time.monotonic()
        with self._lock:
            for lease_id in [lease_id for lease_id, lease in self._live.items() if lease.expires_at < now]:
                del self._live[lease_id]
                self._ending.add(lease_id)
            return set(self._ending)

    def end(self, lease_id: int) -> bool:
        """End a lease before it expires; return False if there is no such lease."""
        with self._lock:
            if self._live.pop(lease_id, None) is None:
                return False
            self._ending.add(lease_id)
            return True

    def confirm_ended(self, lease_ids: set[int]) -> None:
        """Remove leases whose end is durable."""
        with self._lock:
            self._ending -= lease_ids

    def extend_all(self) -> None:
        """Restart the lifetime of all live leases, after an outage in which nobody could extend them."""
        now = time.monotonic()
        with self._lock:
            for lease in self._live.values():
                lease.expires_at = now + lease.lifetime_s
