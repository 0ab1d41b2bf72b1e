"""The interface of the store: transactions, leases, reads and watches on one data directory."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from pathlib import Path

from tidebend.kvstore.commit_queue import CommitQueue
from tidebend.kvstore.database import FACT_LAST_LEASE, FACT_REVISION, open_database, read_facts, read_leases
from tidebend.kvstore.directory_lock import DirectoryLock
from tidebend.kvstore.errors import StoreUnavailableError
from tidebend.kvstore.leases import LeaseTable
from tidebend.kvstore.operations import DeleteEndedLeases, GrantLease, Transact
from tidebend.kvstore.reads import ReaderPool
from tidebend.kvstore.records import Item, Write
from tidebend.kvstore.watch_feed import WatchFeed

# Default time to wait for the outcome of a write.
DEFAULT_TIMEOUT_S = 5.0


class Engine:
    """A durable key-value store with revisions, transactions and leases; one per directory. Thread-safe.

    Guarantees: a write is durable before its call returns, transactions are atomic, and a read sees every write that
    returned before it began. `leases` and `feed` may be used directly, to extend leases and to watch.
    """

    def __init__(self, directory: Path) -> None:
        """Open the data directory. Raises DirectoryLockedError, DataDamagedError or StoreUnavailableError."""
        self._lock = DirectoryLock(directory)
        try:
            self._connection = open_database(directory)
            facts = read_facts(self._connection)
            last_lease_id = facts[FACT_LAST_LEASE]
            self.leases = LeaseTable(read_leases(self._connection))
            self.feed = WatchFeed(facts[FACT_REVISION])
            self._readers = ReaderPool(directory)
        except sqlite3.OperationalError as error:
            self._lock.release()
            raise StoreUnavailableError(str(error)) from error
        except Exception:
            self._lock.release()
            raise
        self._commits = CommitQueue(self._connection, self.leases, self.feed, last_lease_id)

    @property
    def syncs(self) -> int:
        """Disk syncs since the start, one per commit."""
        return self._commits.commit_count

    @property
    def write_error(self) -> str | None:
        """The error of the last commit; None while commits succeed."""
        return self._commits.write_error

    # Writes

    def transact(self, conditions: dict[str, int], writes: list[Write], timeout: float = DEFAULT_TIMEOUT_S) -> int:
        """Execute the writes atomically if each key of `conditions` has the given version; return the revision.

        Raises ConditionFailedError, LeaseEndedError, StoreUnavailableError, or TimeoutError if the outcome is unknown.
        """
        return self._commits.execute(Transact(conditions, writes), timeout)

    def grant_lease(self, lifetime_ms: int, timeout: float = DEFAULT_TIMEOUT_S) -> int:
        """Grant a lease and return its ID. Raises StoreUnavailableError, or TimeoutError if the outcome is unknown."""
        return self._commits.execute(GrantLease(lifetime_ms), timeout)

    def end_lease(self, lease_id: int, timeout: float = DEFAULT_TIMEOUT_S) -> bool:
        """End a lease and delete the items that are attached to it; return False if there is no such lease.

        If it raises StoreUnavailableError or TimeoutError, the lease has ended nevertheless, and its items are deleted
        later.
        """
        if not self.leases.end(lease_id):
            return False
        self._commits.execute(DeleteEndedLeases(), timeout)
        return True

    # Reads; each raises StoreUnavailableError if it can't be served

    def get(self, key: str) -> tuple[Item | None, int]:
        """Return the item, None if there is none, and the revision at which it was read."""
        return self._readers.get(key)

    def items(self, prefix: str, after: str, limit: int, max_bytes: int) -> tuple[list[Item], bool, int]:
        """Return items in key order, whether there are more, and the revision; see `ReaderPool.items`."""
        return self._readers.items(prefix, after, limit, max_bytes)

    def all_items(self, prefix: str) -> Iterator[Item]:
        """Yield all items under a prefix in key order; see `ReaderPool.all_items`."""
        return self._readers.all_items(prefix)

    def count(self, prefix: str) -> int:
        """Return the number of items under a prefix."""
        return self._readers.count(prefix)

    def close(self) -> None:
        """Execute queued operations, then close. Not needed for durability: answered operations are on disk already."""
        if not self._commits.close():
            return
        self.feed.close()
        self._readers.close()
        self._connection.close()
        self._lock.release()
