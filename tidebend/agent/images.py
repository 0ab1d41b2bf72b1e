"""Images on this machine: directories filled by a job's `prepare` command and cached for later tasks."""

from __future__ import annotations

import os
import shutil
from pathlib import Path

READY_SUFFIX = ".ready"
# Beyond this number, the least recently used images are removed.
MAX_IMAGES = 10


class Images:
    """Cache of images, for one thread."""

    def __init__(self, root: Path) -> None:
        self._root = root

    def image_directory(self, image: str) -> Path:
        """Return an image's directory."""
        return self._root / image

    def is_ready(self, image: str) -> bool:
        """Return whether an image has been prepared completely."""
        return (self._root / f"{image}{READY_SUFFIX}").exists()

    def mark_used(self, image: str, in_use: set[str]) -> None:
        """Mark an image as used now, and remove the least recently used beyond `MAX_IMAGES` unless in use."""
        os.utime(self._root / f"{image}{READY_SUFFIX}")
        ready_files = sorted(
            self._root.glob(f"*{READY_SUFFIX}"), key=lambda ready_file: ready_file.stat().st_mtime_ns, reverse=True
        )
        for ready_file in ready_files[MAX_IMAGES:]:
            other = ready_file.name.removesuffix(READY_SUFFIX)
            if other not in in_use:
                ready_file.unlink()  # first, so that a partly removed image isn't taken for ready
                shutil.rmtree(self._root / other, ignore_errors=True)

    def create_directory(self, image: str) -> Path:
        """Create an empty directory for an image; removes what an interrupted preparation left."""
        directory = self.image_directory(image)
        shutil.rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        return directory

    def mark_ready(self, image: str) -> None:
        """Record that an image has been prepared completely."""
        (self._root / f"{image}{READY_SUFFIX}").touch()
