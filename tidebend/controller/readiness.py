"""Whether this controller can decide requests, as the load balancer and the router ask."""

from __future__ import annotations

import time
from collections.abc import Callable

from tidebend.coordination import PeerExchange
from tidebend.kvclient import WatchCache
from tidebend.protocol import MachineType
from tidebend.settings import Settings

# the time after a start for which requests wait for the first read, as a share of a controller's lease
FIRST_READ_SHARE = 0.2
# the time in seconds between two looks whether the first read has come
FIRST_READ_POLL_S = 0.01


class Readiness:
    """Compares the age of our reads of the state service with the peers'."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        peer_exchange: PeerExchange,
        machine_types: Callable[[], dict[str, MachineType]],
    ) -> None:
        """Created when the controller starts; `machine_types` returns the types known so far."""
        self._settings = settings
        self._cache = cache
        self._peer_exchange = peer_exchange
        self._machine_types = machine_types
        self._wait_until = time.monotonic() + FIRST_READ_SHARE * settings.controller_lease_s

    def wait_for_first_read(self) -> None:
        """Wait until the first read is complete, but no longer than for a moment after the start.

        A controller that is started again within a fraction of a second after its end still gets requests. If it
        refused them for being early by that fraction, their users would come back only after a second.
        """
        while not self._has_read() and time.monotonic() < self._wait_until:
            time.sleep(FIRST_READ_POLL_S)

    def is_ready(self) -> bool:
        """Whether requests should be sent here.

        Not ready is a controller that has never read the state service, or not for a lease while some peer has. If no
        controller reaches the state service, all stay ready: final answers can still be given.
        """
        if not self._has_read():
            return False
        max_age_s = self._settings.controller_lease_s
        if self._cache.age_s <= max_age_s:
            return True
        now = time.monotonic()
        # of the peers heard of lately: whether each one's last read is recent, by its own clock
        peers_with_recent_read = [
            time.time() - peer.as_of <= max_age_s + self._settings.max_clock_offset_s
            for peer in self._peer_exchange.peers.values()
            if now - peer.received_at <= max_age_s
        ]
        return not any(peers_with_recent_read)

    def _has_read(self) -> bool:
        return self._cache.loaded.is_set() and bool(self._machine_types())
