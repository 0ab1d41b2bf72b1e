"""An exclusive lock on a directory, between processes."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from tidebend.kvstore.errors import DirectoryLockedError

LOCK_FILE = "lock"


class DirectoryLock:
    """An exclusive lock that the kernel releases when the process ends, however it ends."""

    def __init__(self, directory: Path) -> None:
        """Acquire the lock; create the directory if needed. Raises DirectoryLockedError if another process holds it."""
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._file = os.open(directory / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._file)
            raise DirectoryLockedError(f"{directory}: another process holds the lock on this directory") from error

    def release(self) -> None:
        """Release the lock. Must be called at most once."""
        os.close(self._file)
