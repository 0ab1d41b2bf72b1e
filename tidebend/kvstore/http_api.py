"""The state service's requests: limits, errors and answers as the protocol has them."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

import msgspec

from tidebend.kvstore.engine import Engine
from tidebend.kvstore.errors import (
    ConditionFailedError,
    LeaseEndedError,
    MalformedRequestError,
    RevisionTooOldError,
    StoreUnavailableError,
)
from tidebend.kvstore.records import Change, Item, Write
from tidebend.protocol import store as wire
from tidebend.settings import StoreLimits
from tidebend.transport import TokenBucket

MOST_ITEMS = 1000  # a page: `more` says that it goes on
MOST_ITEMS_BYTES = 512 * 1024
MOST_TRANSACTION_BYTES = 64 * 1024
MOST_KEY_BYTES = 200
MOST_WAIT_MS = 60_000
# four times as many conditions as changes
CONDITIONS_A_CHANGE = 4
# how long an outcome is waited for when the caller says nothing else
PATIENCE_S = 5.0

Answer = tuple[int, Any]  # status and body

NO_SUCH_LEASE = "no such lease"
NO_SUCH_PATH = "no such path"


class StoreService:
    """Answers the protocol's requests from an engine, within the limits of the settings."""

    def __init__(self, engine: Engine, limits: StoreLimits) -> None:
        """The engine stays the caller's to close."""
        self.engine = engine
        self.limits = limits
        self._requests = TokenBucket(limits.rps)
        self._writes = TokenBucket(limits.write_rps)

    def handle(self, method: str, path: str, body: Any, patience: float = PATIENCE_S) -> Answer:
        """Status and body of the answer to a request.

        `path` with its query; `body` is decoded JSON. Raises TimeoutError if the outcome isn't known within `patience`
        seconds, and ValueError for a query of too many fields.
        """
        path, _, query = path.partition("?")
        if not self._requests.take(1.0):
            return 429, wire.error("more requests than allowed")
        try:
            return self._route(method, path, query, body, patience)
        except (MalformedRequestError, wire.InvalidQueryError, msgspec.ValidationError) as error:
            return 400, wire.error(str(error))
        except StoreUnavailableError as error:
            return 503, wire.error(str(error))

    def _route(self, method: str, path: str, query: str, body: Any, patience: float) -> Answer:
        match method, path:
            case "POST", wire.PATH_TRANSACTION:
                return self._transaction(msgspec.convert(body, wire.Transaction), patience)
            case "GET", wire.PATH_ITEMS:
                return self._items(wire.parse_items_query(query, MOST_ITEMS))
            case "GET", wire.PATH_CHANGES:
                return self._changes(wire.parse_changes_query(query))
            case "POST", wire.PATH_LEASES:
                return self._grant(msgspec.convert(body, wire.LeaseRequest), patience)
        if path.startswith(wire.PATH_ITEM) and method == "GET":
            return self._item(unquote(path.removeprefix(wire.PATH_ITEM)))
        lease_prefix = wire.PATH_LEASES + "/"
        if path.startswith(lease_prefix):
            return self._lease(method, path.removeprefix(lease_prefix), patience)
        return 404, wire.error(NO_SUCH_PATH)

    # Transactions

    def _transaction(self, request: wire.Transaction, patience: float) -> Answer:
        self._check_counts(request)
        writes = [self._write(change) for change in request.writes]
        _check_total(writes)
        if writes and not self._writes.take(min(len(writes), self.limits.write_rps)):
            return 429, wire.error("more changes than allowed")
        conditions = {row.key: row.version for row in request.conditions}
        try:
            revision = self.engine.transact(conditions, writes, patience)
        except ConditionFailedError as failed:
            return 409, wire.conflict(failed.revision, failed.keys)
        except LeaseEndedError:
            return 400, wire.error(NO_SUCH_LEASE)
        return 200, wire.revision_answer(revision)

    def _check_counts(self, request: wire.Transaction) -> None:
        most_writes = self.limits.txn_ops
        if len(request.writes) > most_writes:
            raise MalformedRequestError(f"writes: {len(request.writes)} of at most {most_writes}")
        most_conditions = CONDITIONS_A_CHANGE * most_writes
        if len(request.conditions) > most_conditions:
            raise MalformedRequestError(f"if: {len(request.conditions)} of at most {most_conditions}")

    def _write(self, change: wire.Change) -> Write:
        if change.put is None:
            return Write(change.delete or "", None)
        value = msgspec.json.encode(change.value)
        most = self.limits.value_bytes
        if len(value) > most:
            raise MalformedRequestError(f"{change.put}: a value of {len(value)} bytes of at most {most}")
        return Write(change.put, value, change.lease)

    # Reads

    def _item(self, key: str) -> Answer:
        _check_key(key)
        item, revision = self.engine.get(key)
        if item is None:
            return 404, wire.revision_answer(revision)
        return 200, _item_row(item)

    def _items(self, query: wire.ItemsQuery) -> Answer:
        most = min(MOST_ITEMS, max(1, query.limit))
        items, more, revision = self.engine.items(query.prefix, query.after, most, MOST_ITEMS_BYTES)
        return 200, wire.items([_item_row(item) for item in items], more, revision)

    def _changes(self, query: wire.ChangesQuery) -> Answer:
        wait_s = min(MOST_WAIT_MS, query.wait_ms) / 1000.0
        try:
            changes, revision = self.engine.feed.changes_since(query.prefix, query.revision, wait_s)
        except RevisionTooOldError:
            return 410, wire.error("too old: read the keys again")
        return 200, wire.changes([_change_row(change) for change in changes], revision)

    # Leases

    def _grant(self, request: wire.LeaseRequest, patience: float) -> Answer:
        return 200, wire.lease(self.engine.grant(request.life_ms, patience))

    def _lease(self, method: str, rest: str, patience: float) -> Answer:
        """`rest`: what follows in the path, a lease's number and perhaps an action."""
        number, _, action = rest.partition("/")
        if not number.isascii() or not number.isdigit():
            raise MalformedRequestError("not a lease's number")
        if method == "POST" and action == wire.LEASE_EXTEND:
            found = self.engine.leases.extend(int(number))
        elif method == "DELETE" and not action:
            found = self.engine.end_lease(int(number), patience)
        else:
            return 404, wire.error(NO_SUCH_PATH)
        return (200, {}) if found else (404, wire.error(NO_SUCH_LEASE))


def _check_total(writes: list[Write]) -> None:
    total = sum(len(write.value) + len(write.key) for write in writes if write.value is not None)
    if total > MOST_TRANSACTION_BYTES:
        raise MalformedRequestError(f"a transaction of {total} bytes of at most {MOST_TRANSACTION_BYTES}")


def _check_key(key: str) -> None:
    if not 0 < len(key.encode()) <= MOST_KEY_BYTES or any(letter.isspace() for letter in key):
        raise MalformedRequestError("a key is a text of 1 to 200 bytes without spaces")


def _item_row(item: Item) -> dict[str, Any]:
    return wire.item(item.key, item.value, item.version, item.lease)


def _change_row(change: Change) -> dict[str, Any]:
    deleted = change.value is None
    value = None if change.value is None else msgspec.json.decode(change.value)
    return wire.change(change.key, value, change.version, deleted)
