"""The store's decisions: conditions, revisions, leases; one thread writes, several transactions in one sync.

A change is answered only once it is on the disk. When the disk refuses (full, say), what was asked for in that sync
is refused as a whole, nothing that was answered is lost, and the next sync tries anew.
"""

from __future__ import annotations

import contextlib
import logging
import queue
import sqlite3
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from tidebend.faults import point
from tidebend.kvstore.disk_log import DirectoryLock, connect, open_checked, rows_from
from tidebend.kvstore.leases import Leases
from tidebend.kvstore.watch_feed import Changed, Feed

log = logging.getLogger("store")

MOST_IN_A_SYNC = 256
MOST_WAITING = 4096
READERS = 4
# of `all_items`; what is longer is read on
PAGE = 1000
PAGE_BYTES = 1024 * 1024
# leases may end up to 100 ms late
TICK_S = 0.05
# a gap between two ticks that is longer than this is an outage: we stood still, and nobody could renew
STOOD_STILL_S = 1.0


class Failed(Exception):
    """Not executed, now: the disk refuses, or too much is waiting."""


class ConditionFailed(Exception):
    def __init__(self, keys: list[str], revision: int) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys
        self.revision = revision


class LeaseEnded(Exception):
    """A put names a lease that isn't there."""


@dataclass(frozen=True, slots=True)
class Write:
    key: str
    value: bytes | None  # JSON; None deletes
    lease: int | None = None


@dataclass(frozen=True, slots=True)
class Item:
    key: str
    value: Any
    version: int
    lease: int | None


@dataclass
class _Work:
    """Something to be done in a sync: `run` returns what it is answered with, or raises."""

    run: Callable[[_Sync], Any]
    answer: Future = field(default_factory=Future)


class _Sync:
    """One durable step: the works of several clients, each whole, in order."""

    def __init__(self, connection: sqlite3.Connection, leases: Leases, revision: int) -> None:
        self.connection = connection
        self.leases = leases
        self.revision = revision
        self.changed: list[Changed] = []
        self.after: list[Callable[[], None]] = []  # once it is durable

    def version(self, key: str) -> int:
        row = self.connection.execute("SELECT version FROM items WHERE key = ?", (key,)).fetchone()
        return row[0] if row else 0

    def put(self, key: str, value: bytes, lease: int | None) -> None:
        self.connection.execute("INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?)", (key, value, self.revision, lease))
        self.changed.append(Changed(key, value, self.revision))

    def delete(self, key: str) -> None:
        if self.connection.execute("DELETE FROM items WHERE key = ?", (key,)).rowcount:
            self.changed.append(Changed(key, None, self.revision))


class Engine:
    def __init__(self, directory: Path) -> None:
        """Raises Held, Damaged or Failed."""
        self._lock = DirectoryLock(directory)
        try:
            self._connection = open_checked(directory)
            facts = dict(self._connection.execute("SELECT name, value FROM facts"))
            self._last_lease: int = facts["lease"]
            self.leases = Leases(dict(self._connection.execute("SELECT id, life_ms FROM leases")))
            self.feed = Feed(facts["revision"])
            self._readers: queue.LifoQueue[sqlite3.Connection] = queue.LifoQueue()
            for _ in range(READERS):
                self._readers.put(connect(directory, read_only=True))
        except sqlite3.OperationalError as error:
            self._lock.release()
            raise Failed(str(error)) from error
        except Exception:
            self._lock.release()
            raise
        self._works: queue.Queue[_Work | None] = queue.Queue(MOST_WAITING)
        self.syncs = 0
        self.failing: str | None = None  # why the disk refuses, while it does
        self._writer = threading.Thread(target=self._write, name="store", daemon=True)
        self._writer.start()

    # Changes

    def transact(self, conditions: dict[str, int], writes: list[Write], timeout: float = 5.0) -> int:
        """The revision; raises ConditionFailed, LeaseEnded, Failed, or TimeoutError if the outcome isn't known yet."""

        def run(sync: _Sync) -> int:
            # by the protocol a lease that has ended counts before the conditions do
            if any(write.lease is not None and not sync.leases.lives(write.lease) for write in writes):
                raise LeaseEnded
            failed = [key for key, version in conditions.items() if sync.version(key) != version]
            if failed:
                raise ConditionFailed(failed, sync.revision)
            if writes:
                sync.revision += 1
            for write in writes:
                if write.value is None:
                    sync.delete(write.key)
                else:
                    sync.put(write.key, write.value, write.lease)
            return sync.revision

        return self._ask(run, timeout)

    def grant(self, life_ms: int, timeout: float = 5.0) -> int:
        def run(sync: _Sync) -> int:
            # numbers are never used again, not even after a restart
            number = self._last_lease + 1
            sync.connection.execute("UPDATE facts SET value = ? WHERE name = 'lease'", (number,))
            sync.connection.execute("INSERT INTO leases VALUES (?, ?)", (number, life_ms))
            self._last_lease = number
            sync.after.append(lambda: self.leases.add(number, life_ms))
            return number

        return self._ask(run, timeout)

    def end_lease(self, number: int, timeout: float = 5.0) -> bool:
        if not self.leases.end(number):
            return False
        self._ask(self._end_leases, timeout)
        return True

    def _end_leases(self, sync: _Sync) -> None:
        ending = self.leases.run_out()
        for number in sorted(ending):
            keys = [row[0] for row in sync.connection.execute("SELECT key FROM items WHERE lease = ?", (number,))]
            if keys:
                sync.revision += 1
            for key in keys:
                sync.delete(key)
            sync.connection.execute("DELETE FROM leases WHERE id = ?", (number,))
        if ending:
            sync.after.append(lambda: self.leases.ended(ending))

    def _ask(self, run: Callable[[_Sync], Any], timeout: float) -> Any:
        work = _Work(run)
        try:
            self._works.put_nowait(work)
        except queue.Full:
            raise Failed("too many changes are waiting") from None
        return work.answer.result(timeout)

    # The writing thread

    def _write(self) -> None:
        last = time.monotonic()
        while True:
            works, closing = self._next()
            now = time.monotonic()
            if now - last > STOOD_STILL_S:
                log.info("stood still for %.1f s: all leases have their full time again", now - last)
                self.leases.full_time_again()
            last = now
            if self.leases.run_out():
                works.append(_Work(self._end_leases))
            if works:
                self._sync(works)
                last = max(last, time.monotonic() - STOOD_STILL_S)  # a slow disk isn't a standstill
            if closing:
                return

    def _next(self) -> tuple[list[_Work], bool]:
        """What is waiting, or nothing after a tick; and whether the end has come."""
        works: list[_Work] = []
        with contextlib.suppress(queue.Empty):
            work = self._works.get(timeout=TICK_S)
            while work is not None:
                works.append(work)
                if len(works) >= MOST_IN_A_SYNC:
                    return works, False
                work = self._works.get_nowait()
            return works, True
        return works, False

    def _sync(self, works: list[_Work]) -> None:
        sync = _Sync(self._connection, self.leases, self.feed.revision)
        last_lease = self._last_lease
        outcomes: list[tuple[_Work, Any, Exception | None]] = []
        try:
            self._connection.execute("BEGIN IMMEDIATE")
            for work in works:
                try:
                    outcomes.append((work, work.run(sync), None))
                except (ConditionFailed, LeaseEnded) as refusal:
                    outcomes.append((work, None, refusal))  # raised before its first write
            if sync.revision != self.feed.revision:
                self._connection.execute("UPDATE facts SET value = ? WHERE name = 'revision'", (sync.revision,))
            point("store.before-commit")
            self._connection.execute("COMMIT")
            point("store.after-commit")
        except sqlite3.Error as error:
            self._roll_back(error)
            self._last_lease = last_lease
            for work in works:
                work.answer.set_exception(Failed(str(error)))
            return
        self.syncs += 1
        if self.failing:
            log.info("the disk takes changes again")
            self.failing = None
            self.leases.full_time_again()  # it was an outage for those who renew by writing
        for step in sync.after:
            step()
        # watches learn of it before it is answered, so that a read after the answer has it
        self.feed.publish(sync.changed, sync.revision)
        for work, value, refusal in outcomes:
            if refusal is not None:
                work.answer.set_exception(refusal)
            else:
                work.answer.set_result(value)

    def _roll_back(self, error: sqlite3.Error) -> None:
        if self.failing != str(error):
            log.error("the disk refuses changes: %s", error)
            self.failing = str(error)
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error as second:
            log.error("rollback: %s", second)
        time.sleep(TICK_S)  # no busy loop on a disk that is full

    # Reads: of what is durable, since nothing else is seen by another connection

    def _read(self, work: Callable[[sqlite3.Connection], Any]) -> Any:
        try:
            connection = self._readers.get(timeout=2.0)
        except queue.Empty:
            raise Failed("too many reads are waiting") from None
        try:
            connection.execute("BEGIN")
            try:
                return work(connection)
            finally:
                connection.execute("COMMIT")
        except sqlite3.Error as error:
            raise Failed(str(error)) from error
        finally:
            self._readers.put(connection)

    def get(self, key: str) -> tuple[Item | None, int]:
        """The item and the revision at which it was read."""

        def work(connection: sqlite3.Connection) -> tuple[Item | None, int]:
            row = connection.execute("SELECT value, version, lease FROM items WHERE key = ?", (key,)).fetchone()
            item = Item(key, msgspec.json.decode(row[0]), row[1], row[2]) if row else None
            return item, self._revision(connection)

        return self._read(work)

    def items(self, prefix: str, after: str, most: int, most_bytes: int) -> tuple[list[Item], bool, int]:
        """Items in key order, whether there are more, and the revision; all as of that revision."""

        def work(connection: sqlite3.Connection) -> tuple[list[Item], bool, int]:
            revision = self._revision(connection)
            found: list[Item] = []
            size = 0
            for key, value, version, lease in rows_from(connection, prefix, after):
                size += len(key) + len(value) + 64
                if len(found) >= most or (found and size > most_bytes):
                    return found, True, revision
                found.append(Item(key, msgspec.json.decode(value), version, lease))
            return found, False, revision

        return self._read(work)

    def all_items(self, prefix: str) -> Iterator[Item]:
        """All items under a prefix in key order, however many: read a page at a time, each as of its own revision.

        Raises Failed on the way if a page can't be read.
        """
        after = ""
        more = True
        while more:
            page, more, _ = self.items(prefix, after, PAGE, PAGE_BYTES)
            yield from page
            if page:
                after = page[-1].key

    def count(self, prefix: str) -> int:
        return self._read(
            lambda connection: connection.execute(
                "SELECT COUNT(*) FROM items WHERE key >= ? AND key < ?", (prefix, prefix + "\U0010ffff")
            ).fetchone()[0]
        )

    @staticmethod
    def _revision(connection: sqlite3.Connection) -> int:
        return connection.execute("SELECT value FROM facts WHERE name = 'revision'").fetchone()[0]

    def close(self) -> None:
        """What is waiting is done first; nothing is lost without this, since all that was answered is on the disk."""
        if not self._writer.is_alive():
            return
        self._works.put(None)
        self._writer.join(10.0)
        self.feed.close()
        while not self._readers.empty():
            self._readers.get().close()
        self._connection.close()
        self._lock.release()
