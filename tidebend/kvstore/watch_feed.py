"""The most recent changes, for watches: a history bounded in number and bytes."""

from __future__ import annotations

import threading
import time
from collections import deque

from tidebend.kvstore.errors import RevisionTooOldError
from tidebend.kvstore.records import Change

# A watch that is further behind gets RevisionTooOldError, and has to read its keys again.
MAX_CHANGES = 10_000
MAX_BYTES = 32 * 1024 * 1024  # of keys and values


class WatchFeed:
    """Keeps the most recent changes and wakes the watches that wait for them. Thread-safe.

    Guarantees: a watch that continues from the returned revision sees each change exactly once and in order, or gets
    RevisionTooOldError.
    """

    def __init__(self, revision: int) -> None:
        """Begin an empty history after `revision`; earlier changes aren't available."""
        self._changes: deque[Change] = deque()
        self._bytes = 0
        self._discarded_revision = revision  # all later changes are in the history
        self.revision = revision
        self._published = threading.Condition()
        self._closed = False

    def publish(self, changes: list[Change], revision: int) -> None:
        """Append durable changes, in order, and advance to `revision`."""
        with self._published:
            for change in changes:
                self._changes.append(change)
                self._bytes += _size(change)
            while len(self._changes) > MAX_CHANGES or self._bytes > MAX_BYTES:
                dropped = self._changes.popleft()
                self._bytes -= _size(dropped)
                self._discarded_revision = dropped.version
            self.revision = revision
            self._published.notify_all()

    def close(self) -> None:
        """Wake all waiting watches; later calls don't wait."""
        with self._published:
            self._closed = True
            self._published.notify_all()

    def changes_since(self, prefix: str, revision: int, wait_s: float) -> tuple[list[Change], int]:
        """Return the changes under a prefix after a revision, and the revision to continue from.

        Waits up to `wait_s` seconds for a first change. Raises RevisionTooOldError.
        """
        deadline = time.monotonic() + wait_s
        with self._published:
            seen = revision
            while True:
                if revision < self._discarded_revision:
                    raise RevisionTooOldError
                found = self._after(prefix, seen)
                if found:
                    return found, self.revision
                # After the first pass only changes published since the previous pass are scanned.
                seen = max(seen, self.revision)
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self._closed:
                    return [], self.revision
                self._published.wait(remaining)

    def _after(self, prefix: str, revision: int) -> list[Change]:
        """Scan backwards from the last change, since a watch is rarely far behind. Caller holds the lock."""
        found = []
        for change in reversed(self._changes):
            if change.version <= revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]


def _size(change: Change) -> int:
    return len(change.value or b"") + len(change.key)
