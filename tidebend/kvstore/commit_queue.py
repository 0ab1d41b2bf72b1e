"""The commit queue: a single writer thread with group commit, so that queued operations share one disk sync.

An operation is answered only once it is durable. If a commit fails (on a full disk, for example), all of its
operations fail and none takes effect; operations answered before are kept, and the next commit tries again.
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
from tidebend.kvstore.leases import LeaseTable
from tidebend.kvstore.operations import Commit, DeleteEndedLeases, Operation
from tidebend.kvstore.watch_feed import WatchFeed

log = logging.getLogger("kvstore")

MAX_OPERATIONS_PER_COMMIT = 256
MAX_QUEUED_OPERATIONS = 4096
# The writer thread checks for expired leases at least this often, so a lease may end up to 100 ms late. Also the pause
# after a failed commit.
TICK_S = 0.05
# A longer gap between two iterations of the writer thread counts as an outage: the process was paused, and no holder
# could extend its lease.
PAUSE_THRESHOLD_S = 1.0
# How long `close` waits for the writer thread.
CLOSE_TIMEOUT_S = 10.0


@dataclass
class _Pending:
    """A queued operation and the future that receives its result."""

    operation: Operation
    future: Future[int] = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class _Outcome:
    """The result or error of an operation, to be delivered once its commit is durable."""

    pending: _Pending
    result: int = 0
    error: Exception | None = None

    def deliver(self) -> None:
        if self.error is not None:
            self.pending.future.set_exception(self.error)
        else:
            self.pending.future.set_result(self.result)


class CommitQueue:
    """Executes operations in the order of their arrival, and deletes leases that have ended."""

    def __init__(self, connection: sqlite3.Connection, leases: LeaseTable, feed: WatchFeed, last_lease_id: int) -> None:
        """Start the writer thread, which has exclusive use of `connection` from now on."""
        self._connection = connection
        self._leases = leases
        self._feed = feed
        self._last_lease_id = last_lease_id
        self._queue: queue.Queue[_Pending | None] = queue.Queue(MAX_QUEUED_OPERATIONS)  # None ends the writer thread
        self.commit_count = 0  # since the start
        self.write_error: str | None = None  # the last commit's error; None while commits succeed
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def execute(self, operation: Operation, timeout: float) -> int:
        """Execute an operation and return its result once it is durable.

        Raises what the operation raises, StoreUnavailableError, or TimeoutError if the outcome is unknown after
        `timeout` seconds: the operation may still be executed.
        """
        pending = _Pending(operation)
        try:
            self._queue.put_nowait(pending)
        except queue.Full:
            raise StoreUnavailableError("the commit queue is full") from None
        return pending.future.result(timeout)

    def close(self) -> bool:
        """Execute the queued operations and end the writer thread; return False if it has ended before."""
        if not self._thread.is_alive():
            return False
        self._queue.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)
        return True

    # The writer thread

    def _run(self) -> None:
        last = time.monotonic()
        closing = False
        while not closing:
            batch, closing = self._next_batch()
            now = time.monotonic()
            if now - last > PAUSE_THRESHOLD_S:
                log.info("the process was paused for %.1f s; all leases get their full lifetime again", now - last)
                self._leases.extend_all()
            last = now
            if self._leases.ending():
                batch.append(_Pending(DeleteEndedLeases()))
            if batch:
                self._commit(batch)
                last = max(last, time.monotonic() - PAUSE_THRESHOLD_S)  # a slow commit doesn't count as a pause

    def _next_batch(self) -> tuple[list[_Pending], bool]:
        """Return the queued operations (none if a tick passes without any), and whether the queue was closed."""
        batch: list[_Pending] = []
        with contextlib.suppress(queue.Empty):
            pending = self._queue.get(timeout=TICK_S)
            while pending is not None:
                batch.append(pending)
                if len(batch) >= MAX_OPERATIONS_PER_COMMIT:
                    return batch, False
                pending = self._queue.get_nowait()
            return batch, True
        return batch, False

    def _commit(self, batch: list[_Pending]) -> None:
        commit = Commit(self._connection, self._leases, self._feed.revision, self._last_lease_id)
        try:
            outcomes = self._write(commit, batch)
        except sqlite3.Error as error:
            self._roll_back(error)
            for pending in batch:
                pending.future.set_exception(StoreUnavailableError(str(error)))
            return
        self._last_lease_id = commit.last_lease_id
        self.commit_count += 1
        if self.write_error:
            log.info("commits succeed again")
            self.write_error = None
            self._leases.extend_all()  # holders that extend their leases by writing could not do so
        for callback in commit.after_commit:
            callback()
        # Watches get the changes before the operations are answered, so that a read after an answer sees them.
        self._feed.publish(commit.changes, commit.revision)
        for outcome in outcomes:
            outcome.deliver()

    def _write(self, commit: Commit, batch: list[_Pending]) -> list[_Outcome]:
        """Return once the whole batch is durable. Raises sqlite3.Error; none of the batch is executed then."""
        self._connection.execute("BEGIN IMMEDIATE")
        outcomes = [_apply(commit, pending) for pending in batch]
        if commit.revision != self._feed.revision:
            commit.record_revision()
        fault_point("store.before-commit")
        self._connection.execute("COMMIT")
        fault_point("store.after-commit")
        return outcomes

    def _roll_back(self, error: sqlite3.Error) -> None:
        if self.write_error != str(error):
            log.error("commit failed: %s", error)
            self.write_error = str(error)
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error as second:
            log.error("rollback failed: %s", second)
        time.sleep(TICK_S)  # avoids a busy loop while the disk is full


def _apply(commit: Commit, pending: _Pending) -> _Outcome:
    try:
        return _Outcome(pending, result=pending.operation.apply(commit))
    except (ConditionFailedError, LeaseEndedError) as error:
        # Raised before the operation's first write, so the rest of the batch isn't affected.
        return _Outcome(pending, error=error)
