"""The state service's requests: limits, errors and answers as the protocol has them."""

from __future__ import annotations

import logging
from concurrent.futures import TimeoutError as NotYet
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from tidebend.kvstore.engine import ConditionFailed, Engine, Failed, LeaseEnded, Write
from tidebend.kvstore.watch_feed import TooOld
from tidebend.protocol import PATH_LEASES, PATH_TRANSACTION
from tidebend.protocol import store as wire
from tidebend.settings import Limits
from tidebend.transport import Budget

log = logging.getLogger("store")

MOST_ITEMS = 1000  # a page: `more` says that it goes on
MOST_ITEMS_BYTES = 512 * 1024
MOST_TRANSACTION_BYTES = 64 * 1024
MOST_WAIT_MS = 60_000
# four times as many conditions as changes
CONDITIONS_A_CHANGE = 4

Answer = tuple[int, Any]


class Malformed(Exception):
    """400; the text says what is wrong."""


class StateService:
    def __init__(self, engine: Engine, limits: Limits) -> None:
        self.engine = engine
        self.limits = limits
        self._requests = Budget(limits.rps)
        self._writes = Budget(limits.write_rps)

    def handle(self, method: str, path: str, body: Any, patience: float = 5.0) -> Answer:
        """`body` is decoded JSON. Raises TimeoutError if the outcome isn't known within `patience` seconds."""
        path, _, query = path.partition("?")
        if not self._requests.take(1.0):
            return 429, {"error": "more requests than allowed"}
        try:
            if path == PATH_TRANSACTION and method == "POST":
                return self._transaction(body, patience)
            if path == wire.PATH_ITEMS and method == "GET":
                return self._items(_arguments(query))
            if path.startswith(wire.PATH_ITEM) and method == "GET":
                return self._item(unquote(path[len(wire.PATH_ITEM) :]))
            if path == wire.PATH_CHANGES and method == "GET":
                return self._changes(_arguments(query))
            if path == PATH_LEASES and method == "POST":
                asked = msgspec.convert(body, wire.LeaseRequest)
                return 200, wire.lease(self.engine.grant(asked.life_ms, patience))
            if path.startswith(PATH_LEASES + "/"):
                return self._lease(method, path[len(PATH_LEASES) + 1 :], patience)
        except (Malformed, msgspec.ValidationError) as error:
            return 400, {"error": str(error)}
        except Failed as error:
            return 503, {"error": str(error)}
        except NotYet as error:
            raise TimeoutError from error
        return 404, {"error": "no such path"}

    def _transaction(self, body: Any, patience: float) -> Answer:
        asked = msgspec.convert(body, wire.Transaction)
        if len(asked.writes) > self.limits.txn_ops:
            raise Malformed(f"writes: {len(asked.writes)} of at most {self.limits.txn_ops}")
        if len(asked.conditions) > CONDITIONS_A_CHANGE * self.limits.txn_ops:
            raise Malformed(f"if: {len(asked.conditions)} of at most {CONDITIONS_A_CHANGE * self.limits.txn_ops}")
        writes = []
        total = 0
        for change in asked.writes:
            if change.put is None:
                writes.append(Write(change.delete or "", None))
                continue
            value = msgspec.json.encode(change.value)
            if len(value) > self.limits.value_bytes:
                raise Malformed(f"{change.put}: a value of {len(value)} bytes of at most {self.limits.value_bytes}")
            total += len(value) + len(change.put)
            writes.append(Write(change.put, value, change.lease))
        if total > MOST_TRANSACTION_BYTES:
            raise Malformed(f"a transaction of {total} bytes of at most {MOST_TRANSACTION_BYTES}")
        if writes and not self._writes.take(min(len(writes), self.limits.write_rps)):
            return 429, {"error": "more changes than allowed"}
        try:
            revision = self.engine.transact({row.key: row.version for row in asked.conditions}, writes, patience)
        except ConditionFailed as failed:
            return 409, wire.conflict(failed.revision, failed.keys)
        except LeaseEnded:
            return 400, {"error": "no such lease"}
        return 200, wire.revision_of(revision)

    def _item(self, key: str) -> Answer:
        _checked(key)
        item, revision = self.engine.get(key)
        if item is None:
            return 404, wire.revision_of(revision)
        return 200, wire.item(item.key, item.value, item.version, item.lease)

    def _items(self, arguments: dict[str, str]) -> Answer:
        most = min(MOST_ITEMS, max(1, _whole(arguments, "page", MOST_ITEMS)))
        rows, more, revision = self.engine.items(
            arguments.get("under", ""), arguments.get("from", ""), most, MOST_ITEMS_BYTES
        )
        return 200, wire.items([wire.item(row.key, row.value, row.version, row.lease) for row in rows], more, revision)

    def _changes(self, arguments: dict[str, str]) -> Answer:
        if "from" not in arguments:
            raise Malformed("from is missing")
        wait_s = min(MOST_WAIT_MS, _whole(arguments, "waitMs", 0)) / 1000.0
        try:
            rows, revision = self.engine.feed.since(arguments.get("under", ""), _whole(arguments, "from", 0), wait_s)
        except TooOld:
            return 410, {"error": "too old: read the keys again"}
        return 200, wire.changes(
            [
                wire.change(
                    row.key,
                    None if row.value is None else msgspec.json.decode(row.value),
                    row.version,
                    row.value is None,
                )
                for row in rows
            ],
            revision,
        )

    def _lease(self, method: str, rest: str, patience: float) -> Answer:
        number, _, action = rest.partition("/")
        if not number.isascii() or not number.isdigit():
            raise Malformed("not a lease's number")
        if method == "POST" and action == "extend":
            return (200, {}) if self.engine.leases.extend(int(number)) else (404, {"error": "no such lease"})
        if method == "DELETE" and not action:
            return (200, {}) if self.engine.end_lease(int(number), patience) else (404, {"error": "no such lease"})
        return 404, {"error": "no such path"}


def _arguments(query: str) -> dict[str, str]:
    return {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True, max_num_fields=16).items()}


def _whole(arguments: dict[str, str], name: str, default: int) -> int:
    text = arguments.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise Malformed(f"{name} must be a whole number")
    return int(text)


def _checked(key: str) -> None:
    if not 0 < len(key.encode()) <= 200 or any(letter.isspace() for letter in key):
        raise Malformed("a key is a text of 1 to 200 bytes without spaces")
