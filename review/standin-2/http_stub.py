"""A small HTTP/1.1 server and client for the stand-ins: JSON bodies, persistent connections, loopback only."""

from __future__ import annotations

import contextlib
import http.client
import json
import random
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

LOOPBACK = "127.0.0.1"
# the ports of which a free one is chosen for a controller
SERVER_PORTS = (12_000, 32_000)
_handed_out: set[int] = set()

Answer = tuple[int, Any]
# (method, path with query, decoded body) -> status and body
Route = Callable[[str, str, Any], Answer]


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def server_bind(self) -> None:
        """Bind without a look-up of the host's name."""
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore a connection that broke: its client was ended by the test."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    route: Route

    def _answer(self) -> None:
        raw = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        status, body = type(self).route(self.command, self.path, json.loads(raw) if raw else None)
        data = json.dumps(body, separators=(",", ":")).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        self.wfile.write(head.encode() + data)

    do_GET = do_POST = do_DELETE = _answer  # noqa: N815 (the library calls these names)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing: the stand-ins record what matters themselves."""


def serve(route: Route) -> tuple[_Server, str]:
    """Serve a route on a free loopback port in a thread; return the server and its address."""
    handler = type("Handler", (_Handler,), {"route": staticmethod(route)})
    server = _Server((LOOPBACK, 0), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.2}, daemon=True).start()
    return server, f"{LOOPBACK}:{server.server_port}"


def free_address() -> str:
    """Return a loopback address whose port is free, and below those that outgoing connections usually get."""
    while True:
        address = (LOOPBACK, random.randrange(*SERVER_PORTS))
        if address[1] in _handed_out:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(address)
            _handed_out.add(address[1])
            return f"{address[0]}:{address[1]}"


class Client:
    """A client of one address with one persistent connection; for one thread."""

    def __init__(self, address: str) -> None:
        """Connect at the first request."""
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._connection: http.client.HTTPConnection | None = None

    def request(self, method: str, path: str, body: Any = None, timeout_s: float = 4.0) -> Answer | None:
        """Return status and decoded body of the answer; None without a usable answer in time."""
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(self._host, self._port, timeout=timeout_s)
                self._connection.connect()
                self._connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
            response = self._connection.getresponse()
            raw = response.read()
            if response.will_close:
                self.close()
            return response.status, json.loads(raw) if raw else None
        except (OSError, http.client.HTTPException, ValueError):
            self.close()
            return None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
