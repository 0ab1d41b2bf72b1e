"""Calls to the cloud's API within the controller's call budget."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from tidebend.settings import Settings
from tidebend.transport import HttpClient, NoAnswerError, TokenBucket, UnreachableError

log = logging.getLogger("autoscaling")

# the cloud takes bursts of so many seconds' worth of calls
CALLS_BURST_S = 2.0
KEPT_CONNECTIONS = 2


class CloudResponse(NamedTuple):
    """A response of the cloud: its HTTP status and its decoded body."""

    status: int
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the call was executed in full."""
        return self.status == HTTPStatus.OK


class CloudClient:
    """The cloud's API, called no more often than the settings' `cloud_rps` allows; safe for use by several threads."""

    def __init__(self, settings: Settings, connect: Callable[..., HttpClient] = HttpClient) -> None:
        """`connect` makes the HTTP client of the cloud's address."""
        self.timeout_s = max(2.0, settings.lease_s / 3.0)
        self._http = connect(settings.cloud, max_idle=KEPT_CONNECTIONS)
        self._budget = TokenBucket(settings.cloud_rps, CALLS_BURST_S)

    def call(self, method: str, path: str, body: Any = None, reserve: float = 0.0) -> CloudResponse | None:
        """One call; None if the budget doesn't allow it, or if there is no usable response.

        After None the call may have been executed all the same. `reserve` is the share of a second's calls that must
        be left over for others.
        """
        if not self._budget.take(1.0, reserve):
            return None
        try:
            return CloudResponse(*self._http.request(method, path, body, self.timeout_s))
        except (UnreachableError, NoAnswerError) as error:
            log.info("cloud: %s %s: %s", method, path, error)
            return None
