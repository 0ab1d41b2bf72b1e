"""A cache of the live keys that knows how old it is."""

from __future__ import annotations

import contextlib
import logging
import math
import random
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Any

from tidebend.kvclient.client import FLOORS, KeyValueClient
from tidebend.kvclient.errors import NotExecutedError, OutcomeUnknownError
from tidebend.kvclient.keys import FINAL, LIVE, PREFIX
from tidebend.protocol import Write

log = logging.getLogger("storage")

# after so many reads in a row that failed, polls are read for as claims are
MOST_MISSED = 3


class WatchCache:
    """A cache of every key under LIVE, fed by a watch and by reads on demand; finals are only passed on.

    `on_change(key, value, version)` is called under `lock`, for each newer version once.
    """

    def __init__(
        self,
        state: KeyValueClient,
        on_change: Callable[[str, Any, int], None],
        lock: threading.RLock,
        watch_s: float,
        retry_s: float,
    ) -> None:
        self.state = state
        self.lock = lock
        self.loaded = threading.Event()
        self.watched = -1e9  # steady time at which the watch last brought an answer
        # Steady time at which the last completed read began: what was confirmed to anybody before that is in the cache,
        # what came later need not be. Nothing else makes the cache younger: not a renewed lease, not a write of ours,
        # not a watch that still waits, which proves no more than what it began with.
        self.as_of = -1e9
        self._on_change = on_change
        self.watch_s = watch_s  # for so long a watch waits
        self._retry_s = retry_s  # after one that failed the next begins this much later, give or take half
        self._items: dict[str, tuple[Any, int]] = {}
        # deleted keys: the version of the deletion and the steady time at which it was taken over, the oldest first
        self._tombstones: OrderedDict[str, tuple[int, float]] = OrderedDict()
        # requests under way whose answers will be taken over -> steady time at which each began
        self._requests_under_way: dict[object, float] = {}
        self._revision = 0
        self._read = threading.Condition()
        self._wanted = self._begun = self._succeeded = self._failed = 0
        self._kind = "poll"  # the best of the kinds that wait for the next read

    def start(self) -> None:
        threading.Thread(target=self._watch, name="watch", daemon=True).start()
        threading.Thread(target=self._reader, name="barrier", daemon=True).start()

    def get(self, key: str) -> tuple[Any, int]:
        with self.lock:
            return self._items.get(key, (None, 0))

    def under(self, prefix: str) -> dict[str, tuple[Any, int]]:
        with self.lock:
            return {key: item for key, item in self._items.items() if key.startswith(prefix)}

    def apply(self, rows: list[tuple[str, Any, int]]) -> None:
        """Take over changes; older ones than those known are dropped, in whatever order they come."""
        with self.lock:
            for key, value, version in rows:
                if key.startswith(FINAL):
                    self._on_change(key, value, version)
                    continue
                if version <= self._items.get(key, (None, 0))[1] or version <= self._tombstones.get(key, (0, 0.0))[0]:
                    continue
                if value is None:
                    self._items.pop(key, None)
                    # guards against an answer that was under way while the key was deleted
                    self._tombstones[key] = (version, time.monotonic())
                    self._tombstones.move_to_end(key)
                else:
                    self._tombstones.pop(key, None)
                    self._items[key] = (value, version)
                self._on_change(key, value, version)
            self._prune_tombstones()

    def _prune_tombstones(self) -> None:
        """Forget deletions that no answer can undo any more; called under the lock.

        An answer is older than a deletion only if its request was under way when the deletion was taken over. So what
        is kept is bounded by what is deleted while one request lasts, not by a number.
        """
        oldest_request = min(self._requests_under_way.values(), default=math.inf)
        while self._tombstones:
            key = next(iter(self._tombstones))
            if self._tombstones[key][1] >= oldest_request:
                break
            del self._tombstones[key]

    @contextlib.contextmanager
    def _request_under_way(self) -> Iterator[None]:
        """Keep the tombstones that the answer to a request begun now may need, until it is taken over."""
        request = object()
        with self.lock:
            self._requests_under_way[request] = time.monotonic()
        try:
            yield
        finally:
            with self.lock:
                del self._requests_under_way[request]

    def write(self, conditions: dict[str, int], writes: list[Write], kind: str = "claim", patience: float = 0.5) -> int:
        """Change the records, then the cache by the same changes; raises as `KeyValueClient.transact` does."""
        with self._request_under_way():
            revision = self.state.transact(conditions, writes, kind, patience)
            with self.lock:
                # Guards against an answer that a read has overtaken: the cache has this change already, and what has
                # become of it since. A whole read tells of no deletions, so that a job that was over by then came back
                # for good.
                if revision > self._revision:
                    self.apply([(key, value, revision) for key, value, _ in writes])
        return revision

    def _load(self) -> None:
        """Read everything, as of one revision.

        Pages are read one after the other, and the store moves on between them: what has changed since the first is
        read as well before any of it is taken over, so that a team's record is never seen without its jobs'.
        """
        rows: dict[str, tuple[Any, int]] = {}
        after: str | None = None
        revision: int | None = None
        paged = False
        while True:
            page, more, newest = self.state.items(LIVE, after)
            revision = newest if revision is None else revision
            rows.update((key, (value, version)) for key, value, version in page)
            if not more or not page:
                break
            after = page[-1][0]
            paged = True
        finals = []
        if paged:
            result = self.state.changes(PREFIX, revision, 0.0, "claim")
            if result is None:
                raise NotExecutedError("the store moves on faster than it can be read")
            moved, revision = result
            for key, value, version in moved:
                if key.startswith(FINAL):
                    finals.append((key, value, version))
                elif value is None:
                    rows.pop(key, None)
                else:
                    rows[key] = (value, version)
        with self.lock:
            gone = [
                (key, None, revision)
                for key, (_, version) in self._items.items()
                if key not in rows and version < revision
            ]
            self.apply([(key, value, version) for key, (value, version) in rows.items()] + gone + finals)
            self._revision = max(self._revision, revision)
        self.loaded.set()

    def catch_up(self, wait_s: float, kind: str) -> None:
        """Bring the cache up to a read begun now, which waits for news for so long; raises as the client does."""
        began = time.monotonic()
        with self._request_under_way():
            with self.lock:
                revision = self._revision
            result = self.state.changes(PREFIX, revision, wait_s, kind) if self.loaded.is_set() else None
            if result is None:
                began = time.monotonic()
                self._load()
            else:
                rows, newest = result
                with self.lock:
                    self.apply(rows)
                    self._revision = max(self._revision, newest)
        with self.lock:
            self.as_of = max(self.as_of, began)

    @property
    def age_s(self) -> float:
        """How long ago the last completed read began: the staleness of the cache."""
        return time.monotonic() - self.as_of

    def _watch(self) -> None:
        while True:
            try:
                self.catch_up(self.watch_s, "claim")
                self.watched = time.monotonic()
                time.sleep(self.state.watch_pause_s)
            except (NotExecutedError, OutcomeUnknownError) as error:
                log.info("watch: %s", error)
                time.sleep(random.uniform(0.5, 1.5) * self._retry_s)

    def _reader(self) -> None:
        """Reads on demand, one at a time, each for all that wait when it begins.

        What only polls wait for begins no sooner than a pause after the last one, and joins all that come meanwhile.
        Guards against users who ask often: each poll's read went off by itself, and together they took what the
        service has for leases, claims and submissions.
        """
        poll_at = -1e9  # steady time from which a read for polls alone may begin
        missed = 0  # reads that failed in a row
        while True:
            with self._read:
                while self._wanted <= self._begun:
                    self._read.wait()
                while self._kind == "poll" and (left := poll_at - time.monotonic()) > 0:
                    self._read.wait(left)
                self._begun += 1
                number = self._begun
                kind, self._kind = self._kind, "poll"
            poll_at = time.monotonic() + self.state.poll_pause_s
            if kind == "poll" and missed >= MOST_MISSED:
                kind = "claim"  # guards against polls that wait behind claims for as long as these go on
            try:
                self.catch_up(0.0, kind)
                fine = True
            except (NotExecutedError, OutcomeUnknownError) as error:
                log.debug("barrier: %s", error)
                fine = False
            missed = 0 if fine else missed + 1
            with self._read:
                if fine:
                    self._succeeded = number
                else:
                    self._failed = number
                self._read.notify_all()

    def barrier(self, timeout: float, kind: str = "poll") -> bool:
        """Bring the cache up to a read begun after this call; reads are shared by those who wait."""
        deadline = time.monotonic() + timeout
        with self._read:
            number = self._begun + 1
            self._wanted = max(self._wanted, number)
            if FLOORS[kind] < FLOORS[self._kind]:
                self._kind = kind
            self._read.notify_all()
            while self._succeeded < number and self._failed < number:
                left = deadline - time.monotonic()
                if left <= 0 or not self._read.wait(left):
                    break
            return self._succeeded >= number
