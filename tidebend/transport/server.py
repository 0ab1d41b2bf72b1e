"""The HTTP server and its answers."""

from __future__ import annotations

import json
import logging
import socketserver
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

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


class Server(socketserver.ThreadingMixIn, HTTPServer):
    """Takes up to `most` connections at a time, one thread each.

    Guards against a fleet that outgrows them. Whoever connects first would keep its connection, and the others, refused
    each time, would lose their leases. So before the most is reached, answers that yield end their connections:
    whoever sent the request connects anew for its next one, and all get their turn.
    """

    daemon_threads = True
    block_on_close = False

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        idle_s: float,
        body_s: float,
        most: int,
        handler: type[Handler] = Handler,
        backlog: int = 128,
    ) -> None:
        """`backlog`: connections that may wait to be taken; they have sockets, too."""
        self.request_queue_size = backlog
        self.route = route
        self.idle_s = idle_s
        self.body_s = body_s
        self.most = most
        self._open = 0
        self._refused = 0
        self._told = False  # whether the log says that connections are short
        self._lock = threading.Lock()
        super().__init__(address, handler)

    @property
    def short(self) -> bool:
        return self._open >= SHORT_FROM * self.most

    def server_bind(self) -> None:
        # HTTPServer looks its own name up, and there are no name look-ups on the machines
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self._enter():
            self.shutdown_request(request)
            return
        try:
            super().process_request(request, client_address)
        except RuntimeError:  # no thread can be had
            self._leave()
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._leave()

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
