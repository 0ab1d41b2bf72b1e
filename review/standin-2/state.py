"""A stand-in for the state service: versions, transactions, leases, changes and rate limits, in memory."""

from __future__ import annotations

import json
import threading
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs, unquote

from http_stub import Answer, serve

KEPT_CHANGES = 10_000
MAX_ROWS, MAX_PAGE_BYTES, MAX_TRANSACTION_BYTES = 1000, 512 * 1024, 64 * 1024


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        """Start full."""
        self._rate = self._level = rate
        self._at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Take an amount; False, and nothing taken, if there isn't enough."""
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class StateService:
    """The key-value store that the controllers share."""

    def __init__(self, limits: dict[str, float]) -> None:
        """`limits` as in the settings: rps, write_rps, value_kb, txn_ops."""
        self._limits = limits
        self._requests, self._changes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self._changed = threading.Condition()
        self._items: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, version, lease
        self._log: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT_CHANGES)
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}  # id -> length, monotonic time of its end
        self._last_lease = 0
        self._server, self.address = serve(self._route)
        threading.Thread(target=self._end_leases, daemon=True).start()

    def _route(self, method: str, target: str, body: Any) -> Answer:
        path, _, query = target.partition("?")
        arguments = {key: values[-1] for key, values in parse_qs(query).items()}
        with self._changed:
            if not self._requests.take(1):
                return 429, {"error": "too many requests"}
            if path == "/multi":
                return self._transact(body)
            if path.startswith("/grants"):
                return self._lease(method, path, body)
            if path == "/changes":
                return self._changes_after(arguments)
            if path == "/kv":
                return self._page(arguments)
            return self._item(unquote(path.removeprefix("/kv/")))

    def _item(self, key: str) -> Answer:
        if key not in self._items:
            return 404, {"logline": self._revision}
        value, version, lease = self._items[key]
        return 200, {"k": key, "v": value, "stamp": version, **({"mooring": lease} if lease else {})}

    def _page(self, arguments: dict[str, str]) -> Answer:
        prefix, after = arguments.get("under", ""), arguments.get("from", "")
        most = min(MAX_ROWS, int(arguments.get("page", MAX_ROWS)))
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        rows, size = [], 0
        for key in keys[:most]:
            row = {"k": key, "v": self._items[key][0], "stamp": self._items[key][1]}
            size += len(json.dumps(row))
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return 200, {"rows": rows, "more": len(rows) < len(keys), "logline": self._revision}

    def _transact(self, body: dict[str, Any]) -> Answer:
        writes = body.get("writes") or []
        conditions = body.get("if") or []
        error = self._malformed(writes, conditions)
        if error:
            return 400, {"error": error}
        if writes and not self._changes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(write.get("mooring") and write["mooring"] not in self._leases for write in writes):
            return 400, {"error": "no such lease"}
        failed = [row["k"] for row in conditions if self._version(row["k"]) != row["stamp"]]
        if failed:
            return 409, {"failed": failed, "logline": self._revision}
        if writes:
            self._revision += 1
            for write in writes:
                self._apply(write)
            self._changed.notify_all()
        return 200, {"logline": self._revision}

    def _malformed(self, writes: list[dict[str, Any]], conditions: list[dict[str, Any]]) -> str | None:
        if len(writes) > self._limits["txn_ops"] or len(conditions) > 4 * self._limits["txn_ops"]:
            return "too many operations"
        sizes = [len(json.dumps(write.get("v"), separators=(",", ":"))) for write in writes if "put" in write]
        if max(sizes, default=0) > self._limits["value_kb"] * 1024 or sum(sizes) > MAX_TRANSACTION_BYTES:
            return "too large"
        return None

    def _version(self, key: str) -> int:
        return self._items[key][1] if key in self._items else 0

    def _apply(self, write: dict[str, Any]) -> None:
        if "put" in write:
            key, value = write["put"], write.get("v")
            self._items[key] = (value, self._revision, write.get("mooring"))
            self._log.append((self._revision, {"put": key, "v": value, "stamp": self._revision}))
        elif self._items.pop(write["delete"], None) is not None:
            self._log.append((self._revision, {"delete": write["delete"], "stamp": self._revision}))

    def _changes_after(self, arguments: dict[str, str]) -> Answer:
        prefix, revision = arguments.get("under", ""), int(arguments.get("from", 0))
        deadline = time.monotonic() + min(60_000, int(arguments.get("waitMs", 0))) / 1000.0
        while True:
            if len(self._log) == KEPT_CHANGES and revision < self._log[0][0] - 1:
                return 410, {"error": "too old"}
            rows = [row for at, row in self._log if at > revision and _key(row).startswith(prefix)]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"logline": self._revision, "log": rows}
            self._changed.wait(left)

    def _lease(self, method: str, path: str, body: Any) -> Answer:
        now = time.monotonic()
        if path == "/grants":
            self._last_lease += 1
            length = body["lifeMs"] / 1000.0
            self._leases[self._last_lease] = (length, now + length)
            return 200, {"mooring": self._last_lease}
        lease = int(path.split("/")[2])
        if lease not in self._leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(lease)
        else:
            self._leases[lease] = (self._leases[lease][0], now + self._leases[lease][0])
        return 200, {}

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, (_, _, held_by) in self._items.items() if held_by == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._apply({"delete": key})
            self._changed.notify_all()

    def _end_leases(self) -> None:
        while True:
            time.sleep(0.02)
            with self._changed:
                now = time.monotonic()
                for lease in [lease for lease, (_, until) in self._leases.items() if until < now]:
                    self._end(lease)


def _key(row: dict[str, Any]) -> str:
    return row["put"] if "put" in row else row["delete"]
