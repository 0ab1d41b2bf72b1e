"""The store's file: a SQLite database with a write-ahead log. Its tables and pragmas are the stored form."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from pathlib import Path

from tidebend.kvstore.errors import DataDamagedError

FILE = "state.db"
APPLICATION = 0x74646264  # "tdbd": says whose file it is
VERSION = 1  # of the tables below; a newer file is refused

TABLES = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE leases (id INTEGER PRIMARY KEY, life_ms INTEGER NOT NULL);
CREATE TABLE items (key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL, lease INTEGER) WITHOUT ROWID;
CREATE INDEX leased ON items (lease) WHERE lease IS NOT NULL;
INSERT INTO facts VALUES ('revision', 0), ('lease', 0);
"""

# Names in the table of facts.
FACT_REVISION = "revision"
FACT_LAST_LEASE = "lease"

# How long a statement waits for another connection's lock.
BUSY_TIMEOUT_S = 5.0
# Pages of the write-ahead log after which it is written back into the file.
CHECKPOINT_PAGES = 2000

Row = tuple[str, bytes, int, int | None]  # of the table of items


def connect(directory: Path, read_only: bool = False) -> sqlite3.Connection:
    """A connection for use by one thread at a time. A commit returns once it would survive a power cut."""
    path = directory / FILE
    uri = f"{path.absolute().as_uri()}?mode={'ro' if read_only else 'rwc'}"
    connection = sqlite3.connect(uri, uri=True, isolation_level=None, check_same_thread=False, timeout=BUSY_TIMEOUT_S)
    connection.execute("PRAGMA synchronous = FULL")
    return connection


def open_checked(directory: Path) -> sqlite3.Connection:
    """The writing connection, to a file that was checked and has our tables.

    Raises DataDamagedError, or sqlite3.OperationalError if the disk is full.
    """
    path = directory / FILE
    is_new = not path.exists() or path.stat().st_size == 0
    try:
        connection = connect(directory)
        if is_new:
            os.chmod(path, 0o600)
        else:
            _check_application(connection, path)
        version = _checked_version(connection, path)
        connection.execute("PRAGMA journal_mode = WAL")
        if version == 0:
            _create_tables(connection)
        else:
            _check_content(connection, path)
        connection.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        return connection
    except sqlite3.DatabaseError as error:
        if isinstance(error, sqlite3.OperationalError) and "full" in str(error):
            raise
        raise DataDamagedError(f"{path}: {error}") from error


def _check_application(connection: sqlite3.Connection, path: Path) -> None:
    # 0: a file whose tables weren't made yet, see `_create_tables`
    if connection.execute("PRAGMA application_id").fetchone()[0] not in (0, APPLICATION):
        raise DataDamagedError(f"{path}: not a store of tidebend")


def _checked_version(connection: sqlite3.Connection, path: Path) -> int:
    """The version of the tables; 0 if there are none yet."""
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > VERSION:
        raise DataDamagedError(
            f"{path}: written by a newer tidebend (its version is {version}, this one reads {VERSION})"
        )
    return version


def _create_tables(connection: sqlite3.Connection) -> None:
    """In one transaction, so that a crash leaves an empty file or a whole one."""
    connection.executescript(
        f"BEGIN IMMEDIATE; {TABLES} PRAGMA application_id = {APPLICATION}; PRAGMA user_version = {VERSION}; COMMIT;"
    )


def _check_content(connection: sqlite3.Connection, path: Path) -> None:
    for (line,) in connection.execute("PRAGMA quick_check(1)"):
        if line != "ok":
            raise DataDamagedError(f"{path}: {line}")


def read_facts(connection: sqlite3.Connection) -> dict[str, int]:
    """The table of facts: the last revision and the last lease's number."""
    return dict(connection.execute("SELECT name, value FROM facts"))


def read_leases(connection: sqlite3.Connection) -> dict[int, int]:
    """The lifetime in milliseconds of each lease that was granted and hasn't ended."""
    return dict(connection.execute("SELECT id, life_ms FROM leases"))


def read_revision(connection: sqlite3.Connection) -> int:
    """The revision as this connection sees it."""
    return connection.execute("SELECT value FROM facts WHERE name = ?", (FACT_REVISION,)).fetchone()[0]


def rows_from(connection: sqlite3.Connection, prefix: str, after: str) -> Iterator[Row]:
    """Items under a prefix in key order, after a key."""
    start = max(prefix, after)
    for row in connection.execute("SELECT key, value, version, lease FROM items WHERE key >= ? ORDER BY key", (start,)):
        if not row[0].startswith(prefix):
            return
        if row[0] > after:
            yield row
