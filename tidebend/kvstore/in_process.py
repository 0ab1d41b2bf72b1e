"""A client of the key-value store for a controller in the same process, without a socket."""

from __future__ import annotations

from typing import Any

from tidebend.kvstore.http_api import StoreService
from tidebend.transport import NoAnswerError


class InProcessClient:
    """A drop-in replacement for `transport.HttpClient`, with the same answers and errors."""

    def __init__(self, service: StoreService) -> None:
        """Serve requests by this service, in the caller's thread."""
        self._service = service

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        """Return the status and body of the answer. Raises NoAnswerError if the outcome is unknown after `timeout`."""
        try:
            return self._service.handle(method, path, body, timeout)
        except TimeoutError as error:
            raise NoAnswerError("outcome unknown: the store didn't answer in time") from error
