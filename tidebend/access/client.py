"""HTTP client that authenticates each request with a key."""

from __future__ import annotations

import http.client
import ssl
from collections.abc import Callable

from tidebend.transport import HttpClient

HEADER = "Authorization"
SCHEME = "Bearer "


class KeyedClient(HttpClient):
    """HTTP client that sends a key with each request, and uses TLS if it is given a context."""

    def __init__(
        self,
        address: tuple[str, int],
        bearer_token: Callable[[], str],
        max_idle: int = 4,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(address, max_idle)
        self._bearer_token = bearer_token
        self._tls = tls

    def _connection(self, timeout: float) -> http.client.HTTPConnection:
        if self._tls is None:
            return super()._connection(timeout)
        return http.client.HTTPSConnection(*self.address, timeout=timeout, context=self._tls)

    def _headers(self, with_body: bool) -> dict[str, str]:
        return {**super()._headers(with_body), HEADER: SCHEME + self._bearer_token()}
