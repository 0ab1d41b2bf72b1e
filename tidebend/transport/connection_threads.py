"""A bounded thread pool that serves connections, with a bounded queue of connections that wait for a thread."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from tidebend.transport.idle_connections import Connection

# While threads are scarce, a thread that has finished waits this long for another connection before it ends. Otherwise
# each request of a large fleet would start a new thread.
IDLE_THREAD_TIMEOUT_S = 1.0


class ConnectionThreads:
    """Serves each connection in its own thread while threads are available, otherwise in the order of arrival.

    Guarantees: there are never more than `max_threads` threads, and never more than `max_waiting` connections in the
    queue. `serve` is called without a lock, once for each connection that `submit` accepted, unless the pool is closed
    first.
    """

    def __init__(
        self, max_threads: int, scarce_from: int, max_waiting: int, serve: Callable[[Connection], None]
    ) -> None:
        """`scarce_from`: number of threads from which on threads are `scarce`. `serve` must not raise."""
        self._max_threads = max_threads
        self._scarce_from = scarce_from
        self._max_waiting = max_waiting
        self._serve = serve
        self._changed = threading.Condition()  # guards all following attributes
        self._running = 0  # number of threads, including idle ones
        self._idle = 0
        self._waiting: deque[Connection] = deque()
        self._closed = False

    @property
    def scarce(self) -> bool:
        """Whether idle connections should release their threads."""
        return self._running >= self._scarce_from

    @property
    def running(self) -> int:
        """Number of threads, including idle ones."""
        return self._running

    def submit(self, connection: Connection) -> bool:
        """Hand over a connection to be served.

        Returns False, and the caller keeps the connection, if the queue is full, no thread can be started, or the pool
        is closed.
        """
        with self._changed:
            if self._closed:
                return False
            if self._idle > len(self._waiting) or self._running >= self._max_threads:
                return self._enqueue(connection)
            self._running += 1
        thread = threading.Thread(target=self._run, args=(connection,), name="connection", daemon=True)
        try:
            thread.start()
        except RuntimeError:  # no thread can be started
            with self._changed:
                self._running -= 1
            return False
        return True

    def _enqueue(self, connection: Connection) -> bool:
        """Queue a connection, under the lock; return False if the queue is full."""
        if len(self._waiting) >= self._max_waiting:
            return False
        self._waiting.append(connection)
        self._changed.notify()
        return True

    def close(self) -> list[Connection]:
        """Accept no more connections; return those still in the queue, for the caller to close.

        Connections that are being served aren't interrupted.
        """
        with self._changed:
            self._closed = True
            left = list(self._waiting)
            self._waiting.clear()
            self._changed.notify_all()
        return left

    # Run by the threads

    def _run(self, connection: Connection | None) -> None:
        while connection is not None:
            self._serve(connection)
            connection = self._next()

    def _next(self) -> Connection | None:
        """Return the connection that has waited longest; None if the thread should end."""
        with self._changed:
            if not self._waiting and self.scarce and not self._closed:
                self._idle += 1
                self._changed.wait_for(lambda: self._waiting or self._closed, IDLE_THREAD_TIMEOUT_S)
                self._idle -= 1
            if self._waiting:
                return self._waiting.popleft()
            self._running -= 1
            return None
