"""A small HTTP/1.1 server and client with JSON bodies."""

from __future__ import annotations

import http.client
import json
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


def serve(route: Route, port: int = 0) -> _Server:
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

    server = _Server(("127.0.0.1", port), Handler)
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
