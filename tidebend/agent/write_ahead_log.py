"""What must outlast a crash of the agent: its name, session, highest token, and the processes it has begun.

A process is written down before it starts, so that an agent that returns knows its own: it ends them and only then
begins a later session. The same file tells the local provider what to end when the agent is gone for good.
"""

from __future__ import annotations

import contextlib
import logging
import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

log = logging.getLogger("agent")

FILE = "diary.db"
VERSION = 1

TABLES = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE begun (mark TEXT PRIMARY KEY, task TEXT NOT NULL, pid INTEGER, started INTEGER, boot TEXT) WITHOUT ROWID;
"""


class WriteAheadLogError(Exception):
    """The file can't be used; nothing in it was changed."""


@dataclass(frozen=True, slots=True)
class StartedProcess:
    """A process group that may be there. `pid` is None until it is known; before that it has not been let go on."""

    mark: str  # in the environment of all that descends from it
    task: str
    pid: int | None = None
    start_ticks: int | None = None  # ticks since the machine booted
    boot: str | None = None


class WriteAheadLog:
    """For one thread. Each change is on the disk when its call returns."""

    def __init__(self, directory: Path) -> None:
        """Raises WriteAheadLogError."""
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        path = directory / FILE
        self._left: list[str] = []  # ended, but not struck out yet
        try:
            self._connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
            version = self._connection.execute("PRAGMA user_version").fetchone()[0]
            if version > VERSION:
                raise WriteAheadLogError(f"{path}: written by a newer tidebend (its version is {version})")
            self._connection.execute("PRAGMA journal_mode = WAL")
            self._connection.execute("PRAGMA synchronous = FULL")
            if version == 0:
                self._connection.executescript(f"BEGIN IMMEDIATE; {TABLES} PRAGMA user_version = {VERSION}; COMMIT;")
        except sqlite3.Error as error:
            raise WriteAheadLogError(f"{path}: {error}") from error

    def get_fact(self, name: str, default: str = "") -> str:
        """Return a fact that was noted, or the default."""
        row = self._connection.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return row[0] if row else default

    def set_facts(self, **facts: str) -> None:
        """Write facts, each in the place of the one of the same name."""
        with self._whole():
            self._connection.executemany("INSERT OR REPLACE INTO facts VALUES (?, ?)", facts.items())

    def record_starts(self, rows: list[StartedProcess]) -> None:
        """Write down processes that are about to begin."""
        with self._whole():
            self._connection.executemany(
                "INSERT INTO begun (mark, task) VALUES (?, ?)", [(row.mark, row.task) for row in rows]
            )

    def record_pids(self, rows: list[StartedProcess]) -> None:
        """Write down the ids of processes that have begun."""
        with self._whole():
            self._connection.executemany(
                "UPDATE begun SET pid = ?, started = ?, boot = ? WHERE mark = ?",
                [(row.pid, row.start_ticks, row.boot, row.mark) for row in rows],
            )

    def record_ends(self, marks: list[str]) -> None:
        """On a full disk they stay for the next call: looking once more for what is gone costs little."""
        self._left += marks
        if not self._left:
            return
        try:
            with self._whole():
                self._connection.executemany("DELETE FROM begun WHERE mark = ?", [(mark,) for mark in self._left])
        except sqlite3.Error as error:
            log.error("%s", error)
            return
        self._left.clear()

    def recorded_processes(self) -> list[StartedProcess]:
        """Return the processes that may be there."""
        return [
            StartedProcess(*row) for row in self._connection.execute("SELECT mark, task, pid, started, boot FROM begun")
        ]

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

    @contextlib.contextmanager
    def _whole(self) -> Iterator[None]:
        """One transaction: on the disk as a whole, or not at all."""
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            yield
            self._connection.execute("COMMIT")
        except BaseException:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise
