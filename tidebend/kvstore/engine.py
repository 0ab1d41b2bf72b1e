"""The store as its callers see it: transactions, leases, reads and changes over one data directory."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from pathlib import Path

from tidebend.kvstore.commit_queue import CommitQueue
from tidebend.kvstore.database import FACT_LAST_LEASE, FACT_REVISION, open_checked, read_facts, read_leases
from tidebend.kvstore.directory_lock import DirectoryLock
from tidebend.kvstore.errors import StoreUnavailableError
from tidebend.kvstore.leases import LeaseClock
from tidebend.kvstore.operations import EndExpiredLeases, GrantLease, Transact
from tidebend.kvstore.reads import ReaderPool
from tidebend.kvstore.records import Item, Write
from tidebend.kvstore.watch_feed import WatchFeed

# How long a change is waited for when the caller says nothing else.
TIMEOUT_S = 5.0


class Engine:
    """A durable key-value store with revisions, transactions and leases; one per directory. Safe for several threads.

    Guarantees: what was answered is on the disk. A transaction is executed as a whole or not at all. A read after an
    answer sees what was answered. `leases` and `feed` may be used directly, to extend leases and to watch.
    """

    def __init__(self, directory: Path) -> None:
        """Raises DirectoryLockedError, DataDamagedError or StoreUnavailableError."""
        self._lock = DirectoryLock(directory)
        try:
            self._connection = open_checked(directory)
            facts = read_facts(self._connection)
            last_lease = facts[FACT_LAST_LEASE]
            self.leases = LeaseClock(read_leases(self._connection))
            self.feed = WatchFeed(facts[FACT_REVISION])
            self._readers = ReaderPool(directory)
        except sqlite3.OperationalError as error:
            self._lock.release()
            raise StoreUnavailableError(str(error)) from error
        except Exception:
            self._lock.release()
            raise
        self._commits = CommitQueue(self._connection, self.leases, self.feed, last_lease)

    @property
    def syncs(self) -> int:
        """Commits since the start; each is one sync of the disk."""
        return self._commits.commits

    @property
    def failing(self) -> str | None:
        """Why the disk refuses changes, while it does."""
        return self._commits.failing

    # Changes

    def transact(self, conditions: dict[str, int], writes: list[Write], timeout: float = TIMEOUT_S) -> int:
        """Execute writes as a whole if each key of `conditions` has its version still; returns the revision.

        Raises ConditionFailedError, LeaseEndedError, StoreUnavailableError, or TimeoutError if the outcome isn't known
        yet.
        """
        return self._commits.execute(Transact(conditions, writes), timeout)

    def grant(self, life_ms: int, timeout: float = TIMEOUT_S) -> int:
        """A new lease's number. Raises StoreUnavailableError, or TimeoutError if the outcome isn't known yet."""
        return self._commits.execute(GrantLease(life_ms), timeout)

    def end_lease(self, number: int, timeout: float = TIMEOUT_S) -> bool:
        """End a lease and delete the items that are attached to it; False if it isn't there.

        Raises StoreUnavailableError or TimeoutError; the lease has ended all the same, and its items are deleted later.
        """
        if not self.leases.end(number):
            return False
        self._commits.execute(EndExpiredLeases(), timeout)
        return True

    # Reads: each raises StoreUnavailableError

    def get(self, key: str) -> tuple[Item | None, int]:
        """The item and the revision at which it was read."""
        return self._readers.get(key)

    def items(self, prefix: str, after: str, most: int, most_bytes: int) -> tuple[list[Item], bool, int]:
        """Items in key order, whether there are more, and the revision; see `ReaderPool.items`."""
        return self._readers.items(prefix, after, most, most_bytes)

    def all_items(self, prefix: str) -> Iterator[Item]:
        """All items under a prefix in key order, however many; see `ReaderPool.all_items`."""
        return self._readers.all_items(prefix)

    def count(self, prefix: str) -> int:
        """How many items there are under a prefix."""
        return self._readers.count(prefix)

    def close(self) -> None:
        """What is waiting is done first; nothing is lost without this, since all that was answered is on the disk."""
        if not self._commits.close():
            return
        self.feed.close()
        self._readers.close()
        self._connection.close()
        self._lock.release()
