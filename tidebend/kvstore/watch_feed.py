"""The last changes, for watches: bounded in number and bytes."""

from __future__ import annotations

import threading
import time
from collections import deque
from dataclasses import dataclass

# whoever is further behind is told so (TooOld), and reads all keys again
MOST_CHANGES = 10_000
MOST_BYTES = 32 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Changed:
    key: str
    value: bytes | None  # None: deleted
    version: int


class TooOld(Exception):
    """The changes since then aren't all known any more: the keys have to be read again."""


class Feed:
    def __init__(self, revision: int) -> None:
        self._rows: deque[Changed] = deque()
        self._bytes = 0
        self._floor = revision  # all later changes are known
        self.revision = revision
        self._news = threading.Condition()
        self._closed = False

    def publish(self, rows: list[Changed], revision: int) -> None:
        with self._news:
            for row in rows:
                self._rows.append(row)
                self._bytes += len(row.value or b"") + len(row.key)
            while len(self._rows) > MOST_CHANGES or self._bytes > MOST_BYTES:
                gone = self._rows.popleft()
                self._bytes -= len(gone.value or b"") + len(gone.key)
                self._floor = gone.version
            self.revision = revision
            self._news.notify_all()

    def close(self) -> None:
        with self._news:
            self._closed = True
            self._news.notify_all()

    def since(self, prefix: str, revision: int, wait_s: float) -> tuple[list[Changed], int]:
        """Changes under a prefix after a revision, waited for up to `wait_s`; raises TooOld."""
        deadline = time.monotonic() + wait_s
        with self._news:
            seen = revision
            while True:
                if revision < self._floor:
                    raise TooOld
                found = []
                for row in reversed(self._rows):
                    if row.version <= seen:
                        break
                    if row.key.startswith(prefix):
                        found.append(row)
                if found:
                    # the first look reaches back to `revision`; later ones only at what has come since the last
                    return found[::-1], self.revision
                seen = max(seen, self.revision)
                left = deadline - time.monotonic()
                if left <= 0 or self._closed:
                    return [], self.revision
                self._news.wait(left)
