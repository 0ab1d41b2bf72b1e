"""Steps a controller of today's version without its threads."""

from __future__ import annotations

import contextlib
from typing import Any


class ControllerDriver:
    """Steps a controller of today's version; stateless, so that it may be made anew for each step."""

    def __init__(self, controller: Any) -> None:
        self.controller = controller

    @property
    def _cache(self) -> Any:
        """The controller's cache of the key-value store."""
        return self.controller.cache

    @property
    def is_loaded(self) -> bool:
        """Whether the cache has been read once."""
        return self._cache.loaded.is_set()

    @property
    def hung_watch_s(self) -> float:
        """How long a watch that brings nothing goes unnoticed."""
        return self._cache.watch_s + self.controller.state.timeout

    def renew_lease(self) -> None:
        """Grant or renew the controller's lease at the key-value store."""
        self.controller.coordinator.renew_lease()

    def catch_up(self) -> None:
        """Read what has changed at the key-value store."""
        self._cache.catch_up(0.0, "claim")

    def note_watch(self, steady: float) -> None:
        """Say that the watch has brought an answer at a time of the steady clock."""
        self._cache.watched = steady

    def maintain_shards(self) -> None:
        """Lead, and take over and give up shards."""
        self.controller.coordinator.maintain_shards()

    def mapping_event(self) -> None:
        """Place waiting tasks."""
        self.controller.scheduling_loop.mapping_event()

    def send_next_command(self) -> bool:
        """Send direct commands to one machine; False if none wait."""
        return self.controller.command_dispatcher.send_next()

    def probe_next(self) -> bool:
        """Ask one machine whether it can be reached; False if none is to be asked."""
        return self.controller.zone_probe.probe_next()

    def peer_frame(self) -> Any:
        """What the controller tells its peers."""
        return self.controller.peer_frame()

    def receive_peer_frame(self, frame: Any) -> None:
        """Take over what a peer tells."""
        self.controller.peer_exchange.receive(frame)

    def guard_machines(self) -> None:
        """Look at the controller's own machines once, as each holder of a shard does."""
        self.controller.autoscaler.check_machines_once()

    def scale(self) -> None:
        """List, rent and return machines once, as the leader does."""
        self.controller.autoscaler.scale_once()

    def read_in_place(self, quiet: tuple[type[Exception], ...]) -> None:
        """Have read barriers read at once, without the thread that does it otherwise."""
        cache = self._cache

        def barrier(timeout: float, kind: str = "poll") -> bool:
            with contextlib.suppress(*quiet):
                cache.catch_up(0.0, kind)
                return True
            return False

        cache.barrier = barrier
