"""Alias for the time of joining: see `directory_lock` and `errors`."""

from tidebend.kvstore.directory_lock import DirectoryLock
from tidebend.kvstore.errors import DirectoryLockedError

Held = DirectoryLockedError

__all__ = ["DirectoryLock", "Held"]
