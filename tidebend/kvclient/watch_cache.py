"""A cache of the live keys that knows how old it is."""

from __future__ import annotations

import contextlib
import logging
import random
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from tidebend.kvclient.client import DEFAULT_WRITE_RETRY_S, KeyValueClient
from tidebend.kvclient.errors import NotExecutedError, OutcomeUnknownError
from tidebend.kvclient.keys import FINAL, PREFIX
from tidebend.kvclient.read_barrier import ReadBarrier
from tidebend.kvclient.request_kinds import RequestKind
from tidebend.kvclient.results import ABSENT, Row, VersionedValue
from tidebend.kvclient.snapshot import Snapshot, read_snapshot
from tidebend.kvclient.steady_time import NEVER
from tidebend.kvclient.tombstones import Tombstones
from tidebend.protocol import Write

log = logging.getLogger("kvclient")


class WatchCache:
    """A cache of every key under LIVE, fed by a watch and by reads on demand; finals are only passed on.

    `on_change(key, value, version)` is called under `lock`, for each newer version once; a value of None is a deletion.
    """

    def __init__(
        self,
        client: KeyValueClient,
        on_change: Callable[[str, Any, int], None],
        lock: threading.RLock,
        watch_s: float,
        retry_pause_s: float,
    ) -> None:
        """`watch_s`: for so long a watch waits; `retry_pause_s`: from a failed one to the next, give or take half."""
        self.client = client
        self.lock = lock
        self.loaded = threading.Event()  # set once everything has been read
        self.watched = NEVER  # steady time at which the watch last brought an answer
        # Steady time at which the last completed read began: what was confirmed to anybody before that is in the cache,
        # what came later need not be. Nothing else makes the cache younger: not a renewed lease, not a write of ours,
        # not a watch that still waits, which proves no more than what it began with.
        self.as_of = NEVER
        self.watch_s = watch_s
        self._on_change = on_change
        self._retry_pause_s = retry_pause_s
        self._items: dict[str, VersionedValue] = {}
        self._tombstones = Tombstones()
        self._revision = 0  # up to which all changes are in the cache
        self.read_barrier = ReadBarrier(lambda kind: self.catch_up(0.0, kind), lambda: self.client.poll_read_interval_s)

    def start(self) -> None:
        """Start the threads that watch and that read on demand."""
        threading.Thread(target=self._watch, name="watch", daemon=True).start()
        threading.Thread(target=self.read_barrier.run, name="barrier", daemon=True).start()

    @property
    def revision(self) -> int:
        """The revision of the key-value store as of which the cache has been read."""
        with self.lock:
            return self._revision

    @property
    def age_s(self) -> float:
        """How long ago the last completed read began: the staleness of the cache."""
        return time.monotonic() - self.as_of

    def get(self, key: str) -> VersionedValue:
        """The value and its version, ABSENT if there is no such key."""
        with self.lock:
            return self._items.get(key, ABSENT)

    def get_by_prefix(self, prefix: str) -> dict[str, VersionedValue]:
        """The values and versions of all keys with a prefix; looks at each key of the cache."""
        with self.lock:
            return {key: item for key, item in self._items.items() if key.startswith(prefix)}

    def apply(self, rows: Iterable[Row]) -> None:
        """Take over changes; older ones than those known are dropped, in whatever order they come."""
        with self.lock:
            for key, value, version in rows:
                if key.startswith(FINAL) or self._update_item(key, value, version):
                    self._on_change(key, value, version)
            self._tombstones.prune()

    def _update_item(self, key: str, value: Any, version: int) -> bool:
        """Take over one change, under the lock; False if it is no newer than what is known."""
        if version <= self._items.get(key, ABSENT).version or version <= self._tombstones.version(key):
            return False
        if value is None:
            self._items.pop(key, None)
            # guards against an answer that was under way while the key was deleted
            self._tombstones.record(key, version)
        else:
            self._tombstones.discard(key)
            self._items[key] = VersionedValue(value, version)
        return True

    @contextlib.contextmanager
    def _request_under_way(self) -> Iterator[None]:
        """Keep the tombstones that the answer to a request begun now may need, until it is taken over."""
        with self.lock:
            request = self._tombstones.begin_request()
        try:
            yield
        finally:
            with self.lock:
                self._tombstones.end_request(request)

    def write(
        self,
        conditions: dict[str, int],
        writes: list[Write],
        kind: str = RequestKind.CLAIM,
        retry_for_s: float = DEFAULT_WRITE_RETRY_S,
    ) -> int:
        """Change the records, then the cache by the same changes; raises as `KeyValueClient.transact` does."""
        with self._request_under_way():
            revision = self.client.transact(conditions, writes, kind, retry_for_s)
            with self.lock:
                # Guards against an answer that a read has overtaken: the cache has this change already, and what has
                # become of it since. A snapshot names no deletions, so that a job that was over by then came back for
                # good.
                if revision > self._revision:
                    self.apply([(key, value, revision) for key, value, _ in writes])
        return revision

    def catch_up(self, wait_s: float, kind: str) -> None:
        """Bring the cache up to a read begun now, which waits for changes for so long; raises as the client does."""
        began = time.monotonic()
        with self._request_under_way():
            with self.lock:
                revision = self._revision
            result = self.client.changes(PREFIX, revision, wait_s, kind) if self.loaded.is_set() else None
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

    def _load(self) -> None:
        """Read everything, and drop what isn't there any more."""
        snapshot = read_snapshot(self.client)
        with self.lock:
            self.apply(self._changes_to(snapshot))
            self._revision = max(self._revision, snapshot.revision)
        self.loaded.set()

    def _changes_to(self, snapshot: Snapshot) -> list[Row]:
        """The changes from the cache to a snapshot; called under the lock."""
        present = [(key, value, version) for key, (value, version) in snapshot.items.items()]
        deleted = [
            (key, None, snapshot.revision)
            for key, (_, version) in self._items.items()
            if key not in snapshot.items and version < snapshot.revision
        ]
        return present + deleted + snapshot.finals

    def _watch(self) -> None:
        while True:
            try:
                self.catch_up(self.watch_s, RequestKind.CLAIM)
                self.watched = time.monotonic()
                time.sleep(self.client.watch_pause_s)
            except (NotExecutedError, OutcomeUnknownError) as error:
                log.info("watch: %s", error)
                time.sleep(random.uniform(0.5, 1.5) * self._retry_pause_s)

    def barrier(self, timeout: float, kind: str = RequestKind.POLL) -> bool:
        """Bring the cache up to a read begun after this call; False if it failed or `timeout` seconds passed.

        Reads are shared by those who wait.
        """
        return self.read_barrier.wait(timeout, kind)
