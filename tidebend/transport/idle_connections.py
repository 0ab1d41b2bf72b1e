"""Connections that wait for their next request without a thread each: one thread watches them all."""

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

# Read from the wake-up socket at a time; what is left over wakes the loop once more.
WAKE_BYTES = 4096


class Connection(NamedTuple):
    """An accepted socket and its peer's address. Whoever holds it is the only one that may close it."""

    stream: socket.socket
    address: Any


class IdleConnections:
    """Watches parked connections in one `selectors` loop.

    Guarantees: a connection that `park` took is handed on exactly once, to `ready` when it can be read (bytes, the end
    of the stream or an error) or to `expired` when nothing came for `idle_timeout_s` seconds, or when this is closed.
    Neither is called under a lock. Both are called by the loop's thread, and must not block.

    The number of parked connections isn't bounded here: the server bounds all that it has open.
    """

    def __init__(
        self, idle_timeout_s: float, ready: Callable[[Connection], None], expired: Callable[[Connection], None]
    ) -> None:
        """Starts the loop's thread. Raises OSError or RuntimeError if no descriptors or no thread are to be had."""
        self._idle_timeout_s = idle_timeout_s
        self._ready = ready
        self._expired = expired
        self._lock = threading.Lock()  # guards the next two
        self._arrivals: deque[tuple[Connection, float]] = deque()  # with the monotonic time at which they expire
        self._closed = False
        # only for the loop's thread: in the order in which they came, which is also the order in which they expire
        self._parked: dict[socket.socket, tuple[Connection, float]] = {}
        self._selector = selectors.DefaultSelector()
        self._woken, self._wake = socket.socketpair()
        self._woken.setblocking(False)
        self._wake.setblocking(False)
        self._selector.register(self._woken, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, name="idle-connections", daemon=True)
        self._thread.start()

    def park(self, connection: Connection) -> bool:
        """Take a connection over; False, and it stays the caller's, once this is closed.

        The caller makes sure that no bytes of it were read ahead: they aren't looked at here.
        """
        with self._lock:
            if self._closed:
                return False
            self._arrivals.append((connection, time.monotonic() + self._idle_timeout_s))
            first = len(self._arrivals) == 1
        if first:  # otherwise the loop was woken already, and hasn't looked yet
            self._wake_up()
        return True

    def close(self) -> None:
        """Let all parked connections expire now and end the loop; returns without waiting for that."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
        self._wake_up()

    def _wake_up(self) -> None:
        # one that is full wakes just as well; one that is closed belongs to a loop that has ended
        with suppress(OSError):
            self._wake.send(b"x")

    # The loop's thread

    def _run(self) -> None:
        while not self._closed:
            events = self._selector.select(self._pause_s())
            for key, _ in events:
                stream = cast(socket.socket, key.fileobj)  # nothing else is registered
                if stream is self._woken:
                    self._drain()
                else:
                    self._hand_on(stream, self._ready)
            self._take_arrivals()
            self._expire(time.monotonic())
        self._end()

    def _pause_s(self) -> float | None:
        """Seconds until the first connection expires; None, without an end, while there is none."""
        for _, expires in self._parked.values():
            return max(0.0, expires - time.monotonic())
        return None

    def _drain(self) -> None:
        with suppress(BlockingIOError):
            self._woken.recv(WAKE_BYTES)

    def _take_arrivals(self) -> None:
        with self._lock:
            arrivals, self._arrivals = self._arrivals, deque()
        for connection, expires in arrivals:
            try:
                self._selector.register(connection.stream, selectors.EVENT_READ)
            except (OSError, ValueError) as error:  # the kernel watches no more of them, or it isn't open any more
                log.debug("a connection can't be watched: %s", error)
                self._call(self._expired, connection)
                continue
            self._parked[connection.stream] = (connection, expires)

    def _expire(self, now: float) -> None:
        late = []
        for stream, (_, expires) in self._parked.items():
            if expires > now:
                break
            late.append(stream)
        for stream in late:
            self._hand_on(stream, self._expired)

    def _hand_on(self, stream: socket.socket, receiver: Callable[[Connection], None]) -> None:
        connection, _ = self._parked.pop(stream)
        self._selector.unregister(stream)
        self._call(receiver, connection)

    def _call(self, receiver: Callable[[Connection], None], connection: Connection) -> None:
        """Call one of the two receivers; guards the other connections against a failure with one."""
        try:
            receiver(connection)
        except Exception:
            log.exception("connection of %s", connection.address)

    def _end(self) -> None:
        self._take_arrivals()
        for stream in list(self._parked):
            self._hand_on(stream, self._expired)
        self._selector.close()
        self._woken.close()
        self._wake.close()
