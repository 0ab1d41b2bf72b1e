"""The protocol's requests to the key-value store: limits, errors and answers."""

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

MAX_PAGE_ITEMS = 1000  # `more` in the answer tells whether there are further pages
MAX_PAGE_BYTES = 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_KEY_BYTES = 200
MAX_WAIT_MS = 60_000
# A transaction may have four times as many conditions as writes.
CONDITIONS_PER_WRITE = 4
# Default time to wait for the outcome of a write.
DEFAULT_TIMEOUT_S = 5.0

Answer = tuple[int, Any]  # status and body

NO_SUCH_LEASE = "no such lease"
NO_SUCH_PATH = "no such path"


class StoreService:
    """Serves the protocol's requests from an engine, within the limits of the settings."""

    def __init__(self, engine: Engine, limits: StoreLimits) -> None:
        """Serve from `engine`, which the caller closes."""
        self.engine = engine
        self.limits = limits
        self._requests = TokenBucket(limits.rps)
        self._writes = TokenBucket(limits.write_rps)

    def handle(self, method: str, path: str, body: Any, timeout: float = DEFAULT_TIMEOUT_S) -> Answer:
        """Execute a request and return the status and body of the answer.

        `path` includes the query; `body` is decoded JSON. Raises TimeoutError if the outcome is unknown after `timeout`
        seconds, and ValueError if the query has too many fields.
        """
        path, _, query = path.partition("?")
        if not self._requests.take(1.0):
            return 429, wire.error("request rate limit exceeded")
        try:
            return self._route(method, path, query, body, timeout)
        except (MalformedRequestError, wire.InvalidQueryError, msgspec.ValidationError) as error:
            return 400, wire.error(str(error))
        except StoreUnavailableError as error:
            return 503, wire.error(str(error))

    def _route(self, method: str, path: str, query: str, body: Any, timeout: float) -> Answer:
        match method, path:
            case "POST", wire.PATH_TRANSACTION:
                return self._transaction(msgspec.convert(body, wire.Transaction), timeout)
            case "GET", wire.PATH_ITEMS:
                return self._items(wire.parse_items_query(query, MAX_PAGE_ITEMS))
            case "GET", wire.PATH_CHANGES:
                return self._changes(wire.parse_changes_query(query))
            case "POST", wire.PATH_LEASES:
                return self._grant(msgspec.convert(body, wire.LeaseRequest), timeout)
        if path.startswith(wire.PATH_ITEM) and method == "GET":
            return self._item(unquote(path.removeprefix(wire.PATH_ITEM)))
        lease_prefix = wire.PATH_LEASES + "/"
        if path.startswith(lease_prefix):
            return self._lease(method, path.removeprefix(lease_prefix), timeout)
        return 404, wire.error(NO_SUCH_PATH)

    # Transactions

    def _transaction(self, request: wire.Transaction, timeout: float) -> Answer:
        self._check_counts(request)
        writes = [self._parse_write(change) for change in request.writes]
        _check_size(writes)
        if writes and not self._writes.take(min(len(writes), self.limits.write_rps)):
            return 429, wire.error("write rate limit exceeded")
        conditions = {row.key: row.version for row in request.conditions}
        try:
            revision = self.engine.transact(conditions, writes, timeout)
        except ConditionFailedError as failed:
            return 409, wire.conflict(failed.revision, failed.keys)
        except LeaseEndedError:
            return 400, wire.error(NO_SUCH_LEASE)
        return 200, wire.revision_answer(revision)

    def _check_counts(self, request: wire.Transaction) -> None:
        max_writes = self.limits.txn_ops
        if len(request.writes) > max_writes:
            raise MalformedRequestError(f"writes: got {len(request.writes)}, expected at most {max_writes}")
        max_conditions = CONDITIONS_PER_WRITE * max_writes
        if len(request.conditions) > max_conditions:
            raise MalformedRequestError(
                f"if: got {len(request.conditions)} conditions, expected at most {max_conditions}"
            )

    def _parse_write(self, change: wire.Change) -> Write:
        if change.put is None:
            return Write(change.delete or "", None)
        value = msgspec.json.encode(change.value)
        max_bytes = self.limits.value_bytes
        if len(value) > max_bytes:
            raise MalformedRequestError(f"{change.put}: value has {len(value)} bytes, expected at most {max_bytes}")
        return Write(change.put, value, change.lease)

    # Reads

    def _item(self, key: str) -> Answer:
        _check_key(key)
        item, revision = self.engine.get(key)
        if item is None:
            return 404, wire.revision_answer(revision)
        return 200, _item_row(item)

    def _items(self, query: wire.ItemsQuery) -> Answer:
        max_items = min(MAX_PAGE_ITEMS, max(1, query.limit))
        items, more, revision = self.engine.items(query.prefix, query.after, max_items, MAX_PAGE_BYTES)
        return 200, wire.items([_item_row(item) for item in items], more, revision)

    def _changes(self, query: wire.ChangesQuery) -> Answer:
        wait_s = min(MAX_WAIT_MS, query.wait_ms) / 1000.0
        try:
            changes, revision = self.engine.feed.changes_since(query.prefix, query.revision, wait_s)
        except RevisionTooOldError:
            return 410, wire.error("revision too old: some later changes were discarded; read the keys again")
        return 200, wire.changes([_change_row(change) for change in changes], revision)

    # Leases

    def _grant(self, request: wire.LeaseRequest, timeout: float) -> Answer:
        return 200, wire.lease(self.engine.grant_lease(request.life_ms, timeout))

    def _lease(self, method: str, rest: str, timeout: float) -> Answer:
        """Serve a request on one lease. `rest`: the rest of the path, a lease ID and optionally an action."""
        lease_id, _, action = rest.partition("/")
        if not lease_id.isascii() or not lease_id.isdigit():
            raise MalformedRequestError("a lease ID must be a decimal number")
        if method == "POST" and action == wire.LEASE_EXTEND:
            found = self.engine.leases.extend(int(lease_id))
        elif method == "DELETE" and not action:
            found = self.engine.end_lease(int(lease_id), timeout)
        else:
            return 404, wire.error(NO_SUCH_PATH)
        return (200, {}) if found else (404, wire.error(NO_SUCH_LEASE))


def _check_size(writes: list[Write]) -> None:
    total = sum(len(write.value) + len(write.key) for write in writes if write.value is not None)
    if total > MAX_TRANSACTION_BYTES:
        raise MalformedRequestError(f"transaction has {total} bytes, expected at most {MAX_TRANSACTION_BYTES}")


def _check_key(key: str) -> None:
    if not 0 < len(key.encode()) <= MAX_KEY_BYTES or any(character.isspace() for character in key):
        raise MalformedRequestError("a key must have 1 to 200 bytes of UTF-8 and no white space")


def _item_row(item: Item) -> dict[str, Any]:
    return wire.item(item.key, item.value, item.version, item.lease)


def _change_row(change: Change) -> dict[str, Any]:
    deleted = change.value is None
    value = None if change.value is None else msgspec.json.decode(change.value)
    return wire.change(change.key, value, change.version, deleted)
