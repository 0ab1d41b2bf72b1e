"""Images on this machine: directories that a `prepare` command has made ready, kept for those who use them next."""

from __future__ import annotations

import os
import shutil
from pathlib import Path

READY = ".ready"
# the most recently used are kept
KEPT = 10


class Images:
    """For one thread."""

    def __init__(self, root: Path) -> None:
        self._root = root

    def place(self, image: str) -> Path:
        """Return an image's directory."""
        return self._root / image

    def ready(self, image: str) -> bool:
        """Whether an image has been made ready."""
        return (self._root / f"{image}{READY}").exists()

    def used(self, image: str, busy: set[str]) -> None:
        """Mark it as used just now, and remove the least recently used beyond those kept."""
        os.utime(self._root / f"{image}{READY}")
        marks = sorted(self._root.glob(f"*{READY}"), key=lambda mark: mark.stat().st_mtime_ns, reverse=True)
        for mark in marks[KEPT:]:
            other = mark.name.removesuffix(READY)
            if other not in busy:
                mark.unlink()  # first: what isn't whole isn't taken for ready
                shutil.rmtree(self._root / other, ignore_errors=True)

    def begin(self, image: str) -> Path:
        """An empty directory for it; what an interrupted preparation left is removed."""
        place = self.place(image)
        shutil.rmtree(place, ignore_errors=True)
        place.mkdir(parents=True)
        return place

    def done(self, image: str) -> None:
        """Record that an image is ready."""
        (self._root / f"{image}{READY}").touch()
