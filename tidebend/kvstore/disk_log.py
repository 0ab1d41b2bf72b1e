"""The store's file: one SQLite database in a directory that belongs to one service at a time."""

from __future__ import annotations

import fcntl
import os
import sqlite3
from collections.abc import Iterator
from pathlib import Path

FILE = "state.db"
LOCK = "lock"
APPLICATION = 0x74646264  # "tdbd": says whose file it is
VERSION = 1  # of the tables below; a newer file is refused

TABLES = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE leases (id INTEGER PRIMARY KEY, life_ms INTEGER NOT NULL);
CREATE TABLE items (key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL, lease INTEGER) WITHOUT ROWID;
CREATE INDEX leased ON items (lease) WHERE lease IS NOT NULL;
INSERT INTO facts VALUES ('revision', 0), ('lease', 0);
"""


class Damaged(Exception):
    """The file can't be used: damaged, of a newer version, or not ours. Nothing in it was changed."""


class Held(Exception):
    """Another process holds the directory."""


class DirectoryLock:
    """Held as long as the process lives; the kernel lets go of it when the process ends, however it ends."""

    def __init__(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._file = os.open(directory / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._file)
            raise Held(f"{directory}: another process holds it") from error

    def release(self) -> None:
        os.close(self._file)


def connect(directory: Path, read_only: bool = False) -> sqlite3.Connection:
    """A connection for use by one thread at a time. A commit returns once it would survive a power cut."""
    path = directory / FILE
    place = f"{path.absolute().as_uri()}?mode={'ro' if read_only else 'rwc'}"
    connection = sqlite3.connect(place, uri=True, isolation_level=None, check_same_thread=False, timeout=5.0)
    connection.execute("PRAGMA synchronous = FULL")
    return connection


def open_checked(directory: Path) -> sqlite3.Connection:
    """The writing connection, of a file that was checked and has our tables; raises Damaged."""
    path = directory / FILE
    fresh = not path.exists() or path.stat().st_size == 0
    try:
        connection = connect(directory)
        if fresh:
            os.chmod(path, 0o600)
        elif connection.execute("PRAGMA application_id").fetchone()[0] not in (0, APPLICATION):
            raise Damaged(f"{path}: not a store of tidebend")
        version = connection.execute("PRAGMA user_version").fetchone()[0]
        if version > VERSION:
            raise Damaged(f"{path}: written by a newer tidebend (its version is {version}, this one reads {VERSION})")
        connection.execute("PRAGMA journal_mode = WAL")
        if version == 0:
            # one transaction, so that a crash leaves an empty file or a whole one
            connection.executescript(
                f"BEGIN IMMEDIATE; {TABLES} PRAGMA application_id = {APPLICATION}; "
                f"PRAGMA user_version = {VERSION}; COMMIT;"
            )
        else:
            for (line,) in connection.execute("PRAGMA quick_check(1)"):
                if line != "ok":
                    raise Damaged(f"{path}: {line}")
        connection.execute("PRAGMA wal_autocheckpoint = 2000")
        return connection
    except sqlite3.DatabaseError as error:
        if isinstance(error, sqlite3.OperationalError) and "full" in str(error):
            raise
        raise Damaged(f"{path}: {error}") from error


def rows_from(connection: sqlite3.Connection, prefix: str, after: str) -> Iterator[tuple[str, bytes, int, int | None]]:
    """Items under a prefix in key order, after a key."""
    start = max(prefix, after)
    for row in connection.execute("SELECT key, value, version, lease FROM items WHERE key >= ? ORDER BY key", (start,)):
        if not row[0].startswith(prefix):
            return
        if row[0] > after:
            yield row
