"""Idle connections that wait for their next request, watched by a single thread."""

from __future__ import annotations

import logging
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple, cast

log = logging.getLogger("transport")

# Maximum bytes per read from the wake-up socket; remaining bytes wake the loop again.
WAKE_BYTES = 4096


class Connection(NamedTuple):
    """An accepted socket and the client's address. Has one owner at a time, and only the owner may close it."""

    stream: socket.socket
    address: Any


class IdleConnections:
    """Watches parked connections in one `selectors` loop.

    Guarantees: a connection that `park` accepted is handed over exactly once, to `ready` when it becomes readable
    (bytes, the end of the stream or an error), or to `expired` after `idle_timeout_s` seconds without input or on
    `close`. Both are called by the loop's thread without a lock, and must not block.

    The number of parked connections isn't limited here: the server limits all its open connections.
    """

    def __init__(
        self, idle_timeout_s: float, ready: Callable[[Connection], None], expired: Callable[[Connection], None]
    ) -> None:
        """Start the loop's thread. Raises OSError without free file descriptors, RuntimeError without a thread."""
        self._idle_timeout_s = idle_timeout_s
        self._ready = ready
        self._expired = expired
        self._lock = threading.Lock()  # guards the next two attributes
        self._arrivals: deque[tuple[Connection, float]] = deque()  # with the monotonic expiry time
        self._closed = False
        # Used only by the loop's thread. In the order of arrival, which is also the order of expiry.
        self._parked: dict[socket.socket, tuple[Connection, float]] = {}
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, name="idle-connections", daemon=True)
        self._thread.start()

    def park(self, connection: Connection) -> bool:
        """Take over a connection; return False, and leave it to the caller, if this is closed.

        No bytes of the connection may have been read ahead, since only the socket is watched.
        """
        with self._lock:
            if self._closed:
                return False
            self._arrivals.append((connection, time.monotonic() + self._idle_timeout_s))
            first = len(self._arrivals) == 1
        if first:  # otherwise a wake-up is already pending
            self._wake_up()
        return True

    def close(self) -> None:
        """Expire all parked connections and end the loop; doesn't wait for either."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
        self._wake_up()

    def _wake_up(self) -> None:
        # If the socket's buffer is full, a wake-up is already pending; if it is closed, the loop has ended.
        with suppress(OSError):
            self._wake_sender.send(b"x")

    # Run by the loop's thread

    def _run(self) -> None:
        while not self._closed:
            events = self._selector.select(self._pause_s())
            for key, _ in events:
                stream = cast(socket.socket, key.fileobj)  # nothing else is registered
                if stream is self._wake_receiver:
                    self._drain()
                else:
                    self._hand_over(stream, self._ready)
            self._take_arrivals()
            self._expire(time.monotonic())
        self._shut_down()

    def _pause_s(self) -> float | None:
        """Return the seconds until the next connection expires; None if there is none."""
        for _, expires in self._parked.values():
            return max(0.0, expires - time.monotonic())
        return None

    def _drain(self) -> None:
        with suppress(BlockingIOError):
            self._wake_receiver.recv(WAKE_BYTES)

    def _take_arrivals(self) -> None:
        with self._lock:
            arrivals, self._arrivals = self._arrivals, deque()
        for connection, expires in arrivals:
            try:
                self._selector.register(connection.stream, selectors.EVENT_READ)
            except (OSError, ValueError) as error:  # the kernel's limit is reached, or the socket is closed
                log.debug("failed to watch an idle connection: %s", error)
                self._call(self._expired, connection)
                continue
            self._parked[connection.stream] = (connection, expires)

    def _expire(self, now: float) -> None:
        expired_streams = []
        for stream, (_, expires) in self._parked.items():
            if expires > now:
                break
            expired_streams.append(stream)
        for stream in expired_streams:
            self._hand_over(stream, self._expired)

    def _hand_over(self, stream: socket.socket, callback: Callable[[Connection], None]) -> None:
        connection, _ = self._parked.pop(stream)
        self._selector.unregister(stream)
        self._call(callback, connection)

    def _call(self, callback: Callable[[Connection], None], connection: Connection) -> None:
        """Call one of the two callbacks; a failure with one connection must not affect the others."""
        try:
            callback(connection)
        except Exception:
            log.exception("failed to hand over the idle connection from %s", connection.address)

    def _shut_down(self) -> None:
        self._take_arrivals()
        for stream in list(self._parked):
            self._hand_over(stream, self._expired)
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()
