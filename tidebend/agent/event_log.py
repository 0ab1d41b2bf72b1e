"""Log of session starts and of task starts and ends, for later analysis, as JSON lines in files of bounded size."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Any

import msgspec

FILE, PREVIOUS_FILE = "history.jsonl", "history.1.jsonl"
MAX_BYTES = 4 * 1024 * 1024


class EventLog:
    """Event log for one thread. Not synced, since recovery after a crash uses the write-ahead log only."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / FILE
        self._previous_path = directory / PREVIOUS_FILE
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def add(self, event: str, at: float, **fields: Any) -> None:
        """Append an event; `at` is the machine's monotonic time, including suspension, in seconds."""
        line = msgspec.json.encode({"what": event, "at": round(at, 4), **fields}) + b"\n"
        with contextlib.suppress(OSError):  # on a full disk events are lost, but tasks go on
            os.write(self._file, line)
            if os.fstat(self._file).st_size > MAX_BYTES:
                os.replace(self._path, self._previous_path)
                os.close(self._file)
                self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
