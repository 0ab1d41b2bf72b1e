"""Reads of the store: of what is durable, since another connection sees nothing else."""

from __future__ import annotations

import queue
import sqlite3
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

from tidebend.kvstore.database import Row, connect, read_revision, rows_from
from tidebend.kvstore.errors import StoreUnavailableError
from tidebend.kvstore.records import Item

T = TypeVar("T")

# Reads that run at the same time; others wait.
CONNECTIONS = 4
WAIT_S = 2.0
# Of `all_items`: what is longer is read on.
PAGE_ITEMS = 1000
PAGE_BYTES = 1024 * 1024
# What an item takes in an answer besides its key and value.
ITEM_OVERHEAD_BYTES = 64
# Greater than all that may follow a prefix.
LAST_CHARACTER = "\U0010ffff"


class ReaderPool:
    """Read-only connections that threads share. All reads raise StoreUnavailableError."""

    def __init__(self, directory: Path) -> None:
        """Raises sqlite3.OperationalError."""
        self._connections: queue.LifoQueue[sqlite3.Connection] = queue.LifoQueue()
        for _ in range(CONNECTIONS):
            self._connections.put(connect(directory, read_only=True))

    def get(self, key: str) -> tuple[Item | None, int]:
        """The item and the revision at which it was read."""

        def read(connection: sqlite3.Connection) -> tuple[Item | None, int]:
            rows = connection.execute("SELECT key, value, version, lease FROM items WHERE key = ?", (key,))
            row = rows.fetchone()
            return _item(row) if row else None, read_revision(connection)

        return self._read(read)

    def items(self, prefix: str, after: str, most: int, most_bytes: int) -> tuple[list[Item], bool, int]:
        """Items in key order, whether there are more, and the revision; all as of that revision.

        At most `most` items of together `most_bytes`, but one at least, if there is one.
        """

        def read(connection: sqlite3.Connection) -> tuple[list[Item], bool, int]:
            revision = read_revision(connection)
            found: list[Item] = []
            size = 0
            for row in rows_from(connection, prefix, after):
                key, value, *_ = row
                size += len(key) + len(value) + ITEM_OVERHEAD_BYTES
                if len(found) >= most or (found and size > most_bytes):
                    return found, True, revision
                found.append(_item(row))
            return found, False, revision

        return self._read(read)

    def all_items(self, prefix: str) -> Iterator[Item]:
        """All items under a prefix in key order, however many: read a page at a time, each as of its own revision.

        Raises StoreUnavailableError on the way if a page can't be read.
        """
        after = ""
        more = True
        while more:
            page, more, _ = self.items(prefix, after, PAGE_ITEMS, PAGE_BYTES)
            yield from page
            if page:
                after = page[-1].key

    def count(self, prefix: str) -> int:
        """How many items there are under a prefix."""

        def read(connection: sqlite3.Connection) -> int:
            bounds = (prefix, prefix + LAST_CHARACTER)
            return connection.execute("SELECT COUNT(*) FROM items WHERE key >= ? AND key < ?", bounds).fetchone()[0]

        return self._read(read)

    def close(self) -> None:
        """Close the connections that aren't in use."""
        while not self._connections.empty():
            self._connections.get().close()

    def _read(self, read: Callable[[sqlite3.Connection], T]) -> T:
        """What `read` returns; all that it reads is as of the same revision."""
        try:
            connection = self._connections.get(timeout=WAIT_S)
        except queue.Empty:
            raise StoreUnavailableError("too many reads are waiting") from None
        try:
            connection.execute("BEGIN")
            try:
                return read(connection)
            finally:
                connection.execute("COMMIT")
        except sqlite3.Error as error:
            raise StoreUnavailableError(str(error)) from error
        finally:
            self._connections.put(connection)


def _item(row: Row) -> Item:
    key, value, version, lease = row
    return Item(key, msgspec.json.decode(value), version, lease)
