"""Alias for the time of joining: see `database`, `directory_lock` and `errors`."""

from tidebend.kvstore.database import FILE, connect
from tidebend.kvstore.directory_lock import DirectoryLock
from tidebend.kvstore.errors import Damaged, Held

__all__ = ["FILE", "Damaged", "DirectoryLock", "Held", "connect"]
