"""Reading of request bodies, and the replies that several handlers give."""

from __future__ import annotations

import json
import logging
import time
from typing import Any

from tidebend.transport import BadRequestError, Reply

log = logging.getLogger("api")

RETRY_LATER = {"Retry-After": "1"}  # seconds
# the least time in seconds between two log messages about the same cause of a 503
UNAVAILABLE_LOG_INTERVAL_S = 10.0


class RateLimitedLog:
    """Logs each message at most once in an interval; repetitions within it are dropped."""

    def __init__(self, logger: logging.Logger, interval_s: float) -> None:
        """Log by `logger`, each message at most once in `interval_s` seconds."""
        self._logger = logger
        self._interval_s = interval_s
        self._logged_at: dict[str, float] = {}  # message -> steady time

    def info(self, message: str) -> None:
        """Log a message unless it was logged within the interval."""
        now = time.monotonic()
        if now - self._logged_at.get(message, -1e9) > self._interval_s:
            self._logged_at[message] = now
            self._logger.info("%s", message)


_unavailable_log = RateLimitedLog(log, UNAVAILABLE_LOG_INTERVAL_S)


def unavailable_reply(reason: str) -> Reply:
    """Return a 503 that asks the client to retry; the reason is in its body, and in the log at a limited rate."""
    _unavailable_log.info(f"503: {reason}")
    return Reply(503, {"error": reason}, RETRY_LATER)


def parse_body(raw: bytes) -> Any:
    """Return a request's body parsed as JSON; raises `BadRequestError` if it isn't JSON."""
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("not JSON") from error
