"""A small HTTP/1.1 server and client with JSON bodies."""

from __future__ import annotations

import http.client
import json
import select
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Answer = tuple[int, Any]
# method, path with query, decoded body -> answer; None closes the connection without one
Route = Callable[[str, str, Any], Answer | None]


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore broken connections: clients are killed by the tests."""


class CuttableServer(_Server):
    """A server to which connections hang without an error while it is cut off; open ones stay as they are.

    The queue of connections that wait to be accepted is kept full meanwhile, so that the kernel answers no further one.
    """

    request_queue_size = 1
    max_fillers = 8

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._is_open = threading.Event()
        self._is_open.set()
        self._fillers: list[socket.socket] = []
        self._ended = False

    def serve_forever(self, poll_interval: float = 0.05) -> None:
        """Accept connections while not cut off."""
        while not self._ended:
            if not self._is_open.wait(poll_interval):
                continue
            if select.select([self.socket], [], [], poll_interval)[0] and self._is_open.is_set() and not self._ended:
                self._handle_request_noblock()

    def shutdown(self) -> None:
        """Accept no more connections."""
        self._ended = True

    def cut(self) -> None:
        """Let new connections hang from now on."""
        self._is_open.clear()
        for _ in range(self.max_fillers):
            filler = socket.socket()
            filler.settimeout(0.05)
            self._fillers.append(filler)
            try:
                filler.connect(self.server_address)
            except OSError:
                return

    def mend(self) -> None:
        """Accept connections again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._is_open.set()


def serve(route: Route, port: int = 0, kind: type[_Server] = _Server) -> Any:
    """Serve on a loopback port in threads of its own, and return the server."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        timeout = 120

        def _answer(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            answer = route(self.command, self.path, json.loads(raw) if raw else None)
            if answer is None:
                self.close_connection = True
                return
            data = json.dumps(answer[1]).encode()
            self.send_response_only(answer[0])
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = _answer  # noqa: N815 (the library calls these names)

        def log_message(self, format: str, *args: Any) -> None:
            """Log nothing."""

    server = kind(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.2,), daemon=True).start()
    return server


def request(port: int, method: str, path: str, body: Any = None, timeout: float = 5.0) -> Answer | None:
    """Send a request over a connection of its own; None if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
        response = connection.getresponse()
        raw = response.read()
        return response.status, json.loads(raw) if raw else None
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()
