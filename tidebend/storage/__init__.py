"""The state service's client, and a cache of its keys that knows how old it is."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from tidebend import protocol
from tidebend.protocol import Write
from tidebend.settings import Limits
from tidebend.transport import Budget, HttpClient, NoAnswer, Unreachable

log = logging.getLogger("storage")

# Everything of ours is watched; only what is live is read at the start, so that a long past costs nothing.
PREFIX = "tidebend/"
LIVE = PREFIX + "live/"
FINAL = PREFIX + "final/"


class Unavailable(Exception):
    """Not executed: refused, over budget, or no connection."""


class Unknown(Exception):
    """May have been executed, or may be later."""


class Conflict(Exception):
    """A condition failed."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


class NoSuchLease(Exception):
    """A put named a lease that has ended."""


class Refused(Unavailable):
    """Not executed, and not to be sent again as it is: a value or the whole is larger than the service takes now."""


# The share of a second's budget that must be left after a request of each kind. Renewals of our own lease
# aren't held back at all. Submissions are few, and their users wait for them: they find room when claims and ends
# don't, which may be late by a moment; polls come last.
FLOORS = {"lease": -1.0, "submit": 0.0, "claim": 0.2, "poll": 0.35}
# ... but a flood of submissions takes no more than this share of our changes
SUBMIT_SHARE = 0.5
# watches take no more than this share of the service's requests: changes that follow closely are read together
WATCH_SHARE = 0.25


class StateClient:
    def __init__(self, address: tuple[str, int], limits: Limits, controllers: int,
                 timeout: float, connect: Callable[..., HttpClient] = HttpClient) -> None:
        self._http = connect(address, keep=6)
        # A controller's share is more than an equal one, since the others seldom use theirs in the same second;
        # when they do, the service refuses, which is safe, and the refused back off.
        self._share = min(1.0, 1.8 / controllers)
        self._controllers = controllers
        self._requests = Budget(limits.rps * self._share)
        self._writes = Budget(limits.write_rps * self._share)
        self._submissions = Budget(SUBMIT_SHARE * self.writes_per_s)
        self.watch_pause_s = controllers / (WATCH_SHARE * limits.rps)
        self.timeout = timeout
        self.last_contact = -1e9  # steady time at which the last answered request was sent

    @property
    def writes_per_s(self) -> float:
        return self._writes.rate

    def keep_within(self, limits: Limits) -> None:
        self._requests.change(limits.rps * self._share)
        self._writes.change(limits.write_rps * self._share)
        self._submissions.change(SUBMIT_SHARE * self.writes_per_s)
        self.watch_pause_s = self._controllers / (WATCH_SHARE * limits.rps)

    def _call(self, method: str, path: str, body: Any, kind: str, writes: int = 0, timeout: float = 0.0,
              patience: float = 0.0) -> tuple[int, Any]:
        deadline = time.monotonic() + patience
        floor = FLOORS[kind]
        if kind == "submit" and not self._submissions.take(writes):
            raise Unavailable("over budget")
        while True:
            if self._requests.take(1.0, floor):
                if not writes or self._writes.take(writes, floor):
                    sent = time.monotonic()
                    try:
                        status, answer = self._http.request(method, path, body, timeout or self.timeout)
                    except Unreachable as error:
                        raise Unavailable(str(error)) from error
                    except NoAnswer as error:
                        raise Unknown(str(error)) from error
                    if status != 429:
                        break
                    # not executed; our share is more than an equal one, and the others have used theirs
                else:
                    self._requests.give_back(1.0)
            if time.monotonic() >= deadline:
                raise Unavailable("over budget")
            time.sleep(random.uniform(0.5, 1.5) / self._requests.rate)
        if status == 503:
            raise Unavailable("refused")
        self.last_contact = max(self.last_contact, sent)
        return status, answer

    def transact(self, conditions: dict[str, int], writes: list[Write], kind: str = "claim",
                 patience: float = 0.5) -> int:
        """Returns the revision; raises Conflict, NoSuchLease, Refused, Unavailable or Unknown."""
        log.debug("%s: %d changes of %s", kind, len(writes), " ".join(key for key, _, _ in writes))
        status, answer = self._call("POST", protocol.PATH_TRANSACTION, protocol.transaction(conditions, writes),
                                    kind, len(writes), patience=patience)
        try:
            if status == 200:
                return protocol.parse_revision(answer)
            if status == 409:
                raise Conflict([str(key) for key in (answer or {}).get("failed", [])])
        except protocol.Invalid as error:
            raise Unknown(str(error)) from error
        if status == 400 and isinstance(answer, dict) and answer.get("error") == "no such lease":
            raise NoSuchLease
        if status == 400:
            log.error("state service: a transaction of %d changes is refused: %s", len(writes), answer)
            raise Refused("refused by its size")
        log.error("state service: unexpected %s to a transaction: %s", status, answer)
        raise Unknown(f"unexpected status {status}")

    def get(self, key: str, kind: str = "poll", patience: float = 0.0) -> tuple[Any, int]:
        """The value and its version, (None, 0) if there is no such key."""
        status, answer = self._call("GET", protocol.key_path(key), None, kind, patience=patience)
        if status == 404:
            return None, 0
        if status != 200:
            raise Unknown(f"unexpected status {status}")
        try:
            return protocol.parse_item(answer)
        except protocol.Invalid as error:
            raise Unknown(str(error)) from error

    def items(self, prefix: str, after: str | None) -> tuple[list[tuple[str, Any, int]], bool, int]:
        status, answer = self._call("GET", protocol.range_path(prefix, after, 500), None, "claim",
                                    timeout=2 * self.timeout, patience=1.0)
        if status != 200:
            raise Unknown(f"unexpected status {status}")
        try:
            return protocol.parse_items(answer)
        except protocol.Invalid as error:
            raise Unknown(str(error)) from error

    def changes(self, prefix: str, revision: int, wait_s: float,
                kind: str) -> tuple[list[tuple[str, Any, int]], int] | None:
        """None if the revision is too old."""
        status, answer = self._call("GET", protocol.changes_path(prefix, revision, int(wait_s * 1000)), None, kind,
                                    timeout=wait_s + self.timeout)
        if status == 410:
            return None
        if status != 200:
            raise Unknown(f"unexpected status {status}")
        try:
            return protocol.parse_changes(answer)
        except (protocol.Invalid, KeyError, TypeError) as error:
            raise Unknown(str(error)) from error

    def grant_lease(self, seconds: float) -> int:
        status, answer = self._call("POST", protocol.PATH_LEASES, protocol.lease_request(seconds), "lease")
        if status != 200:
            raise Unknown(f"unexpected status {status}")
        try:
            return protocol.parse_lease(answer)
        except protocol.Invalid as error:
            raise Unknown(str(error)) from error

    def extend_lease(self, lease: int) -> bool:
        """False if the lease has ended."""
        status, _ = self._call("POST", protocol.lease_path(lease, "/extend"), None, "lease")
        if status == 404:
            return False
        if status != 200:
            raise Unknown(f"unexpected status {status}")
        return True


class Mirror:
    """A cache of every key under LIVE, fed by a watch and by reads on demand; finals are only passed on.

    `on_change(key, value, version)` is called under `lock`, for each newer version once.
    """

    KEEP_TOMBSTONES = 2000

    def __init__(self, state: StateClient, on_change: Callable[[str, Any, int], None],
                 lock: threading.RLock, watch_s: float) -> None:
        self.state = state
        self.lock = lock
        self.loaded = threading.Event()
        self._on_change = on_change
        self._watch_s = watch_s
        self._items: dict[str, tuple[Any, int]] = {}
        self._gone: OrderedDict[str, int] = OrderedDict()
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
                if version <= self._items.get(key, (None, 0))[1] or version <= self._gone.get(key, 0):
                    continue
                if value is None:
                    self._items.pop(key, None)
                    # guards against an answer that was under way while the key was deleted
                    self._gone[key] = version
                    self._gone.move_to_end(key)
                    while len(self._gone) > self.KEEP_TOMBSTONES:
                        self._gone.popitem(last=False)
                else:
                    self._gone.pop(key, None)
                    self._items[key] = (value, version)
                self._on_change(key, value, version)

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
                raise Unavailable("the store moves on faster than it can be read")
            moved, revision = result
            for key, value, version in moved:
                if key.startswith(FINAL):
                    finals.append((key, value, version))
                elif value is None:
                    rows.pop(key, None)
                else:
                    rows[key] = (value, version)
        with self.lock:
            gone = [(key, None, revision) for key, (_, version) in self._items.items()
                    if key not in rows and version < revision]
            self.apply([(key, value, version) for key, (value, version) in rows.items()] + gone + finals)
            self._revision = max(self._revision, revision)
        self.loaded.set()

    def catch_up(self, wait_s: float, kind: str) -> None:
        with self.lock:
            revision = self._revision
        result = self.state.changes(PREFIX, revision, wait_s, kind) if self.loaded.is_set() else None
        if result is None:
            self._load()
            return
        rows, newest = result
        with self.lock:
            self.apply(rows)
            self._revision = max(self._revision, newest)

    def _watch(self) -> None:
        while True:
            try:
                self.catch_up(self._watch_s, "claim")
                time.sleep(self.state.watch_pause_s)
            except (Unavailable, Unknown) as error:
                log.info("watch: %s", error)
                time.sleep(random.uniform(0.05, 0.15) * self._watch_s)

    def _reader(self) -> None:
        while True:
            with self._read:
                while self._wanted <= self._begun:
                    self._read.wait()
                self._begun += 1
                number = self._begun
                kind, self._kind = self._kind, "poll"
            try:
                self.catch_up(0.0, kind)
                fine = True
            except (Unavailable, Unknown) as error:
                log.debug("barrier: %s", error)
                fine = False
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
