"""Runs the periodic work of a controller of a version with the former names, such as the one in production.

The names here are those of that version and must not follow renames in the current code.
"""

from __future__ import annotations

import importlib
from typing import Any

from simulation.drivers import ControllerDriver


def former_controller() -> Any:
    """Return the controller's package; call this while that version is on the import path."""
    return importlib.import_module("tidebend.service")


def former_failures() -> tuple[type[Exception], ...]:
    """Return the errors of requests to the key-value store: not executed, and outcome unknown."""
    storage = importlib.import_module("tidebend.storage")
    return storage.Unavailable, storage.Unknown


class FormerControllerDriver(ControllerDriver):
    """Runs the periodic work of a controller of a version with the former names."""

    @property
    def _cache(self) -> Any:
        return self.controller.mirror

    @property
    def is_loaded(self) -> bool:
        return self._cache.loaded.is_set()

    @property
    def hung_watch_s(self) -> float:
        waits_s = getattr(self._cache, "watch_s", None) or self._cache._watch_s
        return waits_s + self.controller.state.timeout

    def seal_cancellations(self) -> None:
        """Do nothing: this version doesn't seal cancellations."""

    def note_watch(self, steady: float) -> None:
        self._cache.watched = steady

    def renew_lease(self) -> None:
        self.controller.coordinator.keep_lease()

    def maintain_shards(self) -> None:
        self.controller.coordinator.tend_blocks()

    def mapping_event(self) -> None:
        self.controller.planner.mapping_event()

    def send_next_command(self) -> bool:
        return self.controller.dispatcher.deliver_next()

    def probe_next(self) -> bool:
        return "witness" in vars(self.controller) and self.controller.witness.ask_next()

    def peer_frame(self) -> Any:
        return self.controller.news()

    def receive_peer_frame(self, frame: Any) -> None:
        self.controller.link.receive(frame)

    def guard_machines(self) -> None:
        self.controller.rentals.guard_once()

    def scale(self) -> None:
        self.controller.rentals.lead_once()
