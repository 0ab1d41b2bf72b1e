"""The state service without a socket between: what a controller in the same process has for a client."""

from __future__ import annotations

from typing import Any

from tidebend.kvstore.http_api import StoreService
from tidebend.transport import NoAnswerError


class InProcessClient:
    """Takes the place of `transport.HttpClient`, with the same answers and errors."""

    def __init__(self, service: StoreService) -> None:
        """Requests go to this service, in the caller's thread."""
        self._service = service

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        """The status and the body of the answer. Raises NoAnswerError if the outcome isn't known in time."""
        try:
            return self._service.handle(method, path, body, timeout)
        except TimeoutError as error:
            raise NoAnswerError("the outcome isn't known yet") from error
