"""Tombstones of deleted keys, kept as long as an answer older than the deletion may still arrive."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from typing import NamedTuple


class Tombstone(NamedTuple):
    """A key's deletion: its version, and the monotonic time at which it was applied."""

    version: int
    deleted_at: float


NO_TOMBSTONE = Tombstone(0, 0.0)


class Tombstones:
    """Tombstones, and the pending requests that need them. Must be used under the cache's lock."""

    def __init__(self) -> None:
        """Initially there are neither tombstones nor pending requests."""
        self._tombstones: OrderedDict[str, Tombstone] = OrderedDict()  # oldest first
        self._pending_requests: dict[object, float] = {}  # request -> monotonic time at which it began

    def __len__(self) -> int:
        """Return the number of tombstones."""
        return len(self._tombstones)

    def version(self, key: str) -> int:
        """Return the version of the key's deletion; 0 without a tombstone."""
        return self._tombstones.get(key, NO_TOMBSTONE).version

    def record(self, key: str, version: int) -> None:
        """Add a tombstone for a key that was deleted with that version."""
        self._tombstones[key] = Tombstone(version, time.monotonic())
        self._tombstones.move_to_end(key)

    def discard(self, key: str) -> None:
        """Remove the tombstone of a key that exists again."""
        self._tombstones.pop(key, None)

    def begin_request(self) -> object:
        """Register a request that begins now and whose answer will be applied; return its handle."""
        request = object()
        self._pending_requests[request] = time.monotonic()
        return request

    def end_request(self, request: object) -> None:
        """Unregister a request whose answer was applied or will never be."""
        del self._pending_requests[request]

    def prune(self) -> None:
        """Remove the tombstones that no pending answer can conflict with.

        An answer is older than a deletion only if its request was pending when the deletion was applied. So the number
        of tombstones is bounded by the deletions during one request, not by a constant.
        """
        oldest_request = min(self._pending_requests.values(), default=math.inf)
        while self._tombstones:
            key = next(iter(self._tombstones))
            if self._tombstones[key].deleted_at >= oldest_request:
                break
            del self._tombstones[key]
