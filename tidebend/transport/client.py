"""HTTP requests over persistent connections."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from typing import Any


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

    def close(self) -> None:
        """Close the connections that are idle."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
