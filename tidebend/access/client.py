"""A client that shows a key with each request, inside TLS where there is a context for it."""

from __future__ import annotations

import http.client
import ssl
from collections.abc import Callable

from tidebend.transport import HttpClient

HEADER = "Authorization"
SCHEME = "Bearer "


class KeyedClient(HttpClient):
    """A client that shows a key with each request, and uses TLS if it has a context for it."""

    def __init__(
        self, address: tuple[str, int], shown: Callable[[], str], max_idle: int = 4, tls: ssl.SSLContext | None = None
    ) -> None:
        super().__init__(address, max_idle)
        self._shown = shown
        self._tls = tls

    def _connection(self, timeout: float) -> http.client.HTTPConnection:
        if self._tls is None:
            return super()._connection(timeout)
        return http.client.HTTPSConnection(*self.address, timeout=timeout, context=self._tls)

    def _headers(self, with_body: bool) -> dict[str, str]:
        return {**super()._headers(with_body), HEADER: SCHEME + self._shown()}
