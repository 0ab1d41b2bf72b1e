"""The state service's client, within its budget."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from typing import Any

from tidebend import protocol
from tidebend.kvclient.errors import (
    ConflictError,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    OverBudgetError,
    TransactionTooLargeError,
)
from tidebend.protocol import Write
from tidebend.settings import Limits
from tidebend.transport import Budget, HttpClient, NoAnswer, Unreachable

log = logging.getLogger("storage")

# The share of a second's budget that must be left after a request of each kind. Renewals of our own lease
# aren't held back at all. Submissions are few, and their users wait for them: they find room when claims and ends
# don't, which may be late by a moment; polls come last.
FLOORS = {"lease": -1.0, "submit": 0.0, "claim": 0.2, "poll": 0.35}
# ... but a flood of submissions takes no more than this share of our changes
SUBMIT_SHARE = 0.5
# watches take no more than this share of the service's requests: changes that follow closely are read together
WATCH_SHARE = 0.25
# ... and reads for users' polls alone no more than the first of these, or the second while requests are refused for the
# rate. They keep the cache young besides, so that claims collide less: they are held back only where they must be.
POLL_SHARE = 1.0
POLL_SHARE_BUSY = 0.15
# some are always refused, since our share is more than an equal one: beyond this share of the service's requests the
# polls are held back, for so many of our time-outs
REFUSED_SHARE = 0.05
BUSY_TIMEOUTS = 10.0


class KeyValueClient:
    def __init__(
        self,
        address: tuple[str, int],
        limits: Limits,
        controllers: int,
        timeout: float,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        self._http = connect(address, keep=6)
        # A controller's share is more than an equal one, since the others seldom use theirs in the same second;
        # when they do, the service refuses, which is safe, and the refused back off.
        self._share = min(1.0, 1.8 / controllers)
        self._controllers = controllers
        self._requests = Budget(limits.rps * self._share)
        self._writes = Budget(limits.write_rps * self._share)
        self._submissions = Budget(SUBMIT_SHARE * self.writes_per_s)
        self._pauses(limits)
        self.timeout = timeout
        # Guards our lease, and users who wait for a read, against the others' requests: together they may take more
        # than the service has, and what it refuses for that is tried again for so long.
        self._patience_s = 0.5 * timeout
        self._refusals = Budget(REFUSED_SHARE * limits.rps)
        self._busy_until = -1e9  # steady time

    def _pauses(self, limits: Limits) -> None:
        self.watch_pause_s = self._controllers / (WATCH_SHARE * limits.rps)
        self._poll_pauses_s = [self._controllers / (share * limits.rps) for share in (POLL_SHARE, POLL_SHARE_BUSY)]

    @property
    def poll_pause_s(self) -> float:
        """How far apart reads for polls alone begin."""
        return self._poll_pauses_s[time.monotonic() < self._busy_until]

    @property
    def writes_per_s(self) -> float:
        return self._writes.rate

    def keep_within(self, limits: Limits) -> None:
        self._requests.change(limits.rps * self._share)
        self._writes.change(limits.write_rps * self._share)
        self._submissions.change(SUBMIT_SHARE * self.writes_per_s)
        self._pauses(limits)

    def _call(
        self, method: str, path: str, body: Any, kind: str, writes: int = 0, timeout: float = 0.0, patience: float = 0.0
    ) -> tuple[int, Any]:
        deadline = time.monotonic() + patience
        floor = FLOORS[kind]
        if kind == "submit" and not self._submissions.take(writes):
            raise OverBudgetError
        while True:
            if self._requests.take(1.0, floor):
                if not writes or self._writes.take(writes, floor):
                    try:
                        status, answer = self._http.request(method, path, body, timeout or self.timeout)
                    except Unreachable as error:
                        raise NotExecutedError(str(error)) from error
                    except NoAnswer as error:
                        raise OutcomeUnknownError(str(error)) from error
                    if status != 429:
                        break
                    if not self._refusals.take(1.0):
                        self._busy_until = time.monotonic() + BUSY_TIMEOUTS * self.timeout
                    # not executed; our share is more than an equal one, and the others have used theirs
                else:
                    self._requests.give_back(1.0)
            if time.monotonic() >= deadline:
                raise OverBudgetError
            time.sleep(random.uniform(0.5, 1.5) / self._requests.rate)
        if status == 503:
            raise NotExecutedError("refused")
        return status, answer

    def transact(
        self, conditions: dict[str, int], writes: list[Write], kind: str = "claim", patience: float = 0.5
    ) -> int:
        """Returns the revision; raises Conflict, NoSuchLease, Refused, Unavailable or Unknown."""
        log.debug("%s: %d changes of %s", kind, len(writes), " ".join(key for key, _, _ in writes))
        status, answer = self._call(
            "POST",
            protocol.PATH_TRANSACTION,
            protocol.transaction(conditions, writes),
            kind,
            len(writes),
            patience=patience,
        )
        try:
            if status == 200:
                return protocol.parse_revision(answer)
            if status == 409:
                raise ConflictError([str(key) for key in (answer or {}).get("failed", [])])
        except protocol.Invalid as error:
            raise OutcomeUnknownError(str(error)) from error
        if status == 400 and isinstance(answer, dict) and answer.get("error") == "no such lease":
            raise LeaseNotFoundError
        if status == 400:
            log.error("state service: a transaction of %d changes is refused: %s", len(writes), answer)
            raise TransactionTooLargeError
        log.error("state service: unexpected %s to a transaction: %s", status, answer)
        raise OutcomeUnknownError(f"unexpected status {status}")

    def get(self, key: str, kind: str = "poll", patience: float = 0.0) -> tuple[Any, int]:
        """The value and its version, (None, 0) if there is no such key."""
        status, answer = self._call("GET", protocol.key_path(key), None, kind, patience=patience)
        if status == 404:
            return None, 0
        if status != 200:
            raise OutcomeUnknownError(f"unexpected status {status}")
        try:
            return protocol.parse_item(answer)
        except protocol.Invalid as error:
            raise OutcomeUnknownError(str(error)) from error

    def items(self, prefix: str, after: str | None) -> tuple[list[tuple[str, Any, int]], bool, int]:
        status, answer = self._call(
            "GET", protocol.range_path(prefix, after, 500), None, "claim", timeout=2 * self.timeout, patience=1.0
        )
        if status != 200:
            raise OutcomeUnknownError(f"unexpected status {status}")
        try:
            return protocol.parse_items(answer)
        except protocol.Invalid as error:
            raise OutcomeUnknownError(str(error)) from error

    def changes(
        self, prefix: str, revision: int, wait_s: float, kind: str
    ) -> tuple[list[tuple[str, Any, int]], int] | None:
        """None if the revision is too old."""
        status, answer = self._call(
            "GET",
            protocol.changes_path(prefix, revision, int(wait_s * 1000)),
            None,
            kind,
            timeout=wait_s + self.timeout,
            patience=0.0 if wait_s else self._patience_s,
        )
        if status == 410:
            return None
        if status != 200:
            raise OutcomeUnknownError(f"unexpected status {status}")
        try:
            return protocol.parse_changes(answer)
        except (protocol.Invalid, KeyError, TypeError) as error:
            raise OutcomeUnknownError(str(error)) from error

    def grant_lease(self, seconds: float) -> int:
        status, answer = self._call(
            "POST", protocol.PATH_LEASES, protocol.lease_request(seconds), "lease", patience=self._patience_s
        )
        if status != 200:
            raise OutcomeUnknownError(f"unexpected status {status}")
        try:
            return protocol.parse_lease(answer)
        except protocol.Invalid as error:
            raise OutcomeUnknownError(str(error)) from error

    def extend_lease(self, lease: int) -> bool:
        """False if the lease has ended."""
        status, _ = self._call("POST", protocol.lease_path(lease, "/extend"), None, "lease", patience=self._patience_s)
        if status == 404:
            return False
        if status != 200:
            raise OutcomeUnknownError(f"unexpected status {status}")
        return True
