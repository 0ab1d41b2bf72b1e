"""The server of every interface of the control service and its agents: nobody gets in without a key.

A request's body is read only after its key was found good. Connections that haven't shown one are guests: few at a
time, the oldest gives way to the newest, and none stays long, so that a thousand that say nothing, or say it byte by
byte, keep nobody out.
"""

from __future__ import annotations

import logging
import socket
import ssl
import threading
import time
from typing import Any

from tidebend.access.client import HEADER, SCHEME
from tidebend.access.keys import Keyring
from tidebend.transport import Handler, Reply, Route, Server

log = logging.getLogger("access")

# of all connections, so many may be guests at a time
GUESTS_SHARE = 0.25


class _AuthenticatedHandler(Handler):
    server: AuthenticatedServer

    def _dispatch(self) -> Reply:
        shown = self.headers.get(HEADER, "")
        key = self.server.ring.verify(shown[len(SCHEME) :]) if shown.startswith(SCHEME) else None
        if key is None:
            self.close_connection = True
            self.server.turned_away(self.client_address, self.command, self.path, bool(shown))
            return Reply(401, {"error": "no key of ours"}, {"WWW-Authenticate": SCHEME.strip()})
        self.server.came_in(self.connection)
        return super()._dispatch()

    def _body(self) -> bytes:
        # each byte would win another time-out otherwise: the whole body has one
        self.server.reads(self.connection)
        try:
            return super()._body()
        finally:
            self.server.was_read(self.connection)


class AuthenticatedServer(Server):
    """A server that answers only those who show a key in force, with TLS if that is configured."""

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        ring: Keyring,
        idle_timeout_s: float,
        body_timeout_s: float,
        most: int,
        tls: ssl.SSLContext | None = None,
        backlog: int = 128,
        max_threads: int | None = None,
    ) -> None:
        """`backlog` and `max_threads` as in `Server`. Connections of guests may each hold a thread, one byte at a
        time, so their share is of the threads where those are fewer."""
        self.ring = ring
        self._tls = tls
        self.rejected_requests = 0
        self._patience_s = body_timeout_s  # for a guest to show a key, and for a whole body
        self._most_guests = max(2, int(min(most, max_threads or most) * GUESTS_SHARE))
        self._tables = threading.Lock()
        self._guests: dict[socket.socket, float] = {}  # connection -> steady time at which it came, oldest first
        self._reading: dict[socket.socket, float] = {}  # connection -> steady time at which its body began
        self._refusals_at = -1e9
        self._closed = threading.Event()
        super().__init__(
            address, route, idle_timeout_s, body_timeout_s, most, _AuthenticatedHandler, backlog, max_threads
        )
        threading.Thread(target=self._watch, name="gate", daemon=True).start()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.server_port

    @property
    def host(self) -> str:
        """The address that it listens on."""
        return self.server_name

    def get_request(self) -> tuple[Any, Any]:
        """Accept a connection."""
        connection, address = super().get_request()
        if self._tls is not None:
            # the handshake is done by the connection's thread, with its first read
            connection = self._tls.wrap_socket(connection, server_side=True, do_handshake_on_connect=False)
        return connection, address

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve an accepted connection; the oldest one without a key makes room for it if there are too many."""
        with self._tables:
            oldest = next(iter(self._guests)) if len(self._guests) >= self._most_guests else None
            if oldest is not None:
                del self._guests[oldest]
            self._guests[request] = time.monotonic()
        if oldest is not None:
            _hang_up(oldest)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Forget a connection and close it."""
        with self._tables:
            self._guests.pop(request, None)
            self._reading.pop(request, None)
        super().shutdown_request(request)

    def server_close(self) -> None:
        """Stop listening, and stop looking after connections."""
        self._closed.set()
        super().server_close()

    def came_in(self, connection: socket.socket) -> None:
        """Note that a connection has shown a key."""
        with self._tables:
            self._guests.pop(connection, None)

    def reads(self, connection: socket.socket) -> None:
        """Note that the body of a request begins to be read."""
        with self._tables:
            self._reading[connection] = time.monotonic()

    def was_read(self, connection: socket.socket) -> None:
        """Note that the body of a request has been read."""
        with self._tables:
            self._reading.pop(connection, None)

    def turned_away(self, address: Any, method: str, path: str, with_key: bool) -> None:
        """Logged, but a flood of them fills no disk: once a second, with their number."""
        now = time.monotonic()
        with self._tables:
            self.rejected_requests += 1
            if now - self._refusals_at < 1.0:
                return
            self._refusals_at = now
        log.warning(
            "turned away: %s from %s %s, %s key (%d in all)",
            method,
            address[0],
            path.partition("?")[0][:80],
            "a wrong" if with_key else "no",
            self.rejected_requests,
        )

    def _watch(self) -> None:
        while not self._closed.wait(self._patience_s / 8.0):
            now = time.monotonic()
            with self._tables:
                late = [
                    connection
                    for table in (self._guests, self._reading)
                    for connection, since in table.items()
                    if now - since > self._patience_s
                ]
                for connection in late:
                    self._guests.pop(connection, None)
                    self._reading.pop(connection, None)
            for connection in late:
                _hang_up(connection)


def _hang_up(connection: socket.socket) -> None:
    """Its thread finds the end of the stream and closes it."""
    try:
        # of the socket below: an end of TLS would wait for the other side
        socket.socket.shutdown(connection, socket.SHUT_RDWR)
    except OSError:
        return
