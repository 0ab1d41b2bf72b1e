"""The commit queue: one thread writes, and the operations that wait share one commit and one sync of the disk.

An operation is answered only once it is on the disk. When the disk refuses (full, say), what was asked for in that
commit is refused as a whole, nothing that was answered is lost, and the next commit tries anew.
"""

from __future__ import annotations

import contextlib
import logging
import queue
import sqlite3
import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass, field

from tidebend.faults import fault_point
from tidebend.kvstore.errors import ConditionFailedError, LeaseEndedError, StoreUnavailableError
from tidebend.kvstore.leases import LeaseClock
from tidebend.kvstore.operations import Commit, EndExpiredLeases, Operation
from tidebend.kvstore.watch_feed import WatchFeed

log = logging.getLogger("kvstore")

MAX_OPERATIONS_PER_COMMIT = 256
MOST_WAITING = 4096
# The thread looks for expired leases at least this often: they may end up to 100 ms late.
TICK_S = 0.05
# A longer gap between two ticks is an outage: this process stood still, and nobody could extend a lease.
STANDSTILL_S = 1.0
# How long `close` waits for the thread.
CLOSE_TIMEOUT_S = 10.0


@dataclass
class _Pending:
    """An operation that waits, and where its result goes."""

    operation: Operation
    answer: Future[int] = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What an operation is answered with once its commit is durable."""

    pending: _Pending
    result: int = 0
    refusal: Exception | None = None

    def answer(self) -> None:
        if self.refusal is not None:
            self.pending.answer.set_exception(self.refusal)
        else:
            self.pending.answer.set_result(self.result)


class CommitQueue:
    """Executes operations in the order in which they come, and ends leases that have expired."""

    def __init__(self, connection: sqlite3.Connection, leases: LeaseClock, feed: WatchFeed, last_lease: int) -> None:
        """Starts the thread, which is the only one that uses `connection` from now on."""
        self._connection = connection
        self._leases = leases
        self._feed = feed
        self._last_lease = last_lease
        self._waiting: queue.Queue[_Pending | None] = queue.Queue(MOST_WAITING)  # None: the end
        self.commits = 0  # since the start
        self.failing: str | None = None  # why the disk refuses, while it does
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def execute(self, operation: Operation, timeout: float) -> int:
        """The operation's result once it is durable.

        Raises what the operation raises, StoreUnavailableError, or TimeoutError if the outcome isn't known within
        `timeout` seconds: it may be executed still.
        """
        pending = _Pending(operation)
        try:
            self._waiting.put_nowait(pending)
        except queue.Full:
            raise StoreUnavailableError("too many changes are waiting") from None
        return pending.answer.result(timeout)

    def close(self) -> bool:
        """Execute what is waiting and end the thread; False if it has ended before."""
        if not self._thread.is_alive():
            return False
        self._waiting.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
        return True

    # The thread

    def _run(self) -> None:
        last = time.monotonic()
        closing = False
        while not closing:
            batch, closing = self._next_batch()
            now = time.monotonic()
            if now - last > STANDSTILL_S:
                log.info("stood still for %.1f s: all leases have their full time again", now - last)
                self._leases.restart_all()
            last = now
            if self._leases.expired():
                batch.append(_Pending(EndExpiredLeases()))
            if batch:
                self._commit(batch)
                last = max(last, time.monotonic() - STANDSTILL_S)  # a slow disk isn't a standstill

    def _next_batch(self) -> tuple[list[_Pending], bool]:
        """What is waiting, or nothing after a tick; and whether the end has come."""
        batch: list[_Pending] = []
        with contextlib.suppress(queue.Empty):
            pending = self._waiting.get(timeout=TICK_S)
            while pending is not None:
                batch.append(pending)
                if len(batch) >= MAX_OPERATIONS_PER_COMMIT:
                    return batch, False
                pending = self._waiting.get_nowait()
            return batch, True
        return batch, False

    def _commit(self, batch: list[_Pending]) -> None:
        commit = Commit(self._connection, self._leases, self._feed.revision, self._last_lease)
        try:
            outcomes = self._write(commit, batch)
        except sqlite3.Error as error:
            self._roll_back(error)
            for pending in batch:
                pending.answer.set_exception(StoreUnavailableError(str(error)))
            return
        self._last_lease = commit.last_lease
        self.commits += 1
        if self.failing:
            log.info("the disk takes changes again")
            self.failing = None
            self._leases.restart_all()  # it was an outage for those who extend by writing
        for step in commit.when_durable:
            step()
        # watches learn of it before it is answered, so that a read after the answer has it
        self._feed.publish(commit.changes, commit.revision)
        for outcome in outcomes:
            outcome.answer()

    def _write(self, commit: Commit, batch: list[_Pending]) -> list[_Outcome]:
        """Returns once all is durable. Raises sqlite3.Error, and nothing of it is executed then."""
        self._connection.execute("BEGIN IMMEDIATE")
        outcomes = [_apply(commit, pending) for pending in batch]
        if commit.revision != self._feed.revision:
            commit.record_revision()
        fault_point("store.before-commit")
        self._connection.execute("COMMIT")
        fault_point("store.after-commit")
        return outcomes

    def _roll_back(self, error: sqlite3.Error) -> None:
        if self.failing != str(error):
            log.error("the disk refuses changes: %s", error)
            self.failing = str(error)
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error as second:
            log.error("rollback: %s", second)
        time.sleep(TICK_S)  # no busy loop on a disk that is full


def _apply(commit: Commit, pending: _Pending) -> _Outcome:
    try:
        return _Outcome(pending, result=pending.operation.apply(commit))
    except (ConditionFailedError, LeaseEndedError) as refusal:
        return _Outcome(pending, refusal=refusal)  # raised before its first write: the others go on
