"""What an agent did, for whoever wants to know later: a line for each start and end, in a file of bounded size."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Any

import msgspec

FILE, BEFORE = "history.jsonl", "history.1.jsonl"
MOST_BYTES = 4 * 1024 * 1024


class EventLog:
    """For one thread. Not synced: what counts after a crash is in the write-ahead log."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / FILE
        self._before = directory / BEFORE
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def add(self, what: str, at: float, **more: Any) -> None:
        """`at`: the steady time of the machine, which also passes while it sleeps."""
        line = msgspec.json.encode({"what": what, "at": round(at, 4), **more}) + b"\n"
        with contextlib.suppress(OSError):  # a full disk costs history, never a task
            os.write(self._file, line)
            if os.fstat(self._file).st_size > MOST_BYTES:
                os.replace(self._path, self._before)
                os.close(self._file)
                self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
