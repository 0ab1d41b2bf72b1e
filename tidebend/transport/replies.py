"""What a server's route returns or raises: replies and errors."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

JSON_TYPE = "application/json"


class BadRequestError(Exception):
    """The request can't be read; answered with 400 and the text."""


class Reply(Exception):  # noqa: N818 (most replies are returned; raising one only ends a route early)
    """An answer to a request: a status, a body and headers. A route returns it or raises it."""

    def __init__(
        self,
        status: int,
        body: Any = None,
        headers: dict[str, str] | None = None,
        content_type: str = JSON_TYPE,
        close_if_crowded: bool = False,
        close_connection: bool = False,
    ) -> None:
        """`body` is sent as JSON, bytes as they are, None as an empty body.

        `close_if_crowded`: the connection is closed after the answer if the server is close to the most that it may
        have. `close_connection`: it is closed in any case.
        """
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.content_type = content_type
        self.close_if_crowded = close_if_crowded
        self.close_connection = close_connection


# Called with the method, the path with its query, and what reads the body; returns the reply or raises it, or raises
# BadRequestError. The body is read only if the route asks for it.
Route = Callable[[str, str, Callable[[], bytes]], Reply]
