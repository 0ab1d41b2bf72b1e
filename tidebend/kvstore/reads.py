"""Reads of the store. They see durable writes only, since other connections don't see an open transaction."""

from __future__ import annotations

import queue
import sqlite3
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

from tidebend.kvstore.database import Row, connect, iterate_items, read_revision
from tidebend.kvstore.errors import StoreUnavailableError
from tidebend.kvstore.records import Item

T = TypeVar("T")

# Reads that run concurrently; others wait for a connection.
MAX_CONCURRENT_READS = 4
# How long a read waits for a connection.
CONNECTION_WAIT_S = 2.0
# Limits of a page in `all_items`.
PAGE_ITEMS = 1000
PAGE_BYTES = 1024 * 1024
# Estimated size of an item in an answer, beyond its key and value.
ITEM_OVERHEAD_BYTES = 64
# The greatest code point: a prefix followed by it is greater than every key under the prefix.
MAX_CODE_POINT = "\U0010ffff"


class ReaderPool:
    """A pool of read-only connections. Reads raise StoreUnavailableError if they can't be served."""

    def __init__(self, directory: Path) -> None:
        """Open the connections. Raises sqlite3.OperationalError."""
        self._connections: queue.LifoQueue[sqlite3.Connection] = queue.LifoQueue()
        for _ in range(MAX_CONCURRENT_READS):
            self._connections.put(connect(directory, read_only=True))

    def get(self, key: str) -> tuple[Item | None, int]:
        """Return the item, None if there is none, and the revision at which it was read."""

        def read(connection: sqlite3.Connection) -> tuple[Item | None, int]:
            rows = connection.execute("SELECT key, value, version, lease FROM items WHERE key = ?", (key,))
            row = rows.fetchone()
            return _item(row) if row else None, read_revision(connection)

        return self._read(read)

    def items(self, prefix: str, after: str, limit: int, max_bytes: int) -> tuple[list[Item], bool, int]:
        """Return items in key order, whether there are more, and the revision of this snapshot.

        At most `limit` items with a total size of at most `max_bytes`, but at least one item if there is any.
        """

        def read(connection: sqlite3.Connection) -> tuple[list[Item], bool, int]:
            revision = read_revision(connection)
            found: list[Item] = []
            size = 0
            for row in iterate_items(connection, prefix, after):
                key, value, *_ = row
                size += len(key) + len(value) + ITEM_OVERHEAD_BYTES
                if len(found) >= limit or (found and size > max_bytes):
                    return found, True, revision
                found.append(_item(row))
            return found, False, revision

        return self._read(read)

    def all_items(self, prefix: str) -> Iterator[Item]:
        """Yield all items under a prefix in key order. Each page is read at a revision of its own.

        Raises StoreUnavailableError during iteration if a page can't be read.
        """
        after = ""
        more = True
        while more:
            page, more, _ = self.items(prefix, after, PAGE_ITEMS, PAGE_BYTES)
            yield from page
            if page:
                after = page[-1].key

    def count(self, prefix: str) -> int:
        """Return the number of items under a prefix."""

        def read(connection: sqlite3.Connection) -> int:
            bounds = (prefix, prefix + MAX_CODE_POINT)
            return connection.execute("SELECT COUNT(*) FROM items WHERE key >= ? AND key < ?", bounds).fetchone()[0]

        return self._read(read)

    def close(self) -> None:
        """Close the idle connections."""
        while not self._connections.empty():
            self._connections.get().close()

    def _read(self, read: Callable[[sqlite3.Connection], T]) -> T:
        """Return the result of `read`, which is called with a connection in a read transaction (a single snapshot)."""
        try:
            connection = self._connections.get(timeout=CONNECTION_WAIT_S)
        except queue.Empty:
            raise StoreUnavailableError("too many concurrent reads: no connection became free") from None
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
