"""The operations that change the store, each executed as a whole within a commit."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from tidebend.kvstore.database import FACT_LAST_LEASE, FACT_REVISION
from tidebend.kvstore.errors import ConditionFailedError, LeaseEndedError
from tidebend.kvstore.leases import LeaseClock
from tidebend.kvstore.records import Change, Write


@dataclass
class Commit:
    """One durable step that is being prepared: the operations of several clients, in order.

    Operations see what those before them in the same commit have changed. Leases and watches follow only once the
    commit is durable: by `when_durable` and with `changes`.
    """

    connection: sqlite3.Connection
    leases: LeaseClock
    revision: int
    last_lease: int  # the highest number that was ever given to a lease
    changes: list[Change] = field(default_factory=list)
    when_durable: list[Callable[[], None]] = field(default_factory=list)  # called in order after the commit

    def version(self, key: str) -> int:
        """The key's version; 0 if it isn't there."""
        row = self.connection.execute("SELECT version FROM items WHERE key = ?", (key,)).fetchone()
        return row[0] if row else 0

    def put(self, key: str, value: bytes, lease: int | None) -> None:
        """Set an item at the commit's revision."""
        self.connection.execute("INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?)", (key, value, self.revision, lease))
        self.changes.append(Change(key, value, self.revision))

    def delete(self, key: str) -> None:
        """Delete an item, if it is there, at the commit's revision."""
        if self.connection.execute("DELETE FROM items WHERE key = ?", (key,)).rowcount:
            self.changes.append(Change(key, None, self.revision))

    def record_revision(self) -> None:
        """Make the revision durable."""
        self.connection.execute("UPDATE facts SET value = ? WHERE name = ?", (self.revision, FACT_REVISION))


class Operation(Protocol):
    """Something to be done in a commit."""

    def apply(self, commit: Commit) -> int:
        """The result for whoever asked. Raises ConditionFailedError or LeaseEndedError before its first write."""


@dataclass(frozen=True, slots=True)
class Transact:
    """Writes that are executed as a whole if each key of `conditions` has its version still (0: isn't there)."""

    conditions: dict[str, int]
    writes: list[Write]

    def apply(self, commit: Commit) -> int:
        """The revision after it."""
        # by the protocol a lease that has ended counts before the conditions do
        if any(write.lease is not None and not commit.leases.is_live(write.lease) for write in self.writes):
            raise LeaseEndedError
        failed = [key for key, version in self.conditions.items() if commit.version(key) != version]
        if failed:
            raise ConditionFailedError(failed, commit.revision)
        if self.writes:
            commit.revision += 1
        for write in self.writes:
            if write.value is None:
                commit.delete(write.key)
            else:
                commit.put(write.key, write.value, write.lease)
        return commit.revision


@dataclass(frozen=True, slots=True)
class GrantLease:
    """A new lease; its lifetime begins when it is durable."""

    life_ms: int

    def apply(self, commit: Commit) -> int:
        """The lease's number, which is never used again, not even after a restart."""
        number = commit.last_lease + 1
        commit.connection.execute("UPDATE facts SET value = ? WHERE name = ?", (number, FACT_LAST_LEASE))
        commit.connection.execute("INSERT INTO leases VALUES (?, ?)", (number, self.life_ms))
        commit.last_lease = number
        commit.when_durable.append(lambda: commit.leases.add(number, self.life_ms))
        return number


@dataclass(frozen=True, slots=True)
class EndExpiredLeases:
    """The end of all leases that have expired, with the items that are attached to them."""

    def apply(self, commit: Commit) -> int:
        """How many leases ended."""
        expired = commit.leases.expired()
        for number in sorted(expired):
            rows = commit.connection.execute("SELECT key FROM items WHERE lease = ?", (number,))
            keys = [row[0] for row in rows]
            if keys:
                commit.revision += 1
            for key in keys:
                commit.delete(key)
            commit.connection.execute("DELETE FROM leases WHERE id = ?", (number,))
        if expired:
            commit.when_durable.append(lambda: commit.leases.forget(expired))
        return len(expired)
