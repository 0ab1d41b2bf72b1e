"""The last changes, for watches: bounded in number and bytes."""

from __future__ import annotations

import threading
import time
from collections import deque

from tidebend.kvstore.errors import RevisionTooOldError
from tidebend.kvstore.records import Change

# Whoever is further behind is told so (RevisionTooOldError), and reads all keys again.
MAX_CHANGES = 10_000
MOST_BYTES = 32 * 1024 * 1024  # of keys and values


class WatchFeed:
    """Keeps the last changes and wakes whoever waits for them. Safe for use by several threads.

    Guarantees: a watch that continues from the revision it was given sees each change once, in order, or is told that
    it is too far behind.
    """

    def __init__(self, revision: int) -> None:
        """Changes up to `revision` aren't known here."""
        self._changes: deque[Change] = deque()
        self._bytes = 0
        self._floor = revision  # all later changes are known
        self.revision = revision
        self._news = threading.Condition()
        self._closed = False

    def publish(self, changes: list[Change], revision: int) -> None:
        """Add changes that are durable, in order, up to a revision."""
        with self._news:
            for change in changes:
                self._changes.append(change)
                self._bytes += _size(change)
            while len(self._changes) > MAX_CHANGES or self._bytes > MOST_BYTES:
                dropped = self._changes.popleft()
                self._bytes -= _size(dropped)
                self._floor = dropped.version
            self.revision = revision
            self._news.notify_all()

    def close(self) -> None:
        """Wake all who wait; nobody waits any more."""
        with self._news:
            self._closed = True
            self._news.notify_all()

    def changes_since(self, prefix: str, revision: int, wait_s: float) -> tuple[list[Change], int]:
        """Changes under a prefix after a revision, waited for up to `wait_s`, and the revision to continue from.

        Raises RevisionTooOldError.
        """
        deadline = time.monotonic() + wait_s
        with self._news:
            seen = revision
            while True:
                if revision < self._floor:
                    raise RevisionTooOldError
                found = self._after(prefix, seen)
                if found:
                    return found, self.revision
                # the first look reaches back to `revision`; later ones only at what has come since the last
                seen = max(seen, self.revision)
                left = deadline - time.monotonic()
                if left <= 0 or self._closed:
                    return [], self.revision
                self._news.wait(left)

    def _after(self, prefix: str, revision: int) -> list[Change]:
        """Under the lock: from the last change backwards, since a watch is rarely far behind."""
        found = []
        for change in reversed(self._changes):
            if change.version <= revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]


def _size(change: Change) -> int:
    return len(change.value or b"") + len(change.key)
