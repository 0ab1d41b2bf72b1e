"""What tasks write, kept in files of bounded size: the newest of it, in two halves of which the older goes first."""

from __future__ import annotations

import contextlib
import os
import shutil
from pathlib import Path

NEWER, OLDER = "out", "out.1"
# outputs of so many starts are kept; the oldest go
KEPT = 500


class Output:
    """One start's output. For one thread; a disk that is full costs output, never the task."""

    def __init__(self, directory: Path, most_bytes: int) -> None:
        self.directory = directory
        self._half = max(512, most_bytes // 2)
        self._size = 0
        self._file = -1
        self.lost = 0  # bytes that the disk didn't take
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._open()

    def _open(self) -> None:
        with contextlib.suppress(OSError):
            self._file = os.open(self.directory / NEWER, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        self._size = 0

    def add(self, data: bytes) -> None:
        """Keep what a task has written."""
        while data:
            if self._size >= self._half:
                self.close()
                # Guards against an agent that stands still while a task fills its output: renaming over a file has some
                # file systems write the new one out at once, and on a busy disk that takes long.
                with contextlib.suppress(OSError):
                    (self.directory / OLDER).unlink(missing_ok=True)
                    (self.directory / NEWER).rename(self.directory / OLDER)
                self._open()
            part, data = data[: self._half - self._size], data[self._half - self._size :]
            try:
                self._size += os.write(self._file, part)
            except OSError:
                self.lost += len(part)

    def close(self) -> None:
        """Close the file."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def directory_of(root: Path, job: str, index: int, attempt: int) -> Path:
    """Return the directory of one start's output."""
    return root / job / f"{index}.{attempt}"


def read(root: Path, job: str, index: int, most_bytes: int) -> tuple[int, bytes] | None:
    """The newest start of a task: its attempt, and the last bytes of what it wrote. None if there is nothing here."""
    try:
        rests = [name.partition(".")[2] for name in os.listdir(root / job) if name.startswith(f"{index}.")]
    except OSError:
        return None
    starts = [int(rest) for rest in rests if rest.isdigit()]
    if not starts:
        return None
    place = directory_of(root, job, index, max(starts))
    data = b""
    for name in (NEWER, OLDER):
        with contextlib.suppress(OSError), open(place / name, "rb") as file:
            size = file.seek(0, os.SEEK_END)
            file.seek(max(0, size - (most_bytes - len(data))))
            data = file.read(most_bytes - len(data)) + data
    return max(starts), data


def prune(root: Path, busy: set[Path]) -> None:
    """Keep the newest; `busy` is in use."""
    try:
        places = [(place.stat().st_mtime, place) for job in os.scandir(root) for place in Path(job.path).iterdir()]
    except OSError:
        return
    places.sort()
    for _, place in places[: max(0, len(places) - KEPT)]:
        if place not in busy:
            shutil.rmtree(place, ignore_errors=True)
            with contextlib.suppress(OSError):
                place.parent.rmdir()
