"""HTTP server of the control service and its agents, which requires a key for every request.

A request's body is read only after its key was verified. The number of connections that haven't sent a valid key yet is
limited: a new one replaces the oldest, and each is closed after a time limit. So clients without a key can't block
others, even with a thousand connections that send nothing or one byte at a time.
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

# Share of all connections that may be unauthenticated at a time.
UNAUTHENTICATED_SHARE = 0.25


class _AuthenticatedHandler(Handler):
    server: AuthenticatedServer

    def _dispatch(self) -> Reply:
        header = self.headers.get(HEADER, "")
        key = self.server.keyring.verify(header[len(SCHEME) :]) if header.startswith(SCHEME) else None
        if key is None:
            self.close_connection = True
            self.server.record_rejection(self.client_address, self.command, self.path, bool(header))
            return Reply(401, {"error": "missing or invalid key"}, {"WWW-Authenticate": SCHEME.strip()})
        self.server.mark_authenticated(self.connection)
        return super()._dispatch()

    def _body(self) -> bytes:
        # The server limits the time for the whole body; the socket's timeout starts again with each byte received.
        self.server.begin_body(self.connection)
        try:
            return super()._body()
        finally:
            self.server.end_body(self.connection)


class AuthenticatedServer(Server):
    """Server that answers only requests with a valid key, over TLS if that is configured."""

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        keyring: Keyring,
        idle_timeout_s: float,
        body_timeout_s: float,
        max_connections: int,
        tls: ssl.SSLContext | None = None,
        backlog: int = 128,
        max_threads: int | None = None,
    ) -> None:
        """Bind and listen, with the parameters of `Server`; `body_timeout_s` also limits the time to send a key.

        An unauthenticated connection that sends one byte at a time occupies a thread, so the limit on these connections
        is a share of `max_threads` if that is below `max_connections`.
        """
        self.keyring = keyring
        self._tls = tls
        self.rejected_requests = 0
        self._time_limit_s = body_timeout_s  # for a new connection to send a key, and for a whole body
        self._max_unauthenticated = max(
            2, int(min(max_connections, max_threads or max_connections) * UNAUTHENTICATED_SHARE)
        )
        self._connections_lock = threading.Lock()
        self._unauthenticated: dict[socket.socket, float] = {}  # connection -> monotonic time of accept, oldest first
        self._reading_bodies: dict[socket.socket, float] = {}  # connection -> monotonic time of the body's start
        self._rejection_logged_at = -1e9
        self._closed = threading.Event()
        super().__init__(
            address, route, idle_timeout_s, body_timeout_s, max_connections, _AuthenticatedHandler, backlog, max_threads
        )
        threading.Thread(target=self._close_overdue, name="gate", daemon=True).start()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self.server_port

    @property
    def host(self) -> str:
        """The address that the server listens on."""
        return self.server_name

    def get_request(self) -> tuple[Any, Any]:
        """Accept a connection."""
        connection, address = super().get_request()
        if self._tls is not None:
            # The connection's thread does the handshake with its first read.
            connection = self._tls.wrap_socket(connection, server_side=True, do_handshake_on_connect=False)
        return connection, address

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve an accepted connection; closes the oldest unauthenticated one if there are too many."""
        with self._connections_lock:
            oldest = (
                next(iter(self._unauthenticated)) if len(self._unauthenticated) >= self._max_unauthenticated else None
            )
            if oldest is not None:
                del self._unauthenticated[oldest]
            self._unauthenticated[request] = time.monotonic()
        if oldest is not None:
            _shut_down(oldest)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection and stop tracking it."""
        with self._connections_lock:
            self._unauthenticated.pop(request, None)
            self._reading_bodies.pop(request, None)
        super().shutdown_request(request)

    def server_close(self) -> None:
        """Stop listening and checking connections for time limits."""
        self._closed.set()
        super().server_close()

    def mark_authenticated(self, connection: socket.socket) -> None:
        """Record that a connection has sent a valid key."""
        with self._connections_lock:
            self._unauthenticated.pop(connection, None)

    def begin_body(self, connection: socket.socket) -> None:
        """Record that reading a request's body starts."""
        with self._connections_lock:
            self._reading_bodies[connection] = time.monotonic()

    def end_body(self, connection: socket.socket) -> None:
        """Record that a request's body has been read."""
        with self._connections_lock:
            self._reading_bodies.pop(connection, None)

    def record_rejection(self, address: Any, method: str, path: str, key_sent: bool) -> None:
        """Count a rejected request; logged at most once a second, so that a flood of them doesn't fill the disk."""
        now = time.monotonic()
        with self._connections_lock:
            self.rejected_requests += 1
            if now - self._rejection_logged_at < 1.0:
                return
            self._rejection_logged_at = now
        log.warning(
            "rejected request: %s from %s %s, %s key (%d in total)",
            method,
            address[0],
            path.partition("?")[0][:80],
            "a wrong" if key_sent else "no",
            self.rejected_requests,
        )

    def _close_overdue(self) -> None:
        while not self._closed.wait(self._time_limit_s / 8.0):
            now = time.monotonic()
            with self._connections_lock:
                overdue = [
                    connection
                    for pending in (self._unauthenticated, self._reading_bodies)
                    for connection, since in pending.items()
                    if now - since > self._time_limit_s
                ]
                for connection in overdue:
                    self._unauthenticated.pop(connection, None)
                    self._reading_bodies.pop(connection, None)
            for connection in overdue:
                _shut_down(connection)


def _shut_down(connection: socket.socket) -> None:
    """Shut down a connection's socket; its thread then reads the end of the stream and closes it."""
    try:
        # Shuts down the underlying socket, since a TLS shutdown would wait for the peer.
        socket.socket.shutdown(connection, socket.SHUT_RDWR)
    except OSError:
        return
