"""The client of the key-value store. It keeps within this controller's request budget."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from tidebend import protocol
from tidebend.kvclient.errors import (
    ConflictError,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    OverBudgetError,
    TransactionTooLargeError,
)
from tidebend.kvclient.request_budget import RequestBudget
from tidebend.kvclient.request_kinds import RequestKind
from tidebend.kvclient.results import ABSENT, Changes, Page, VersionedValue
from tidebend.protocol import Write
from tidebend.settings import StoreLimits
from tidebend.transport import HttpClient, NoAnswerError, UnreachableError

log = logging.getLogger("kvclient")

MAX_CONNECTIONS = 6
ITEMS_PER_PAGE = 500
# Timeout of a page of items, as a multiple of the timeout of other requests.
PAGE_TIMEOUT_FACTOR = 2.0
# Time for which lease requests and reads on demand are retried if they are over budget or rate-limited, as a fraction
# of the timeout: the budgets of all controllers together may exceed the store's limits.
RETRY_TIMEOUT_FRACTION = 0.5
DEFAULT_WRITE_RETRY_S = 0.5
PAGE_RETRY_S = 1.0

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503

Parsed = TypeVar("Parsed")


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    kind: RequestKind
    body: Any = None
    writes: int = 0  # number of writes in the request
    timeout_s: float | None = None  # None: the client's timeout
    retry_for_s: float = 0.0  # how long it is retried while it is over budget or rate-limited


class KeyValueClient:
    """Sends requests to the store. Safe for use by several threads.

    Methods raise NotExecutedError (including OverBudgetError) or OutcomeUnknownError unless stated otherwise.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: StoreLimits,
        controllers: int,
        timeout: float,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        """`controllers`: number of controllers that share `limits`; `timeout`: of a request, in seconds."""
        self._http = connect(address, max_idle=MAX_CONNECTIONS)
        self._budget = RequestBudget(limits, controllers, timeout)
        self.timeout = timeout
        self._retry_for_s = RETRY_TIMEOUT_FRACTION * timeout

    @property
    def watch_pause_s(self) -> float:
        """Pause between two watch requests, in seconds."""
        return self._budget.watch_pause_s

    @property
    def poll_read_interval_s(self) -> float:
        """Interval between reads that serve only polls, in seconds."""
        return self._budget.poll_read_interval_s

    @property
    def writes_per_s(self) -> float:
        """Number of writes per second that this controller may make."""
        return self._budget.writes_per_s

    def set_limits(self, limits: StoreLimits) -> None:
        """Change the limits of the store."""
        self._budget.set_limits(limits)

    def transact(
        self,
        conditions: dict[str, int],
        writes: list[Write],
        kind: str = RequestKind.CLAIM,
        retry_for_s: float = DEFAULT_WRITE_RETRY_S,
    ) -> int:
        """Execute all writes atomically if each key in `conditions` has the given version; return the revision.

        The request is retried for `retry_for_s` seconds while it is over budget or rate-limited. Raises ConflictError,
        LeaseNotFoundError, TransactionTooLargeError, NotExecutedError or OutcomeUnknownError.
        """
        log.debug("transaction of kind %s with %d writes: %s", kind, len(writes), " ".join(key for key, _, _ in writes))
        request = _Request(
            "POST",
            protocol.PATH_TRANSACTION,
            RequestKind(kind),
            protocol.transaction_request(conditions, writes),
            writes=len(writes),
            retry_for_s=retry_for_s,
        )
        status, answer = self._call(request)
        if status == OK:
            return _parse(protocol.parse_revision, answer)
        raise _transaction_error(status, answer, len(writes))

    def get(self, key: str, kind: str = RequestKind.POLL, retry_for_s: float = 0.0) -> VersionedValue:
        """Return the value and its version; ABSENT if the key doesn't exist."""
        status, answer = self._call(_Request("GET", protocol.key_path(key), RequestKind(kind), retry_for_s=retry_for_s))
        if status == NOT_FOUND:
            return ABSENT
        _expect_ok(status)
        return VersionedValue(*_parse(protocol.parse_item, answer))

    def items(self, prefix: str, after: str | None) -> Page:
        """Return a page of the keys with a prefix, starting with the first key after `after`."""
        request = _Request(
            "GET",
            protocol.range_path(prefix, after, ITEMS_PER_PAGE),
            RequestKind.CLAIM,
            timeout_s=PAGE_TIMEOUT_FACTOR * self.timeout,
            retry_for_s=PAGE_RETRY_S,
        )
        status, answer = self._call(request)
        _expect_ok(status)
        return Page(*_parse(protocol.parse_items, answer))

    def changes(self, prefix: str, revision: int, wait_s: float, kind: str) -> Changes | None:
        """Return the changes to keys with a prefix since a revision; None if the store no longer keeps that revision.

        Waits up to `wait_s` seconds for a change.
        """
        request = _Request(
            "GET",
            protocol.changes_path(prefix, revision, int(wait_s * 1000)),
            RequestKind(kind),
            timeout_s=wait_s + self.timeout,
            retry_for_s=0.0 if wait_s else self._retry_for_s,
        )
        status, answer = self._call(request)
        if status == GONE:
            return None
        _expect_ok(status)
        return Changes(*_parse(protocol.parse_changes, answer, (protocol.InvalidMessageError, KeyError, TypeError)))

    def grant_lease(self, seconds: float) -> int:
        """Have a new lease of that length granted; return its number."""
        status, answer = self._call_lease(protocol.PATH_LEASES, protocol.lease_request(seconds))
        _expect_ok(status)
        return _parse(protocol.parse_lease, answer)

    def extend_lease(self, lease: int) -> bool:
        """Renew a lease for its full length; return False if it has ended."""
        status, _ = self._call_lease(protocol.lease_path(lease, "/extend"), None)
        if status == NOT_FOUND:
            return False
        _expect_ok(status)
        return True

    def _call_lease(self, path: str, body: Any) -> tuple[int, Any]:
        return self._call(_Request("POST", path, RequestKind.LEASE, body, retry_for_s=self._retry_for_s))

    def _call(self, request: _Request) -> tuple[int, Any]:
        """Return the status and the answer; retry for `request.retry_for_s` while over budget or rate-limited."""
        deadline = time.monotonic() + request.retry_for_s
        if request.kind == RequestKind.SUBMIT and not self._budget.take_submissions(request.writes):
            raise OverBudgetError
        while True:
            if self._budget.take(request.kind, request.writes):
                status, answer = self._send(request)
                if status != TOO_MANY_REQUESTS:
                    break
                self._budget.record_rate_limited()
            if time.monotonic() >= deadline:
                raise OverBudgetError
            time.sleep(self._budget.retry_pause_s())
        if status == UNAVAILABLE:
            raise NotExecutedError("the key-value store answered 503")
        return status, answer

    def _send(self, request: _Request) -> tuple[int, Any]:
        try:
            return self._http.request(request.method, request.path, request.body, request.timeout_s or self.timeout)
        except UnreachableError as error:
            raise NotExecutedError(str(error)) from error
        except NoAnswerError as error:
            raise OutcomeUnknownError(str(error)) from error


def _expect_ok(status: int) -> None:
    if status != OK:
        raise OutcomeUnknownError(f"unexpected status {status}")


def _parse(
    parse: Callable[[Any], Parsed],
    answer: Any,
    malformed: tuple[type[Exception], ...] = (protocol.InvalidMessageError,),
) -> Parsed:
    """Parse an answer. Raises OutcomeUnknownError if it is malformed."""
    try:
        return parse(answer)
    except malformed as error:
        raise OutcomeUnknownError(str(error)) from error


def _transaction_error(status: int, answer: Any, writes: int) -> Exception:
    """Return the exception for the status of a failed transaction."""
    if status == CONFLICT:
        return ConflictError([str(key) for key in (answer or {}).get("failed", [])])
    if status == BAD_REQUEST and isinstance(answer, dict) and answer.get("error") == "no such lease":
        return LeaseNotFoundError()
    if status == BAD_REQUEST:
        log.error("key-value store rejected a transaction of %d writes: %s", writes, answer)
        return TransactionTooLargeError()
    log.error("key-value store answered a transaction with unexpected status %s: %s", status, answer)
    return OutcomeUnknownError(f"unexpected status {status}")
