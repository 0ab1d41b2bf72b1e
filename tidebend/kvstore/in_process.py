"""The state service without a socket between: what a controller in the same process has for a client."""

from __future__ import annotations

from typing import Any

from tidebend.kvstore.http_api import StateService
from tidebend.transport import NoAnswer


class Direct:
    """Takes the place of `transport.HttpClient`."""

    def __init__(self, service: StateService) -> None:
        self._service = service

    def request(self, method: str, path: str, body: Any = None, timeout: float = 2.0) -> tuple[int, Any]:
        try:
            return self._service.handle(method, path, body, timeout)
        except TimeoutError as error:
            raise NoAnswer("the outcome isn't known yet") from error
