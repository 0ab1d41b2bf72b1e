"""The store's file: a SQLite database with a write-ahead log. Its tables and pragmas are the stored format."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from pathlib import Path

from tidebend.kvstore.errors import DataDamagedError

DATABASE_FILE = "state.db"
APPLICATION_ID = 0x74646264  # "tdbd": marks a SQLite file as ours
SCHEMA_VERSION = 1  # of the tables below; files with a higher version are rejected

TABLES = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE leases (id INTEGER PRIMARY KEY, life_ms INTEGER NOT NULL);
CREATE TABLE items (key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL, lease INTEGER) WITHOUT ROWID;
CREATE INDEX leased ON items (lease) WHERE lease IS NOT NULL;
INSERT INTO facts VALUES ('revision', 0), ('lease', 0);
"""

# Names in the table `facts`.
FACT_REVISION = "revision"
FACT_LAST_LEASE = "lease"

# How long a statement waits for a lock that another connection holds.
BUSY_TIMEOUT_S = 5.0
# Length of the write-ahead log, in pages, at which it is checkpointed into the database file.
CHECKPOINT_PAGES = 2000

Row = tuple[str, bytes, int, int | None]  # a row of the table `items`


def connect(directory: Path, read_only: bool = False) -> sqlite3.Connection:
    """Return a connection for use by one thread at a time. A commit returns once it would survive a power loss."""
    path = directory / DATABASE_FILE
    uri = f"{path.absolute().as_uri()}?mode={'ro' if read_only else 'rwc'}"
    connection = sqlite3.connect(uri, uri=True, isolation_level=None, check_same_thread=False, timeout=BUSY_TIMEOUT_S)
    connection.execute("PRAGMA synchronous = FULL")
    return connection


def open_database(directory: Path) -> sqlite3.Connection:
    """Return the writer's connection, after checking the file and creating its tables if it is new.

    Raises DataDamagedError, or sqlite3.OperationalError if the disk is full.
    """
    path = directory / DATABASE_FILE
    is_new = not path.exists() or path.stat().st_size == 0
    try:
        connection = connect(directory)
        if is_new:
            os.chmod(path, 0o600)
        else:
            _check_application_id(connection, path)
        version = _read_schema_version(connection, path)
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


def _check_application_id(connection: sqlite3.Connection, path: Path) -> None:
    # 0: the tables haven't been created yet, see `_create_tables`
    if connection.execute("PRAGMA application_id").fetchone()[0] not in (0, APPLICATION_ID):
        raise DataDamagedError(f"{path}: not a tidebend database")


def _read_schema_version(connection: sqlite3.Connection, path: Path) -> int:
    """Return the schema version of the file; 0 if it has no tables yet."""
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise DataDamagedError(
            f"{path}: written by a newer tidebend (schema version {version}, expected at most {SCHEMA_VERSION})"
        )
    return version


def _create_tables(connection: sqlite3.Connection) -> None:
    """Create all tables in one transaction, so that a crash leaves either none or all of them."""
    connection.executescript(
        f"BEGIN IMMEDIATE; {TABLES} PRAGMA application_id = {APPLICATION_ID}; "
        f"PRAGMA user_version = {SCHEMA_VERSION}; COMMIT;"
    )


def _check_content(connection: sqlite3.Connection, path: Path) -> None:
    for (line,) in connection.execute("PRAGMA quick_check(1)"):
        if line != "ok":
            raise DataDamagedError(f"{path}: {line}")


def read_facts(connection: sqlite3.Connection) -> dict[str, int]:
    """Return the table `facts`: the current revision and the highest lease ID that was granted."""
    return dict(connection.execute("SELECT name, value FROM facts"))


def read_leases(connection: sqlite3.Connection) -> dict[int, int]:
    """Return the lifetime in milliseconds, by lease ID, of each lease whose end isn't durable."""
    return dict(connection.execute("SELECT id, life_ms FROM leases"))


def read_revision(connection: sqlite3.Connection) -> int:
    """Return the store's revision in this connection's snapshot."""
    return connection.execute("SELECT value FROM facts WHERE name = ?", (FACT_REVISION,)).fetchone()[0]


def iterate_items(connection: sqlite3.Connection, prefix: str, after: str) -> Iterator[Row]:
    """Yield the items under a prefix whose key is greater than `after`, in key order."""
    start = max(prefix, after)
    for row in connection.execute("SELECT key, value, version, lease FROM items WHERE key >= ? ORDER BY key", (start,)):
        if not row[0].startswith(prefix):
            return
        if row[0] > after:
            yield row
