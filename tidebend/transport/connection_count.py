"""The number of open connections, bounded, with a warning in the log while it is close to its bound."""

from __future__ import annotations

import logging
import threading

log = logging.getLogger("transport")

# From this share of the most connections on, those that can do without theirs are closed after their answer.
CROWDED_FROM = 0.9
# Below this share the log says that it is over: far enough below, so that it doesn't say so again and again.
RELAXED_BELOW = 0.5


class ConnectionCount:
    """Counts open connections up to `most`. Safe for use by several threads."""

    def __init__(self, most: int) -> None:
        """`most`: connections that may be open at a time."""
        self.most = most
        self._open = 0
        self._refused = 0  # since the log said that it is crowded
        self._warned = False  # whether the log says that it is crowded
        self._lock = threading.Lock()

    @property
    def open(self) -> int:
        """How many are open."""
        return self._open

    @property
    def crowded(self) -> bool:
        """Whether connections are scarce."""
        return self._open >= CROWDED_FROM * self.most

    def enter(self) -> bool:
        """Count a new connection; False if it has to be refused."""
        with self._lock:
            accepted = self._open < self.most
            if accepted:
                self._open += 1
            else:
                self._refused += 1
            warned = self._warned
            self._warned = warned or self.crowded
        if self._warned and not warned:
            log.warning("%d of %d connections are in use: answers to workers end theirs", self._open, self.most)
        return accepted

    def leave(self) -> None:
        """Count a connection that was closed."""
        with self._lock:
            self._open -= 1
            relaxed = self._warned and self._open < RELAXED_BELOW * self.most
            refused = self._refused
            if relaxed:
                self._warned, self._refused = False, 0
        if relaxed:
            log.warning("connections are no longer short; %d were refused meanwhile", refused)
