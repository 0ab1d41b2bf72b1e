"""Files that only their owner can read."""

from __future__ import annotations

import os
import secrets
from pathlib import Path


def write_private(path: Path, data: bytes) -> None:
    """Write a file atomically and durably; only its owner can read it at any time."""
    temporary = path.with_name(f"{path.name}.{secrets.token_hex(4)}")
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(file, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    os.replace(temporary, path)
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
