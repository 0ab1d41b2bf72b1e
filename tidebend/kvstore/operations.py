"""The operations that change the store; each is executed atomically within a commit."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from tidebend.kvstore.database import FACT_LAST_LEASE, FACT_REVISION
from tidebend.kvstore.errors import ConditionFailedError, LeaseEndedError
from tidebend.kvstore.leases import LeaseTable
from tidebend.kvstore.records import Change, Write


@dataclass
class Commit:
    """A commit in preparation: the operations of several clients, in order.

    An operation sees the writes of those before it in the same commit. Leases and watches are updated only once the
    commit is durable, by `after_commit` and from `changes`.
    """

    connection: sqlite3.Connection
    leases: LeaseTable
    revision: int
    last_lease_id: int  # the highest lease ID that was ever granted
    changes: list[Change] = field(default_factory=list)
    after_commit: list[Callable[[], None]] = field(default_factory=list)  # called in order once it is durable

    def version(self, key: str) -> int:
        """Return the key's version; 0 if there is no such key."""
        row = self.connection.execute("SELECT version FROM items WHERE key = ?", (key,)).fetchone()
        return row[0] if row else 0

    def put(self, key: str, value: bytes, lease: int | None) -> None:
        """Set an item at the commit's revision."""
        self.connection.execute("INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?)", (key, value, self.revision, lease))
        self.changes.append(Change(key, value, self.revision))

    def delete(self, key: str) -> None:
        """Delete an item, if there is one, at the commit's revision."""
        if self.connection.execute("DELETE FROM items WHERE key = ?", (key,)).rowcount:
            self.changes.append(Change(key, None, self.revision))

    def record_revision(self) -> None:
        """Write the revision to the database, as part of this commit."""
        self.connection.execute("UPDATE facts SET value = ? WHERE name = ?", (self.revision, FACT_REVISION))


class Operation(Protocol):
    """A change to the store that is part of a commit."""

    def apply(self, commit: Commit) -> int:
        """Execute and return the result. Raises ConditionFailedError or LeaseEndedError before its first write."""


@dataclass(frozen=True, slots=True)
class Transact:
    """Writes that are executed atomically if each key of `conditions` has the given version (0: no such key)."""

    conditions: dict[str, int]
    writes: list[Write]

    def apply(self, commit: Commit) -> int:
        """Execute the transaction and return the revision after it."""
        # The protocol requires that an ended lease is reported before failed conditions.
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
    """Grants a lease, whose lifetime begins once the grant is durable."""

    lifetime_ms: int

    def apply(self, commit: Commit) -> int:
        """Grant the lease and return its ID, which is never reused, not even after a restart."""
        lease_id = commit.last_lease_id + 1
        commit.connection.execute("UPDATE facts SET value = ? WHERE name = ?", (lease_id, FACT_LAST_LEASE))
        commit.connection.execute("INSERT INTO leases VALUES (?, ?)", (lease_id, self.lifetime_ms))
        commit.last_lease_id = lease_id
        commit.after_commit.append(lambda: commit.leases.add(lease_id, self.lifetime_ms))
        return lease_id


@dataclass(frozen=True, slots=True)
class DeleteEndedLeases:
    """Deletes all leases that have expired or were ended, with the items that are attached to them."""

    def apply(self, commit: Commit) -> int:
        """Delete the leases and return their number."""
        ended = commit.leases.ending()
        for lease_id in sorted(ended):
            rows = commit.connection.execute("SELECT key FROM items WHERE lease = ?", (lease_id,))
            keys = [row[0] for row in rows]
            if keys:
                commit.revision += 1
            for key in keys:
                commit.delete(key)
            commit.connection.execute("DELETE FROM leases WHERE id = ?", (lease_id,))
        if ended:
            commit.after_commit.append(lambda: commit.leases.confirm_ended(ended))
        return len(ended)
