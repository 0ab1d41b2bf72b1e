"""The HTTP server and its answers."""

from __future__ import annotations

import json
import logging
import socketserver
import ssl
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from tidebend.transport.connection_threads import ConnectionThreads
from tidebend.transport.idle_connections import Connection, IdleConnections

log = logging.getLogger("transport")

MAX_BODY = 64 * 1024


class BadRequest(Exception):
    """The request can't be read; answered with 400."""


class Reply(Exception):
    """Thrown or returned by a handler: a status, a body and headers."""

    def __init__(
        self,
        status: int,
        body: Any = None,
        headers: dict[str, str] | None = None,
        kind: str = "application/json",
        yields: bool = False,
        closes: bool = False,
    ) -> None:
        """`body` is sent as JSON, bytes as they are; `yields`: where connections are short, this one is closed;
        `closes`: it is closed in any case."""
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.kind = kind
        self.yields = yields
        self.closes = closes


Route = Callable[[str, str, Callable[[], bytes]], Reply]


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 0
    server: Server

    def setup(self) -> None:
        self.timeout = self.server.idle_s
        super().setup()

    def handle(self) -> None:
        """Serve requests until the connection is to be closed, or may be parked: `close_connection` tells which."""
        self.close_connection = True
        self.handle_one_request()
        while not self.close_connection and not self._may_be_parked():
            self.handle_one_request()

    def _may_be_parked(self) -> bool:
        """Whether threads are short and nothing of a next request is here, so that nothing is lost with `rfile`."""
        return self.server.threads_short and not self._has_bytes()

    def _has_bytes(self) -> bool:
        """Whether a read would return without waiting.

        Asks through `rfile`, and thus through TLS: bytes that were decrypted or read ahead aren't seen by a selector.
        """
        self.connection.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except ssl.SSLWantReadError:  # at most a part of a record: a selector sees the rest of it come
            return False
        except OSError:  # the next read finds it, too, and ends the connection
            return True
        finally:
            self.connection.settimeout(self.server.idle_s)

    def _body(self) -> bytes:
        if self.headers.get("Transfer-Encoding"):
            self.close_connection = True
            raise BadRequest("a body needs a Content-Length")
        text = self.headers.get("Content-Length")
        if text is None:
            return b""
        if not text.isascii() or not text.isdigit():
            self.close_connection = True
            raise BadRequest("Content-Length is not a number")
        length = int(text)
        if length > MAX_BODY:
            self.close_connection = True
            raise BadRequest("the body is longer than 64 KiB")
        # a sender that is slow with its body doesn't hold the thread for long
        self.connection.settimeout(self.server.body_s)
        data = self.rfile.read(length)
        self.connection.settimeout(self.server.idle_s)
        self._read = True
        if len(data) < length:
            self.close_connection = True
            raise BadRequest("the body is cut short")
        return data

    def _dispatch(self) -> Reply:
        return self.server.route(self.command, self.path, self._body)

    def _answer(self) -> None:
        self._read = False
        try:
            reply = self._dispatch()
        except BadRequest as error:
            reply = Reply(400, {"error": str(error)})
        except Reply as thrown:
            reply = thrown
        except OSError:
            self.close_connection = True
            return
        except Exception:
            log.exception("%s %s failed", self.command, self.path)
            reply = Reply(503, {"error": "internal"}, {"Retry-After": "1"})
        if not self._read and (self.headers.get("Content-Length", "0") != "0" or self.headers.get("Transfer-Encoding")):
            self.close_connection = True  # what follows on the connection is a body nobody read
        if reply.closes or (reply.yields and self.server.short):
            self.close_connection = True
        if isinstance(reply.body, bytes):
            data = reply.body
        else:
            data = b"" if reply.body is None else json.dumps(reply.body, separators=(",", ":")).encode()
        reason = self.responses.get(reply.status, ("",))[0]
        lines = [f"HTTP/1.1 {reply.status} {reason}", f"Content-Type: {reply.kind}", f"Content-Length: {len(data)}"]
        lines += [f"{key}: {value}" for key, value in reply.headers.items()]
        if self.close_connection:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        try:
            self.wfile.write(head if self.command == "HEAD" else head + data)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = _answer

    def log_message(self, format: str, *args: Any) -> None:
        log.debug(format, *args)


# from this share of the most connections on, those that can do without theirs are closed after their answer
SHORT_FROM = 0.9
# From this share of the most threads on, none is kept for a connection that is idle. The rest of them are there for
# requests, whatever the connections that came first do.
THREADS_SHORT_FROM = 0.75


class Server(HTTPServer):
    """Takes up to `most` connections at a time, one thread each while there are threads.

    Connections aren't bounded by threads. Once three quarters of `max_threads` are in use, a connection that is idle,
    new or after its answer, is parked: one thread watches all of these, and each gets a thread again when there is
    something to read. Should there be none, connections wait for one in the order of their requests. A parked
    connection is closed when it was idle for `idle_s`, as others are. Connections with TLS are parked, too, see
    `Handler._has_bytes`; the handshake of one that was parked as it came begins with the client's first bytes.

    Guards against a fleet that outgrows them. Whoever connects first would keep its connection, and the others, refused
    each time, would lose their leases. So before the most is reached, answers that yield end their connections:
    whoever sent the request connects anew for its next one, and all get their turn.
    """

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        idle_s: float,
        body_s: float,
        most: int,
        handler: type[Handler] = Handler,
        backlog: int = 128,
        max_threads: int | None = None,
    ) -> None:
        """`backlog`: connections that may wait to be taken; they have sockets, too. `max_threads`: threads that serve
        connections; where it is None, or not below `most`, nothing is ever parked."""
        self.request_queue_size = backlog
        self.route = route
        self.idle_s = idle_s
        self.body_s = body_s
        self.most = most
        self._open = 0
        self._refused = 0
        self._told = False  # whether the log says that connections are short
        self._lock = threading.Lock()
        bounded = max_threads is not None and max_threads < most
        threads = max(1, max_threads) if bounded else most
        short_from = int(THREADS_SHORT_FROM * threads) if bounded else most + 1
        self._threads = ConnectionThreads(threads, short_from, most, self._serve)
        self._idle: IdleConnections | None = None
        super().__init__(address, handler)
        if bounded:
            self._idle = IdleConnections(idle_s, self._submit, self._end)

    @property
    def short(self) -> bool:
        return self._open >= SHORT_FROM * self.most

    @property
    def threads_short(self) -> bool:
        return self._threads.short

    def server_bind(self) -> None:
        # HTTPServer looks its own name up, and there are no name look-ups on the machines
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self._enter():
            self.shutdown_request(request)
            return
        connection = Connection(request, client_address)
        if self.threads_short:
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
            self._leave()

    def _serve(self, connection: Connection) -> None:
        """Runs in one of the threads until the connection is closed or parked."""
        closes = True
        try:
            closes = self.RequestHandlerClass(*connection, self).close_connection
        except Exception:
            self.handle_error(*connection)
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

    def _enter(self) -> bool:
        with self._lock:
            free = self._open < self.most
            self._open += free
            self._refused += not free
            told, self._told = self._told, self._told or self.short
        if self._told and not told:
            log.warning("%d of %d connections are in use: answers to workers end theirs", self._open, self.most)
        return free

    def _leave(self) -> None:
        with self._lock:
            self._open -= 1
            over = self._told and self._open < 0.5 * self.most
            refused = self._refused
            if over:
                self._told, self._refused = False, 0
        if over:
            log.warning("connections are no longer short; %d were refused meanwhile", refused)

    def handle_error(self, request: Any, client_address: Any) -> None:
        log.debug("connection of %s ended", client_address, exc_info=True)
