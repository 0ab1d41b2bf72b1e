"""Output of tasks: the newest part is kept in two files of bounded size, of which the older is replaced first."""

from __future__ import annotations

import contextlib
import os
import shutil
from pathlib import Path

CURRENT_FILE, PREVIOUS_FILE = "out", "out.1"
# Outputs of this many task attempts are kept; the oldest are removed.
MAX_KEPT_OUTPUTS = 500


class TaskOutput:
    """Output of one attempt, for one thread. On a full disk output is lost, but the task goes on."""

    def __init__(self, directory: Path, max_bytes: int) -> None:
        self.directory = directory
        self._max_file_bytes = max(512, max_bytes // 2)
        self._size = 0
        self._file = -1
        self.lost_bytes = 0  # bytes that couldn't be written
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._open()

    def _open(self) -> None:
        with contextlib.suppress(OSError):
            self._file = os.open(
                self.directory / CURRENT_FILE, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
            )
        self._size = 0

    def write(self, data: bytes) -> None:
        """Append output of the task."""
        while data:
            if self._size >= self._max_file_bytes:
                self.close()
                # Unlinks first, since some file systems flush the new file at once when it is renamed over another.
                # On a busy disk that blocked the agent while a task filled its output.
                with contextlib.suppress(OSError):
                    (self.directory / PREVIOUS_FILE).unlink(missing_ok=True)
                    (self.directory / CURRENT_FILE).rename(self.directory / PREVIOUS_FILE)
                self._open()
            chunk, data = data[: self._max_file_bytes - self._size], data[self._max_file_bytes - self._size :]
            try:
                self._size += os.write(self._file, chunk)
            except OSError:
                self.lost_bytes += len(chunk)

    def close(self) -> None:
        """Close the file."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def attempt_directory(root: Path, job: str, index: int, attempt: int) -> Path:
    """Return the directory of one attempt's output."""
    return root / job / f"{index}.{attempt}"


def read_latest(root: Path, job: str, index: int, max_bytes: int) -> tuple[int, bytes] | None:
    """Return the number of a task's latest attempt and the last bytes of its output; None if there is no output."""
    try:
        suffixes = [name.partition(".")[2] for name in os.listdir(root / job) if name.startswith(f"{index}.")]
    except OSError:
        return None
    attempts = [int(suffix) for suffix in suffixes if suffix.isdigit()]
    if not attempts:
        return None
    attempt_path = attempt_directory(root, job, index, max(attempts))
    data = b""
    for name in (CURRENT_FILE, PREVIOUS_FILE):
        with contextlib.suppress(OSError), open(attempt_path / name, "rb") as file:
            size = file.seek(0, os.SEEK_END)
            file.seek(max(0, size - (max_bytes - len(data))))
            data = file.read(max_bytes - len(data)) + data
    return max(attempts), data


def prune(root: Path, in_use: set[Path]) -> None:
    """Remove the oldest outputs beyond `MAX_KEPT_OUTPUTS`, except those in use."""
    try:
        directories = [
            (attempt_path.stat().st_mtime, attempt_path)
            for job in os.scandir(root)
            for attempt_path in Path(job.path).iterdir()
        ]
    except OSError:
        return
    directories.sort()
    for _, attempt_path in directories[: max(0, len(directories) - MAX_KEPT_OUTPUTS)]:
        if attempt_path not in in_use:
            shutil.rmtree(attempt_path, ignore_errors=True)
            with contextlib.suppress(OSError):
                attempt_path.parent.rmdir()
