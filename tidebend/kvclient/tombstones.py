"""Deleted keys, remembered for as long as an answer that is older than the deletion may still come."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from typing import NamedTuple


class Tombstone(NamedTuple):
    """A key's deletion: its version, and the steady time at which it was taken over."""

    version: int
    deleted_at: float


NO_TOMBSTONE = Tombstone(0, 0.0)


class Tombstones:
    """Tombstones, and the requests under way that they are kept for; to be used under the cache's lock."""

    def __init__(self) -> None:
        """Neither tombstones nor requests at first."""
        self._tombstones: OrderedDict[str, Tombstone] = OrderedDict()  # the oldest first
        self._requests_under_way: dict[object, float] = {}  # request -> steady time at which it began

    def __len__(self) -> int:
        """How many tombstones there are."""
        return len(self._tombstones)

    def version(self, key: str) -> int:
        """The version of the key's deletion; 0 if there is no tombstone."""
        return self._tombstones.get(key, NO_TOMBSTONE).version

    def record(self, key: str, version: int) -> None:
        """The key was deleted with that version."""
        self._tombstones[key] = Tombstone(version, time.monotonic())
        self._tombstones.move_to_end(key)

    def discard(self, key: str) -> None:
        """The key is there again."""
        self._tombstones.pop(key, None)

    def begin_request(self) -> object:
        """A request begins now whose answer will be taken over; returns its handle."""
        request = object()
        self._requests_under_way[request] = time.monotonic()
        return request

    def end_request(self, request: object) -> None:
        """A request's answer has been taken over, or won't come."""
        del self._requests_under_way[request]

    def prune(self) -> None:
        """Forget deletions that no answer can undo any more.

        An answer is older than a deletion only if its request was under way when the deletion was taken over. So what
        is kept is bounded by what is deleted while one request lasts, not by a number.
        """
        oldest_request = min(self._requests_under_way.values(), default=math.inf)
        while self._tombstones:
            key = next(iter(self._tombstones))
            if self._tombstones[key].deleted_at >= oldest_request:
                break
            del self._tombstones[key]
