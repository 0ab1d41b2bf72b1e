"""HTTP and framed CBOR over blocking sockets: servers, clients, time-outs and request budgets."""

from __future__ import annotations

import http.client
import json
import logging
import socket
import socketserver
import struct
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

import cbor2

log = logging.getLogger("transport")

MAX_BODY = 64 * 1024
MAX_FRAME = 1024 * 1024


class Unreachable(Exception):
    """The request was certainly not executed: no connection came about."""


class NoAnswer(Exception):
    """There was no usable answer: the request may have been executed, or may be later."""


class HttpClient:
    """Persistent connections to one address; safe for use by several threads."""

    def __init__(self, address: tuple[str, int], keep: int = 4) -> None:
        self.address = address
        self._keep = keep
        self._idle: list[http.client.HTTPConnection] = []
        self._lock = threading.Lock()

    def _connection(self, timeout: float) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(*self.address, timeout=timeout)

    def _headers(self, with_body: bool) -> dict[str, str]:
        return {"Content-Type": "application/json"} if with_body else {}

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        with self._lock:
            connection = self._idle.pop() if self._idle else None
        if connection is None:
            connection = self._connection(timeout)
            try:
                connection.connect()
                connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                connection.close()
                raise Unreachable(str(error)) from error
        else:
            connection.sock.settimeout(timeout)
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        try:
            connection.request(method, path, data, self._headers(data is not None))
            response = connection.getresponse()
            raw = response.read()
            status = response.status
            answer = json.loads(raw) if raw else None
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise NoAnswer(str(error)) from error
        if response.will_close or connection.sock is None:
            connection.close()
        else:
            with self._lock:
                if len(self._idle) < self._keep:
                    self._idle.append(connection)
                    return status, answer
            connection.close()
        return status, answer


class Budget:
    """A token bucket of a rate and one second's worth of burst, with a floor that lesser uses may not touch."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._level = rate
        self._at = time.monotonic()
        self._lock = threading.Lock()

    def take(self, amount: float, floor: float = 0.0) -> bool:
        """`floor` is the share of the burst that must be left over."""
        with self._lock:
            now = time.monotonic()
            self._level = min(self.rate, self._level + (now - self._at) * self.rate)
            self._at = now
            if self._level - amount < floor * self.rate:
                return False
            self._level -= amount
            return True

    def give_back(self, amount: float) -> None:
        with self._lock:
            self._level = min(self.rate, self._level + amount)

    def change(self, rate: float) -> None:
        with self._lock:
            self.rate = rate
            self._level = min(rate, self._level)


class BadRequest(Exception):
    """The request can't be read; answered with 400."""


class Reply(Exception):
    """Thrown or returned by a handler: a status, a body and headers."""

    def __init__(self, status: int, body: Any = None, headers: dict[str, str] | None = None,
                 kind: str = "application/json") -> None:
        """`body` is sent as JSON, bytes as they are."""
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.kind = kind


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
        if not self._read and (self.headers.get("Content-Length", "0") != "0"
                               or self.headers.get("Transfer-Encoding")):
            self.close_connection = True  # what follows on the connection is a body nobody read
        if isinstance(reply.body, bytes):
            data = reply.body
        else:
            data = b"" if reply.body is None else json.dumps(reply.body, separators=(",", ":")).encode()
        reason = self.responses.get(reply.status, ("",))[0]
        lines = [f"HTTP/1.1 {reply.status} {reason}", f"Content-Type: {reply.kind}",
                 f"Content-Length: {len(data)}"]
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


class Server(socketserver.ThreadingMixIn, HTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], route: Route, idle_s: float, body_s: float, most: int,
                 handler: type[Handler] = Handler) -> None:
        self.route = route
        self.idle_s = idle_s
        self.body_s = body_s
        self._free = threading.BoundedSemaphore(most)
        super().__init__(address, handler)

    def server_bind(self) -> None:
        # HTTPServer looks its own name up, and there are no name look-ups on the machines
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self._free.acquire(blocking=False):
            self.shutdown_request(request)
            return
        try:
            super().process_request(request, client_address)
        except RuntimeError:  # no thread can be had
            self._free.release()
            self.shutdown_request(request)

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        try:
            super().process_request_thread(request, client_address)
        finally:
            self._free.release()

    def handle_error(self, request: Any, client_address: Any) -> None:
        log.debug("connection of %s ended", client_address, exc_info=True)


def _receive(stream: socket.socket, length: int) -> bytes:
    parts = bytearray()
    while len(parts) < length:
        part = stream.recv(min(65536, length - len(parts)))
        if not part:
            raise OSError("closed")
        parts += part
    return bytes(parts)


def receive_frame(stream: socket.socket) -> Any:
    (length,) = struct.unpack("!I", _receive(stream, 4))
    if length > MAX_FRAME:
        raise OSError("frame too long")
    try:
        return cbor2.loads(_receive(stream, length))
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise OSError("not CBOR") from error


def send_frame(stream: socket.socket, value: Any) -> None:
    data = cbor2.dumps(value)
    stream.sendall(struct.pack("!I", len(data)) + data)


class FrameServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """The peers' link: frames come in, and each is acknowledged.

    The acknowledgement guards against a connection that died in a cut: without it a sender would go on filling
    its buffer for minutes, believing that it is heard.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], receive: Callable[[Any], None], idle_s: float) -> None:
        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                self.request.settimeout(idle_s)
                try:
                    while True:
                        receive(receive_frame(self.request))
                        send_frame(self.request, True)
                except OSError:
                    return

        super().__init__(address, Handler)

    def handle_error(self, request: Any, client_address: Any) -> None:
        log.debug("peer connection of %s ended", client_address, exc_info=True)
