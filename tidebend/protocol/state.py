"""The client's side of the key-value store's protocol: builds requests and parses answers."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from tidebend.protocol.fields import InvalidMessageError, integer_field, text_field

# (key, value, lease): a value of None deletes the key; a lease of None attaches the key to no lease.
Write = tuple[str, Any, int | None]

PATH_ITEMS = "/kv"
PATH_ITEM = PATH_ITEMS + "/"
PATH_CHANGES = "/changes"
PATH_TRANSACTION = "/multi"
PATH_LEASES = "/grants"

MAX_REVISION = 2**64


def key_path(key: str) -> str:
    """Return the path of an item."""
    return f"{PATH_ITEM}{quote(key)}"


def range_path(prefix: str, after: str | None, limit: int) -> str:
    """Return the path of a page of the items under a prefix: at most `limit`, starting after the key `after`."""
    more = f"&from={quote(after)}" if after else ""
    return f"{PATH_ITEMS}?under={quote(prefix)}{more}&page={limit}"


def changes_path(prefix: str, revision: int, wait_ms: int) -> str:
    """Return the path of the changes under a prefix after a revision; the store waits for one up to `wait_ms`."""
    return f"{PATH_CHANGES}?under={quote(prefix)}&from={revision}&waitMs={wait_ms}"


def lease_path(lease: int, action: str = "") -> str:
    """Return the path of a lease; `action` is empty or begins with a slash."""
    return f"{PATH_LEASES}/{lease}{action}"


def _write(write: Write) -> dict[str, Any]:
    key, value, lease = write
    if value is None:
        return {"delete": key}
    if lease is None:
        return {"put": key, "v": value}
    return {"put": key, "v": value, "mooring": lease}


def transaction_request(conditions: dict[str, int], writes: list[Write]) -> dict[str, Any]:
    """Return the body of a transaction: applies all writes if each key has the given version (0: is absent)."""
    return {
        "if": [{"k": key, "stamp": version} for key, version in conditions.items()],
        "writes": [_write(write) for write in writes],
    }


def lease_request(seconds: float) -> dict[str, Any]:
    """Return the body of a request for a lease."""
    return {"lifeMs": int(seconds * 1000)}


def _integer(body: Any, key: str) -> int:
    return integer_field(body if isinstance(body, dict) else {}, key, 0, MAX_REVISION)


def parse_lease(body: Any) -> int:
    """Return the id of the granted lease. Raises InvalidMessageError."""
    return _integer(body, "mooring")


def parse_revision(body: Any) -> int:
    """Return the store's revision in an answer. Raises InvalidMessageError."""
    return _integer(body, "logline")


def parse_item(body: Any) -> tuple[Any, int]:
    """Return an item's value and version. Raises InvalidMessageError."""
    if not isinstance(body, dict):
        raise InvalidMessageError("the item must be a JSON object")
    return body.get("v"), _integer(body, "stamp")


def parse_items(body: Any) -> tuple[list[tuple[str, Any, int]], bool, int]:
    """Return a page of items as (key, value, version), whether more follow, and the revision.

    Raises InvalidMessageError.
    """
    if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
        raise InvalidMessageError("rows must be a list")
    rows = [(text_field(row, "k"), row.get("v"), _integer(row, "stamp")) for row in body["rows"]]
    return rows, body.get("more") is True, parse_revision(body)


def parse_changes(body: Any) -> tuple[list[tuple[str, Any, int]], int]:
    """Return changes as (key, value, version), where a value of None is a deletion, and the revision.

    Raises InvalidMessageError, or AttributeError or TypeError if a row isn't an object.
    """
    revision = parse_revision(body)
    rows: list[tuple[str, Any, int]] = []
    for row in body.get("log") or []:
        version = integer_field(row, "stamp", 0, MAX_REVISION)
        if "put" in row:
            rows.append((row["put"], row.get("v"), version))
        elif "delete" in row:
            rows.append((row["delete"], None, version))
        else:
            raise InvalidMessageError("log must contain only puts and deletes")
    return rows, revision
