"""Replies and errors that a server's route returns or raises."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

JSON_TYPE = "application/json"


class BadRequestError(Exception):
    """The request is malformed; answered with status 400 and the error's message."""


class Reply(Exception):  # noqa: N818 (most replies are returned; raising one only ends a route early)
    """A reply to a request: status, body and headers. A route returns or raises it."""

    def __init__(
        self,
        status: int,
        body: Any = None,
        headers: dict[str, str] | None = None,
        content_type: str = JSON_TYPE,
        close_if_crowded: bool = False,
        close_connection: bool = False,
    ) -> None:
        """`body` is sent as JSON, except that bytes are sent unchanged and None as an empty body.

        `close_if_crowded`: close the connection after the reply if the server is close to its limit of connections.
        `close_connection`: always close it.
        """
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.content_type = content_type
        self.close_if_crowded = close_if_crowded
        self.close_connection = close_connection


# Called with the method, the path with its query, and a function that reads the body; returns or raises a Reply, or
# raises BadRequestError. The body is read only if the route calls the function.
Route = Callable[[str, str, Callable[[], bytes]], Reply]
