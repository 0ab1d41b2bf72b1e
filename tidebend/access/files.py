"""Files that only their owner can read."""

from __future__ import annotations

import os
import secrets
from pathlib import Path


def write_private(path: Path, data: bytes) -> None:
    """Whole or not at all, on the disk when it returns, and readable by its owner alone at any moment."""
    beside = path.with_name(f"{path.name}.{secrets.token_hex(4)}")
    file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(file, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    os.replace(beside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
