"""A watch cache of the live keys that tracks its staleness."""

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
from tidebend.kvclient.monotonic_time import NEVER
from tidebend.kvclient.read_barrier import ReadBarrier
from tidebend.kvclient.request_kinds import RequestKind
from tidebend.kvclient.results import ABSENT, Row, VersionedValue
from tidebend.kvclient.snapshot import Snapshot, read_snapshot
from tidebend.kvclient.tombstones import Tombstones
from tidebend.protocol import Write

log = logging.getLogger("kvclient")


class WatchCache:
    """A cache of all keys under LIVE, updated by a watch and by reads on demand.

    `on_change(key, value, version)` is called under `lock`, once for each newer version of a key; a value of None is a
    deletion. It is also called for keys under FINAL, which aren't cached.
    """

    def __init__(
        self,
        client: KeyValueClient,
        on_change: Callable[[str, Any, int], None],
        lock: threading.RLock,
        watch_s: float,
        retry_pause_s: float,
    ) -> None:
        """`watch_s`: maximum wait of a watch; `retry_pause_s`: mean pause after a failed one, +/- 50% at random."""
        self.client = client
        self.lock = lock
        self.loaded = threading.Event()  # set after the first complete read
        self.watched = NEVER  # monotonic time of the watch's last answer
        # Monotonic time at which the last completed read began. The cache contains every write that was confirmed to
        # any client before this time, but not necessarily later ones. Nothing else makes the cache fresher: not a
        # renewed lease, not a write by this controller, not a watch that is still waiting:
        # that proves no more than what had been read when the watch began.
        self.as_of = NEVER
        self.watch_s = watch_s
        self._on_change = on_change
        self._retry_pause_s = retry_pause_s
        self._items: dict[str, VersionedValue] = {}
        self._tombstones = Tombstones()
        self._revision = 0  # the cache contains all changes up to this revision
        self.read_barrier = ReadBarrier(lambda kind: self.catch_up(0.0, kind), lambda: self.client.poll_read_interval_s)

    def start(self) -> None:
        """Start the watch thread and the thread for reads on demand."""
        threading.Thread(target=self._watch, name="watch", daemon=True).start()
        threading.Thread(target=self.read_barrier.run, name="barrier", daemon=True).start()

    @property
    def revision(self) -> int:
        """The revision of the key-value store up to which the cache contains all changes."""
        with self.lock:
            return self._revision

    @property
    def age_s(self) -> float:
        """Staleness of the cache: seconds since the last completed read began."""
        return time.monotonic() - self.as_of

    def get(self, key: str) -> VersionedValue:
        """Return the value and its version; ABSENT if the key doesn't exist."""
        with self.lock:
            return self._items.get(key, ABSENT)

    def get_by_prefix(self, prefix: str) -> dict[str, VersionedValue]:
        """Return the values and versions of all keys with a prefix. Scans the whole cache."""
        with self.lock:
            return {key: item for key, item in self._items.items() if key.startswith(prefix)}

    def apply(self, rows: Iterable[Row]) -> None:
        """Apply changes in any order; those that aren't newer than the cached versions are ignored."""
        with self.lock:
            for key, value, version in rows:
                if key.startswith(FINAL) or self._update_item(key, value, version):
                    self._on_change(key, value, version)
            self._tombstones.prune()

    def _apply_newer(self, rows: Iterable[Row]) -> None:
        """Apply the changes that the cache doesn't contain by its revision; called under the lock.

        Other threads' reads may have overtaken the answer with these rows. Rows up to the cache's revision are then
        outdated, and there isn't a tombstone for each key that has been deleted since: a snapshot contains no
        deletions, so it leaves none for keys that weren't cached.
        """
        self.apply([row for row in rows if row[2] > self._revision])

    def _update_item(self, key: str, value: Any, version: int) -> bool:
        """Apply one change, under the lock; return False if it isn't newer than the cached version."""
        if version <= self._items.get(key, ABSENT).version or version <= self._tombstones.version(key):
            return False
        if value is None:
            self._items.pop(key, None)
            # A pending answer may still contain the deleted key.
            self._tombstones.record(key, version)
        else:
            self._tombstones.discard(key)
            self._items[key] = VersionedValue(value, version)
        return True

    @contextlib.contextmanager
    def _pending_request(self) -> Iterator[None]:
        """Keep the tombstones that the answer to a request begun now may need, until it is applied."""
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
        """Execute a transaction and apply its writes to the cache. Raises the errors of `KeyValueClient.transact`."""
        with self._pending_request():
            revision = self.client.transact(conditions, writes, kind, retry_for_s)
            with self.lock:
                self._apply_newer((key, value, revision) for key, value, _ in writes)
        return revision

    def catch_up(self, wait_s: float, kind: str) -> None:
        """Update the cache with a read that waits up to `wait_s` for changes. Raises the errors of the client."""
        began = time.monotonic()
        with self._pending_request():
            with self.lock:
                revision = self._revision
            result = self.client.changes(PREFIX, revision, wait_s, kind) if self.loaded.is_set() else None
            if result is None:
                began = time.monotonic()
                self._load()
            else:
                rows, newest = result
                with self.lock:
                    self._apply_newer(rows)
                    self._revision = max(self._revision, newest)
        with self.lock:
            self.as_of = max(self.as_of, began)

    def _load(self) -> None:
        """Read all live keys, and make them the content of the cache unless that is newer by now.

        Several threads may load at the same time, and the snapshots may arrive in any order.
        """
        snapshot = read_snapshot(self.client)
        with self.lock:
            log.info("loaded all live keys as of revision %d; had revision %d", snapshot.revision, self._revision)
            if snapshot.revision >= self._revision:
                self.apply(self._changes_to(snapshot))
                self._revision = snapshot.revision
            else:
                self.apply(snapshot.finals)
        self.loaded.set()

    def _changes_to(self, snapshot: Snapshot) -> list[Row]:
        """Return the changes that turn the cache into a snapshot; called under the lock."""
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
                log.info("watch failed: %s", error)
                time.sleep(random.uniform(0.5, 1.5) * self._retry_pause_s)

    def barrier(self, timeout: float, kind: str = RequestKind.POLL) -> bool:
        """Update the cache with a read that begins after this call.

        Threads that wait at the same time share one read. Returns False if it fails or after `timeout` seconds.
        """
        return self.read_barrier.wait(timeout, kind)
