"""The state service, as the page "Controller nodes -> state service" describes it."""

from __future__ import annotations

import threading
import time
from bisect import bisect_right
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from review.standin.web import Answer, serve

KEPT_CHANGES = 10_000
MAX_ITEMS = 1000


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        """Take an amount, or nothing if too little is left."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if amount > self.level:
            return False
        self.level -= amount
        return True


class Store:
    """Keys, transactions, leases and watches. Each controller has a port of its own, so that a test can tell them."""

    def __init__(self, names: list[str], rps: float, write_rps: float, txn_ops: int, value_kb: float) -> None:
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[dict[str, Any]] = []
        self.log_revisions: list[int] = []
        self.leases: dict[int, list[float]] = {}  # length, end
        self.changed = threading.Condition()
        self.rates = Bucket(rps), Bucket(write_rps)
        self.txn_ops = txn_ops
        self.latency_s = 0.003
        # controller, method, path -> how much later the answer to a request leaves, in seconds; for a test
        self.answer_late_s: Callable[[str, str, str], float] = lambda *_: 0.0
        # every request of these controllers is answered 503; their leases run out
        self.refused: set[str] = set()
        # every request is answered 503; no lease runs out
        self.is_out = False
        self._last_lease = 0
        self.ports = {name: serve(lambda *args, name=name: self._serve(name, *args)).server_port for name in names}
        threading.Thread(target=self._expire, daemon=True).start()

    def _serve(self, name: str, method: str, path: str, body: Any) -> Answer | None:
        late_s = self.answer_late_s(name, method, path)
        time.sleep(self.latency_s / 2)
        answer = (503, {"error": "trouble"}) if self._refuses(name) else self._execute(name, method, path, body)
        time.sleep(self.latency_s / 2 + late_s)
        return answer

    def _refuses(self, name: str) -> bool:
        return self.is_out or name in self.refused

    def end_outage(self) -> None:
        """Serve everybody again; each lease has its full time again."""
        with self.changed:
            for row in self.leases.values():
                row[1] = time.monotonic() + row[0]
            self.refused.clear()
            self.is_out = False

    def _execute(self, name: str, method: str, path: str, body: Any) -> Answer:
        path, _, query = path.partition("?")
        fields = {key: values[0] for key, values in parse_qs(query, keep_blank_values=True).items()}
        with self.changed:
            if not self.rates[0].take(1):
                return 429, {"error": "too many requests"}
            if path == "/multi":
                return self._transact(body)
            if path == "/grants":
                self._last_lease += 1
                life_s = body["lifeMs"] / 1000
                self.leases[self._last_lease] = [life_s, time.monotonic() + life_s]
                return 200, {"mooring": self._last_lease}
            if path.startswith("/grants/"):
                return self._lease(method, *path.split("/")[2:])
            if path == "/changes":
                return self._changes(name, fields)
            if path == "/kv":
                return self._range(fields["under"], fields.get("from", ""), int(fields["page"]))
            key = unquote(path.removeprefix("/kv/"))
            if key not in self.items:
                return 404, {"logline": self.revision}
            value, stamp, mooring = self.items[key]
            return 200, {"k": key, "v": value, "stamp": stamp, "mooring": mooring}

    def _transact(self, body: Any) -> Answer:
        writes = body.get("writes") or []
        if len(writes) > self.txn_ops or len(body["if"]) > 4 * self.txn_ops:
            return 400, {"error": "too large"}
        if writes and not self.rates[1].take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(row.get("mooring") is not None and row["mooring"] not in self.leases for row in writes):
            return 400, {"error": "no such lease"}
        failed = [row["k"] for row in body["if"] if self.items.get(row["k"], (None, 0, None))[1] != row["stamp"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if writes:
            self.revision += 1
        for row in writes:
            self._write(row.get("put") or row["delete"], "put" in row, row.get("v"), row.get("mooring"))
        self.changed.notify_all()
        return 200, {"logline": self.revision}

    def _write(self, key: str, is_put: bool, value: Any, mooring: int | None) -> None:
        if is_put:
            self.items[key] = (value, self.revision, mooring)
            self.log.append({"put": key, "v": value, "stamp": self.revision})
        elif self.items.pop(key, None) is not None:
            self.log.append({"delete": key, "stamp": self.revision})
        else:
            return
        self.log_revisions.append(self.revision)

    def _lease(self, method: str, number: str, action: str = "") -> Answer:
        lease = int(number)
        row = self.leases.get(lease)
        if row is None:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(lease)
        else:
            row[1] = time.monotonic() + row[0]
        return 200, {}

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, (_, _, owner) in self.items.items() if owner == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._write(key, False, None, None)
        self.changed.notify_all()

    def _expire(self) -> None:
        while True:
            time.sleep(0.03)
            with self.changed:
                now = time.monotonic()
                ended = [] if self.is_out else [lease for lease, (_, end) in self.leases.items() if end < now]
                for lease in ended:
                    self._end(lease)

    def _changes(self, name: str, fields: dict[str, str]) -> Answer:
        prefix, revision = fields["under"], int(fields["from"])
        until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        while True:
            # an open watch waits while its controller is refused, and in an outage
            while self._refuses(name):
                self.changed.wait(0.1)
            first = bisect_right(self.log_revisions, revision)
            if len(self.log) > KEPT_CHANGES and first < len(self.log) - KEPT_CHANGES:
                return 410, {"error": "too old"}
            rows = [row for row in self.log[first:] if (row.get("put") or row["delete"]).startswith(prefix)]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"logline": self.revision, "log": rows}
            self.changed.wait(left)

    def _range(self, prefix: str, after: str, page: int) -> Answer:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        count = min(page, MAX_ITEMS)
        rows = [{"k": key, "v": self.items[key][0], "stamp": self.items[key][1]} for key in keys[:count]]
        return 200, {"rows": rows, "more": len(keys) > count, "logline": self.revision}
