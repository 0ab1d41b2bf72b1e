"""The key-value store's client, within its budget of requests."""

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
# a page of items may take so many times as long as another request
PAGE_TIMEOUTS = 2.0
# Requests for which a lease or a user waits are tried again for this share of a time-out if they are over budget or
# refused for their rate. Guards them against the other controllers' requests: together they may take more than the
# store has.
RETRY_SHARE = 0.5
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
    writes: int = 0  # how many changes it makes
    timeout_s: float | None = None  # None: that of the client
    retry_for_s: float = 0.0  # for so long it is tried again if it is over budget or refused for its rate


class KeyValueClient:
    """Requests to the store; any thread may make them.

    Unless a method says otherwise it raises NotExecutedError (also OverBudgetError) or OutcomeUnknownError.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limits: StoreLimits,
        controllers: int,
        timeout: float,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        """`controllers`: how many share the store's limits; `timeout`: of a request, in seconds."""
        self._http = connect(address, max_idle=MAX_CONNECTIONS)
        self._budget = RequestBudget(limits, controllers, timeout)
        self.timeout = timeout
        self._retry_s = RETRY_SHARE * timeout

    @property
    def watch_pause_s(self) -> float:
        """How long to wait between two watches."""
        return self._budget.watch_pause_s

    @property
    def poll_read_interval_s(self) -> float:
        """How far apart reads for polls alone begin."""
        return self._budget.poll_read_interval_s

    @property
    def writes_per_s(self) -> float:
        """How many changes we may make in a second."""
        return self._budget.writes_per_s

    def set_limits(self, limits: StoreLimits) -> None:
        """Take over other limits of the store."""
        self._budget.set_limits(limits)

    def transact(
        self,
        conditions: dict[str, int],
        writes: list[Write],
        kind: str = RequestKind.CLAIM,
        retry_for_s: float = DEFAULT_WRITE_RETRY_S,
    ) -> int:
        """Make the changes, all or none, if each key of `conditions` has that version; returns the revision.

        For `retry_for_s` seconds it is tried again if it is over budget or refused for its rate.
        Raises ConflictError, LeaseNotFoundError, TransactionTooLargeError, NotExecutedError or OutcomeUnknownError.
        """
        log.debug("%s: %d changes of %s", kind, len(writes), " ".join(key for key, _, _ in writes))
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
        """The value and its version, ABSENT if there is no such key."""
        status, answer = self._call(_Request("GET", protocol.key_path(key), RequestKind(kind), retry_for_s=retry_for_s))
        if status == NOT_FOUND:
            return ABSENT
        _expect_ok(status)
        return VersionedValue(*_parse(protocol.parse_item, answer))

    def items(self, prefix: str, after: str | None) -> Page:
        """A page of the keys under a prefix, from the first one after `after` on."""
        request = _Request(
            "GET",
            protocol.range_path(prefix, after, ITEMS_PER_PAGE),
            RequestKind.CLAIM,
            timeout_s=PAGE_TIMEOUTS * self.timeout,
            retry_for_s=PAGE_RETRY_S,
        )
        status, answer = self._call(request)
        _expect_ok(status)
        return Page(*_parse(protocol.parse_items, answer))

    def changes(self, prefix: str, revision: int, wait_s: float, kind: str) -> Changes | None:
        """What has changed under a prefix since a revision.

        Waits for up to `wait_s` until there is something. None if the store doesn't know that revision any more.
        """
        request = _Request(
            "GET",
            protocol.changes_path(prefix, revision, int(wait_s * 1000)),
            RequestKind(kind),
            timeout_s=wait_s + self.timeout,
            retry_for_s=0.0 if wait_s else self._retry_s,
        )
        status, answer = self._call(request)
        if status == GONE:
            return None
        _expect_ok(status)
        return Changes(*_parse(protocol.parse_changes, answer, (protocol.InvalidMessageError, KeyError, TypeError)))

    def grant_lease(self, seconds: float) -> int:
        """A new lease of that length; returns its number."""
        status, answer = self._lease_call(protocol.PATH_LEASES, protocol.lease_request(seconds))
        _expect_ok(status)
        return _parse(protocol.parse_lease, answer)

    def extend_lease(self, lease: int) -> bool:
        """Have a lease begin anew; False if it has ended."""
        status, _ = self._lease_call(protocol.lease_path(lease, "/extend"), None)
        if status == NOT_FOUND:
            return False
        _expect_ok(status)
        return True

    def _lease_call(self, path: str, body: Any) -> tuple[int, Any]:
        return self._call(_Request("POST", path, RequestKind.LEASE, body, retry_for_s=self._retry_s))

    def _call(self, request: _Request) -> tuple[int, Any]:
        """The status and the answer; for `retry_for_s` a request that was not sent or refused is tried again."""
        deadline = time.monotonic() + request.retry_for_s
        if request.kind == RequestKind.SUBMIT and not self._budget.take_submissions(request.writes):
            raise OverBudgetError
        while True:
            if self._budget.take(request.kind, request.writes):
                status, answer = self._send(request)
                if status != TOO_MANY_REQUESTS:
                    break
                self._budget.record_rate_refusal()
            if time.monotonic() >= deadline:
                raise OverBudgetError
            time.sleep(self._budget.retry_pause_s())
        if status == UNAVAILABLE:
            raise NotExecutedError("refused")
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
    """Read an answer; one that can't be read leaves the outcome unknown."""
    try:
        return parse(answer)
    except malformed as error:
        raise OutcomeUnknownError(str(error)) from error


def _transaction_error(status: int, answer: Any, writes: int) -> Exception:
    """What a transaction's status means."""
    if status == CONFLICT:
        return ConflictError([str(key) for key in (answer or {}).get("failed", [])])
    if status == BAD_REQUEST and isinstance(answer, dict) and answer.get("error") == "no such lease":
        return LeaseNotFoundError()
    if status == BAD_REQUEST:
        log.error("key-value store: a transaction of %d changes is refused: %s", writes, answer)
        return TransactionTooLargeError()
    log.error("key-value store: unexpected %s to a transaction: %s", status, answer)
    return OutcomeUnknownError(f"unexpected status {status}")
