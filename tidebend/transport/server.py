"""The HTTP server: accepts connections; threads serve active ones, and a single thread watches idle ones."""

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

# From this fraction of the maximum number of threads on, idle connections release their threads. The remaining threads
# are thus always available for requests, even if the connections that came first are idle.
THREADS_SCARCE_FRACTION = 0.75
# Maximum number of connections that wait to be accepted.
BACKLOG = 128


class Server(HTTPServer):
    """Accepts up to `max_connections` concurrent connections, each with its own thread while threads are available.

    There may be more connections than threads. Once three quarters of `max_threads` are in use, connections are parked
    while they are idle, when new or after a reply: one thread watches all of them, and each gets a thread again when it
    becomes readable. Without a free thread, connections wait in the order of their requests. A parked connection is
    closed after `idle_timeout_s` without input, like any other.

    TLS connections are also parked, see `Handler._has_bytes`; if one is parked when new, its handshake begins with the
    client's first bytes.

    A fleet may have more workers than the server accepts connections. If the first workers kept their connections, the
    others would be refused every time and lose their leases. So close to the limit, connections are closed after
    replies with `close_if_crowded`: their workers reconnect for the next request, and all workers get a chance.
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
        """Bind and listen. Raises OSError, or RuntimeError if no thread can be started.

        `idle_timeout_s`: seconds after which an idle connection is closed.
        `body_timeout_s`: timeout in seconds of each read of a request's body.
        `max_connections`: maximum number of open connections.
        `backlog`: maximum number of connections that wait to be accepted; these also use sockets.
        `max_threads`: maximum number of threads that serve connections. If it is None or not below `max_connections`,
        connections are never parked.
        """
        self.request_queue_size = backlog
        self.route = route
        self.idle_timeout_s = idle_timeout_s
        self.body_timeout_s = body_timeout_s
        self._handler = handler
        self._count = ConnectionCount(max_connections)
        may_park = max_threads is not None and max_threads < max_connections
        self._threads = self._make_threads(max_connections, max_threads if may_park else None)
        self._idle: IdleConnections | None = None
        super().__init__(address, handler)
        if may_park:
            self._idle = IdleConnections(idle_timeout_s, self._submit, self._close_connection)

    def _make_threads(self, max_connections: int, max_threads: int | None) -> ConnectionThreads:
        """Create the thread pool. Without `max_threads`, each connection has a thread, and threads are never scarce."""
        if max_threads is None:
            return ConnectionThreads(max_connections, max_connections + 1, max_connections, self._serve)
        threads = max(1, max_threads)
        return ConnectionThreads(threads, int(THREADS_SCARCE_FRACTION * threads), max_connections, self._serve)

    @property
    def max_connections(self) -> int:
        """Maximum number of open connections."""
        return self._count.max_connections

    @property
    def open_connections(self) -> int:
        """Number of open connections, including those that are parked or wait for a thread."""
        return self._count.open

    @property
    def crowded(self) -> bool:
        """Whether the number of open connections is close to the limit."""
        return self._count.crowded

    @property
    def threads_scarce(self) -> bool:
        """Whether idle connections should release their threads."""
        return self._threads.scarce

    def server_bind(self) -> None:
        """Bind without the host name lookup that HTTPServer does, since there may be no name service."""
        socketserver.TCPServer.server_bind(self)
        host, port = self.server_address[:2]
        self.server_name, self.server_port = str(host), port

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve or park an accepted connection, or close it if there are too many."""
        if not self._count.acquire():
            self.shutdown_request(request)
            return
        connection = Connection(request, client_address)
        if self.threads_scarce:
            self._park(connection)
        else:
            self._submit(connection)

    def _submit(self, connection: Connection) -> None:
        """Pass a connection to the thread pool; close it if the pool refuses it."""
        if not self._threads.submit(connection):
            self._close_connection(connection)

    def _park(self, connection: Connection) -> None:
        """Park a connection without bytes read ahead; close it if it can't be parked."""
        if self._idle is None or not self._idle.park(connection):
            self._close_connection(connection)

    def _close_connection(self, connection: Connection) -> None:
        try:
            self.shutdown_request(connection.stream)
        finally:
            self._count.release()

    def _serve(self, connection: Connection) -> None:
        """Serve a connection in a thread of the pool until it is closed or parked."""
        should_close = True
        try:
            should_close = self._handler(connection.stream, connection.address, self).close_connection
        except Exception:
            self.handle_error(connection.stream, connection.address)
        try:
            if should_close:
                self._close_connection(connection)
            else:
                self._park(connection)
        except Exception:
            log.exception("failed to close or park the connection from %s", connection.address)

    def server_close(self) -> None:
        """Close the listening socket, and the connections that are parked or wait for a thread.

        Requests that are being served are completed.
        """
        super().server_close()
        if self._idle is not None:
            self._idle.close()
        for connection in self._threads.close():
            self._close_connection(connection)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log the failure of a connection at debug level: it isn't an error of this process."""
        log.debug("connection from %s failed", client_address, exc_info=True)
