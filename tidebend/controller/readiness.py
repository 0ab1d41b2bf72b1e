"""Readiness of this controller to serve requests, for the load balancer and the router."""

from __future__ import annotations

import time
from collections.abc import Callable

from tidebend.coordination import PeerExchange
from tidebend.kvclient import WatchCache
from tidebend.protocol import MachineType
from tidebend.settings import Settings

# time after a start during which requests wait for the first read, as a fraction of a controller's lease
FIRST_READ_SHARE = 0.2
# interval for polling whether the first read is complete
FIRST_READ_POLL_S = 0.01


class Readiness:
    """Decides by the age of our last read of the key-value store, compared with those of the peers."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        peer_exchange: PeerExchange,
        machine_types: Callable[[], dict[str, MachineType]],
    ) -> None:
        """To be created when the controller starts; `machine_types` returns the types known so far."""
        self._settings = settings
        self._cache = cache
        self._peer_exchange = peer_exchange
        self._machine_types = machine_types
        self._wait_until = time.monotonic() + FIRST_READ_SHARE * settings.controller_lease_s

    def wait_for_first_read(self) -> None:
        """Wait until the first read is complete or a fraction of the lease has passed since the start.

        A controller that restarts within a fraction of a second keeps getting requests. If it rejected them because
        it isn't ready yet, their users would retry only after a second.
        """
        while not self._has_read() and time.monotonic() < self._wait_until:
            time.sleep(FIRST_READ_POLL_S)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this controller.

        A controller isn't ready if it has never read the key-value store, or hasn't for a controller's lease while a
        peer has. If no controller can reach the store, all stay ready, since they can still answer with final states.
        """
        if not self._has_read():
            return False
        max_age_s = self._settings.controller_lease_s
        if self._cache.age_s <= max_age_s:
            return True
        now = time.monotonic()
        # for each peer with a recent frame: whether its last read, timestamped by its wall clock, is recent
        peers_with_recent_read = [
            time.time() - peer.as_of <= max_age_s + self._settings.max_clock_offset_s
            for peer in self._peer_exchange.peers.values()
            if now - peer.received_at <= max_age_s
        ]
        return not any(peers_with_recent_read)

    def _has_read(self) -> bool:
        return self._cache.loaded.is_set() and bool(self._machine_types())
