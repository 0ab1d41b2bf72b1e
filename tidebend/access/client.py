"""A client that shows a key with each request."""

from __future__ import annotations

from collections.abc import Callable

from tidebend.transport import HttpClient

HEADER = "Authorization"
SCHEME = "Bearer "


class KeyedClient(HttpClient):
    def __init__(self, address: tuple[str, int], shown: Callable[[], str], keep: int = 4) -> None:
        super().__init__(address, keep)
        self._shown = shown

    def _headers(self, with_body: bool) -> dict[str, str]:
        return {**super()._headers(with_body), HEADER: SCHEME + self._shown()}
