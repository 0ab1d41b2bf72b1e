"""A limited count of open connections, with a log warning when it is close to the limit."""

from __future__ import annotations

import logging
import threading

log = logging.getLogger("transport")

# From this fraction of the limit on, connections whose replies permit it are closed after the reply.
CROWDED_FRACTION = 0.9
# Below this fraction of the limit, the log reports the end of the shortage. The hysteresis prevents repeated messages.
RELAXED_FRACTION = 0.5


class ConnectionCount:
    """Counts open connections up to a limit. Safe for use by several threads."""

    def __init__(self, max_connections: int) -> None:
        """`max_connections`: maximum number of open connections."""
        self.max_connections = max_connections
        self._open = 0
        self._refused = 0  # refused connections since the warning
        self._warned = False  # whether the log has warned of the current shortage
        self._lock = threading.Lock()

    @property
    def open(self) -> int:
        """Number of open connections."""
        return self._open

    @property
    def crowded(self) -> bool:
        """Whether the number of open connections is close to the limit."""
        return self._open >= CROWDED_FRACTION * self.max_connections

    def acquire(self) -> bool:
        """Count a new connection; return False if it must be refused."""
        with self._lock:
            accepted = self._open < self.max_connections
            if accepted:
                self._open += 1
            else:
                self._refused += 1
            warned = self._warned
            self._warned = warned or self.crowded
        if self._warned and not warned:
            log.warning(
                "%d of %d connections are open: closing workers' connections after each reply",
                self._open,
                self.max_connections,
            )
        return accepted

    def release(self) -> None:
        """Stop counting a connection that was closed."""
        with self._lock:
            self._open -= 1
            has_relaxed = self._warned and self._open < RELAXED_FRACTION * self.max_connections
            refused = self._refused
            if has_relaxed:
                self._warned, self._refused = False, 0
        if has_relaxed:
            log.warning("the shortage of connections has ended; %d were refused", refused)
