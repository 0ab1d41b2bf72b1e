"""An HTTP client with keep-alive connections."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from typing import Any


class UnreachableError(Exception):
    """No connection could be established; the request was certainly not executed."""


class NoAnswerError(Exception):
    """There was no valid answer: the request may have been executed, or may be executed later."""


class HttpClient:
    """Keep-alive connections to one address. Safe for use by several threads.

    Each request is sent once and never retried: only the caller knows whether a retry is safe. Subclasses may override
    `_connection` and `_headers`.
    """

    def __init__(self, address: tuple[str, int], max_idle: int = 4) -> None:
        """`max_idle`: maximum number of idle connections that are kept for later requests."""
        self.address = address
        self._max_idle = max_idle
        self._idle: list[http.client.HTTPConnection] = []
        self._lock = threading.Lock()

    def _connection(self, timeout: float) -> http.client.HTTPConnection:
        """Return a connection that isn't open yet."""
        return http.client.HTTPConnection(*self.address, timeout=timeout)

    def _headers(self, with_body: bool) -> dict[str, str]:
        """Return the headers of a request."""
        return {"Content-Type": "application/json"} if with_body else {}

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        """Send a request; return the status and the decoded JSON body of the answer.

        `body` is sent as JSON unless it is None. `timeout`, in seconds, applies separately to connecting, sending and
        each read. Raises UnreachableError or NoAnswerError.
        """
        connection = self._take_connection(timeout)
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        try:
            connection.request(method, path, data, self._headers(data is not None))
            response = connection.getresponse()
            raw = response.read()
            status = response.status
            answer = json.loads(raw) if raw else None
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise NoAnswerError(str(error)) from error
        if response.will_close or connection.sock is None:
            connection.close()
        else:
            self._keep_connection(connection)
        return status, answer

    def _take_connection(self, timeout: float) -> http.client.HTTPConnection:
        """Return an idle connection or a new one. Raises UnreachableError."""
        with self._lock:
            idle = self._idle.pop() if self._idle else None
        if idle is not None:
            idle.sock.settimeout(timeout)
            return idle
        connection = self._connection(timeout)
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            connection.close()
            raise UnreachableError(str(error)) from error
        return connection

    def _keep_connection(self, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            if len(self._idle) < self._max_idle:
                self._idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
