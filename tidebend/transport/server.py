"""The HTTP server: accepts connections, and has each served by a thread or watched while it is idle."""

from __future__ import annotations

import logging
import socketserver
from http.server import HTTPServer
from typing import Any

from tidebend.transport.connection_count import ConnectionCount
from tidebend.transport.connection_threads import ConnectionThreads
from tidebend.transport.idle_connections import Connection, IdleConnections
from tidebend.transport.replies import Route
from tidebend.transport.request_handler import Handler

log = logging.getLogger("transport")

# From this share of the most threads on, none is kept for a connection that is idle. The rest of them are there for
# requests, whatever the connections that came first do.
THREADS_SCARCE_FROM = 0.75
# Connections that may wait to be accepted.
BACKLOG = 128


class Server(HTTPServer):
    """Takes up to `max_connections` at a time, one thread each while there are threads.

    Connections aren't bounded by threads. Once three quarters of `max_threads` are in use, a connection that is idle,
    new or after its answer, is parked: one thread watches all of these, and each gets a thread again when there is
    something to read. Should there be none, connections wait for one in the order of their requests. A parked
    connection is closed when it was idle for `idle_timeout_s`, as others are.

    Connections with TLS are parked, too, see `Handler._has_bytes`; the handshake of one that was parked as it came
    begins with the client's first bytes.

    Guards against a fleet with more workers than connections. Whoever connects first would keep its connection, and
    the others, refused each time, would lose their leases. So shortly before the limit is reached, replies with
    `close_if_crowded` end their connections: whoever sent the request connects anew for its next one, and all get
    their turn.
    """

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        idle_timeout_s: float,
        body_timeout_s: float,
        max_connections: int,
        handler: type[Handler] = Handler,
        backlog: int = BACKLOG,
        max_threads: int | None = None,
    ) -> None:
        """Binds and listens. Raises OSError, or RuntimeError if no thread is to be had.

        `idle_timeout_s`: seconds after which an idle connection is closed.
        `body_timeout_s`: seconds that each read of a request's body may wait.
        `max_connections`: connections that may be open at a time.
        `backlog`: connections that may wait to be accepted; they have sockets, too.
        `max_threads`: threads that serve connections; where it is None, or not below `max_connections`, nothing is ever
        parked.
        """
        self.request_queue_size = backlog
        self.route = route
        self.idle_timeout_s = idle_timeout_s
        self.body_timeout_s = body_timeout_s
        self._handler = handler
        self._count = ConnectionCount(max_connections)
        parks = max_threads is not None and max_threads < max_connections
        self._threads = self._make_threads(max_connections, max_threads if parks else None)
        self._idle: IdleConnections | None = None
        super().__init__(address, handler)
        if parks:
            self._idle = IdleConnections(idle_timeout_s, self._submit, self._end)

    def _make_threads(self, max_connections: int, max_threads: int | None) -> ConnectionThreads:
        """Without a bound of their own there is a thread for each connection, and they are never scarce."""
        if max_threads is None:
            return ConnectionThreads(max_connections, max_connections + 1, max_connections, self._serve)
        threads = max(1, max_threads)
        return ConnectionThreads(threads, int(THREADS_SCARCE_FROM * threads), max_connections, self._serve)

    @property
    def max_connections(self) -> int:
        """The most connections that may be open at a time."""
        return self._count.most

    @property
    def open_connections(self) -> int:
        """How many connections are open, with those that are parked or wait for a thread."""
        return self._count.open

    @property
    def crowded(self) -> bool:
        """Whether connections are scarce."""
        return self._count.crowded

    @property
    def threads_scarce(self) -> bool:
        """Whether a thread is better not kept for a connection that is idle."""
        return self._threads.scarce

    def server_bind(self) -> None:
        """Bind without a look-up of the host's name, which HTTPServer does: there is no name service here."""
        socketserver.TCPServer.server_bind(self)
        host, port = self.server_address[:2]
        self.server_name, self.server_port = str(host), port

    def process_request(self, request: Any, client_address: Any) -> None:
        """Take an accepted connection, or close it if there are too many."""
        if not self._count.enter():
            self.shutdown_request(request)
            return
        connection = Connection(request, client_address)
        if self.threads_scarce:
            self._park(connection)
        else:
            self._submit(connection)

    def _submit(self, connection: Connection) -> None:
        """Have a connection served by a thread; it is closed if that can't be."""
        if not self._threads.submit(connection):
            self._end(connection)

    def _park(self, connection: Connection) -> None:
        """Watch a connection of which nothing was read ahead; it is closed if that can't be."""
        if self._idle is None or not self._idle.park(connection):
            self._end(connection)

    def _end(self, connection: Connection) -> None:
        try:
            self.shutdown_request(connection.stream)
        finally:
            self._count.leave()

    def _serve(self, connection: Connection) -> None:
        """Runs in one of the threads until the connection is closed or parked."""
        closes = True
        try:
            closes = self._handler(connection.stream, connection.address, self).close_connection
        except Exception:
            self.handle_error(connection.stream, connection.address)
        try:
            if closes:
                self._end(connection)
            else:
                self._park(connection)
        except Exception:
            log.exception("connection of %s", connection.address)

    def server_close(self) -> None:
        """Close the listening socket, and the connections that are parked or wait for a thread.

        Requests that are being served get their answers.
        """
        super().server_close()
        if self._idle is not None:
            self._idle.close()
        for connection in self._threads.close():
            self._end(connection)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A connection that fails is no error of this process."""
        log.debug("connection of %s ended", client_address, exc_info=True)
