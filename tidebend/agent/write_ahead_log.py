"""Durable state of the agent: its machine name, session, highest fencing token, and the processes it has started.

A process is recorded before it starts, so that a restarted agent can kill the processes of its predecessor before it
begins a new session. The local provider uses the same file to kill the processes of an agent that it removes.
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
SCHEMA_VERSION = 1

TABLES = """
CREATE TABLE facts (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE begun (mark TEXT PRIMARY KEY, task TEXT NOT NULL, pid INTEGER, started INTEGER, boot TEXT) WITHOUT ROWID;
"""


class WriteAheadLogError(Exception):
    """The file can't be used; it was not changed."""


@dataclass(frozen=True, slots=True)
class StartedProcess:
    """A process group that may exist; `pid` is None until it is known, and the task's command isn't executed before."""

    mark: str  # unique value in the environment of the process and its descendants
    task: str
    pid: int | None = None
    start_ticks: int | None = None  # clock ticks since boot
    boot: str | None = None


class WriteAheadLog:
    """Write-ahead log, for one thread. Each change is durable when its call returns, but see `record_ends`."""

    def __init__(self, directory: Path) -> None:
        """Open or create the file in `directory`. Raises WriteAheadLogError."""
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        path = directory / FILE
        self._ended_marks: list[str] = []  # ended, but not yet deleted from the table
        try:
            self._connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
            version = self._connection.execute("PRAGMA user_version").fetchone()[0]
            if version > SCHEMA_VERSION:
                raise WriteAheadLogError(f"{path}: written by a newer release of tidebend (schema version {version})")
            self._connection.execute("PRAGMA journal_mode = WAL")
            self._connection.execute("PRAGMA synchronous = FULL")
            if version == 0:
                self._connection.executescript(
                    f"BEGIN IMMEDIATE; {TABLES} PRAGMA user_version = {SCHEMA_VERSION}; COMMIT;"
                )
        except sqlite3.Error as error:
            raise WriteAheadLogError(f"{path}: {error}") from error

    def get_fact(self, name: str, default: str = "") -> str:
        """Return the value stored under a name, or the default."""
        row = self._connection.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return row[0] if row else default

    def set_facts(self, **facts: str) -> None:
        """Store values by name, replacing former ones."""
        with self._transaction():
            self._connection.executemany("INSERT OR REPLACE INTO facts VALUES (?, ?)", facts.items())

    def record_starts(self, processes: list[StartedProcess]) -> None:
        """Record processes that are about to start."""
        with self._transaction():
            self._connection.executemany(
                "INSERT INTO begun (mark, task) VALUES (?, ?)", [(process.mark, process.task) for process in processes]
            )

    def record_pids(self, processes: list[StartedProcess]) -> None:
        """Record the process ids of started processes."""
        with self._transaction():
            self._connection.executemany(
                "UPDATE begun SET pid = ?, started = ?, boot = ? WHERE mark = ?",
                [(process.pid, process.start_ticks, process.boot, process.mark) for process in processes],
            )

    def record_ends(self, marks: list[str]) -> None:
        """Delete the records of processes that have ended.

        If that fails, as on a full disk, the next call tries again; a stale record only costs another search for its
        processes.
        """
        self._ended_marks += marks
        if not self._ended_marks:
            return
        try:
            with self._transaction():
                self._connection.executemany(
                    "DELETE FROM begun WHERE mark = ?", [(mark,) for mark in self._ended_marks]
                )
        except sqlite3.Error as error:
            log.error("deleting records of ended processes failed: %s", error)
            return
        self._ended_marks.clear()

    def recorded_processes(self) -> list[StartedProcess]:
        """Return the recorded processes, which may still run."""
        return [
            StartedProcess(*row) for row in self._connection.execute("SELECT mark, task, pid, started, boot FROM begun")
        ]

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """Run the block in one transaction."""
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            yield
            self._connection.execute("COMMIT")
        except BaseException:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise
