"""Calls to the cloud's API within the controller's call budget."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from tidebend.settings import Settings
from tidebend.transport import HttpClient, NoAnswerError, TokenBucket, UnreachableError

log = logging.getLogger("autoscaling")

# size of the bursts of calls that the cloud accepts, in seconds of the call rate
CALLS_BURST_S = 2.0
MAX_IDLE_CONNECTIONS = 2


class CloudResponse(NamedTuple):
    """HTTP status and decoded body of a response of the cloud."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the call was executed in full."""
        return self.status == HTTPStatus.OK


class CloudClient:
    """Thread-safe client of the cloud's API that calls it no more often than the settings' `cloud_rps` allows."""

    def __init__(self, settings: Settings, connect: Callable[..., HttpClient] = HttpClient) -> None:
        """`connect` creates the HTTP client for the cloud's address."""
        self.timeout_s = max(2.0, settings.lease_s / 3.0)
        self._http = connect(settings.cloud, max_idle=MAX_IDLE_CONNECTIONS)
        self._budget = TokenBucket(settings.cloud_rps, CALLS_BURST_S)

    def call(self, method: str, path: str, body: Any = None, reserve: float = 0.0) -> CloudResponse | None:
        """Make a call; return None if the budget doesn't allow it or if there is no usable response.

        If it returns None, the call may have been executed all the same. `reserve` is the fraction of one second's
        calls that must remain in the budget for other callers.
        """
        if not self._budget.take(1.0, reserve):
            return None
        try:
            return CloudResponse(*self._http.request(method, path, body, self.timeout_s))
        except (UnreachableError, NoAnswerError) as error:
            log.info("cloud: %s %s failed: %s", method, path, error)
            return None
