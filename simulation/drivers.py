"""Runs the periodic work of a controller of the current version without its threads."""

from __future__ import annotations

import contextlib
from typing import Any


class ControllerDriver:
    """Runs the periodic work of a controller of the current version; stateless, so each step can make a new one."""

    def __init__(self, controller: Any) -> None:
        self.controller = controller

    @property
    def _cache(self) -> Any:
        """The controller's cache of the key-value store."""
        return self.controller.cache

    @property
    def is_loaded(self) -> bool:
        """Whether the cache has completed its first read."""
        return self._cache.loaded.is_set()

    @property
    def hung_watch_s(self) -> float:
        """Seconds until the controller notices that an open watch delivers nothing."""
        return self._cache.watch_s + self.controller.state.timeout

    def renew_lease(self) -> None:
        """Acquire or renew the controller's lease in the key-value store."""
        self.controller.coordinator.renew_lease()

    def catch_up(self) -> None:
        """Read the changes since the last read from the key-value store."""
        self._cache.catch_up(0.0, "claim")

    def seal_cancellations(self) -> None:
        """Seal the cancellations that controllers of another version have recorded."""
        self.controller.cancellation_sealer.seal_all()

    def note_watch(self, steady: float) -> None:
        """Record the monotonic time at which the watch last got a response."""
        self._cache.watched = steady

    def maintain_shards(self) -> None:
        """Do the leader's work if this controller leads, and acquire and release shards."""
        self.controller.coordinator.maintain_shards()

    def mapping_event(self) -> None:
        """Allocate machines to waiting tasks."""
        self.controller.scheduling_loop.mapping_event()

    def send_next_command(self) -> bool:
        """Send direct commands to one machine; return False if there are none to send."""
        return self.controller.command_dispatcher.send_next()

    def probe_next(self) -> bool:
        """Probe whether one machine is reachable; return False if there is none to probe."""
        return self.controller.zone_probe.probe_next()

    def peer_frame(self) -> Any:
        """Return the controller's next message to its peers."""
        return self.controller.peer_frame()

    def receive_peer_frame(self, frame: Any) -> None:
        """Process a peer's message."""
        self.controller.peer_exchange.receive(frame)

    def guard_machines(self) -> None:
        """Check the machines of the controller's own shards once, as every shard holder does."""
        self.controller.autoscaler.check_machines_once()

    def scale(self) -> None:
        """List, rent and release machines once, as the leader does."""
        self.controller.autoscaler.scale_once()

    def read_in_place(self, quiet: tuple[type[Exception], ...]) -> None:
        """Make read barriers read synchronously instead of waiting for the cache's thread."""
        cache = self._cache

        def barrier(timeout: float, kind: str = "poll") -> bool:
            with contextlib.suppress(*quiet):
                cache.catch_up(0.0, kind)
                return True
            return False

        cache.barrier = barrier
