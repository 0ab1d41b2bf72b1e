"""Parsing of request bodies, and replies shared by the handlers."""

from __future__ import annotations

import json
import logging
import time
from typing import Any

from tidebend.transport import BadRequestError, Reply

log = logging.getLogger("api")

RETRY_LATER = {"Retry-After": "1"}  # seconds
# minimum interval between two log messages about the same reason for a 503
UNAVAILABLE_LOG_INTERVAL_S = 10.0


class RateLimitedLog:
    """Logs each message at most once per interval and drops repetitions."""

    def __init__(self, logger: logging.Logger, interval_s: float) -> None:
        """Log to `logger`, each message at most once in `interval_s` seconds."""
        self._logger = logger
        self._interval_s = interval_s
        self._logged_at: dict[str, float] = {}  # message -> monotonic time

    def info(self, message: str) -> None:
        """Log a message unless it was logged within the interval."""
        now = time.monotonic()
        if now - self._logged_at.get(message, -1e9) > self._interval_s:
            self._logged_at[message] = now
            self._logger.info("%s", message)


_unavailable_log = RateLimitedLog(log, UNAVAILABLE_LOG_INTERVAL_S)


def unavailable_reply(reason: str) -> Reply:
    """Return a 503 that asks the client to retry, with the reason in its body; log the reason at a limited rate."""
    _unavailable_log.info(f"answering 503: {reason}")
    return Reply(503, {"error": reason}, RETRY_LATER)


def parse_body(raw: bytes) -> Any:
    """Return a request's body parsed as JSON. Raises `BadRequestError` if it isn't JSON."""
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("the body must be JSON") from error
