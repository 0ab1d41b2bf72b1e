"""The threads that serve connections: a bounded number, and a bounded queue of connections that wait for one."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from tidebend.transport.idle_connections import Connection

# Once threads are scarce, one that is done waits so many seconds for another connection. Guards against a new thread
# for each request of a large fleet.
LINGER_S = 1.0


class ConnectionThreads:
    """Serves each connection in a thread of its own while there are threads, else in turn, first come, first served.

    Guarantees: never more than `max_threads` threads, never more than `max_waiting` connections in the queue; `serve`
    is called without a lock, once for every connection that `submit` took, unless this is closed first.
    """

    def __init__(
        self, max_threads: int, scarce_from: int, max_waiting: int, serve: Callable[[Connection], None]
    ) -> None:
        """Threads are `scarce` from `scarce_from` of them on. `serve` must not raise."""
        self._max_threads = max_threads
        self._scarce_from = scarce_from
        self._max_waiting = max_waiting
        self._serve = serve
        self._changed = threading.Condition()  # guards all that follows
        self._running = 0  # threads, with those that linger
        self._lingering = 0
        self._waiting: deque[Connection] = deque()
        self._closed = False

    @property
    def scarce(self) -> bool:
        """Whether a thread is better not kept for a connection that is idle."""
        return self._running >= self._scarce_from

    @property
    def running(self) -> int:
        """How many threads there are, with those that linger."""
        return self._running

    def submit(self, connection: Connection) -> bool:
        """Have a connection served.

        Returns False, and it stays the caller's, if the queue is full, no thread can be had, or this is closed.
        """
        with self._changed:
            if self._closed:
                return False
            if self._lingering > len(self._waiting) or self._running >= self._max_threads:
                return self._enqueue(connection)
            self._running += 1
        thread = threading.Thread(target=self._run, args=(connection,), name="connection", daemon=True)
        try:
            thread.start()
        except RuntimeError:  # no thread can be had
            with self._changed:
                self._running -= 1
            return False
        return True

    def _enqueue(self, connection: Connection) -> bool:
        """Under the lock: False if the queue is full."""
        if len(self._waiting) >= self._max_waiting:
            return False
        self._waiting.append(connection)
        self._changed.notify()
        return True

    def close(self) -> list[Connection]:
        """Take no more connections; returns those that still waited, for the caller to close.

        Connections that are being served are served to their end.
        """
        with self._changed:
            self._closed = True
            left = list(self._waiting)
            self._waiting.clear()
            self._changed.notify_all()
        return left

    # The threads

    def _run(self, connection: Connection | None) -> None:
        while connection is not None:
            self._serve(connection)
            connection = self._next()

    def _next(self) -> Connection | None:
        """The connection that has waited longest; None if the thread is to end."""
        with self._changed:
            if not self._waiting and self.scarce and not self._closed:
                self._lingering += 1
                self._changed.wait_for(lambda: self._waiting or self._closed, LINGER_S)
                self._lingering -= 1
            if self._waiting:
                return self._waiting.popleft()
            self._running -= 1
            return None
