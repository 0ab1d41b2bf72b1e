"""A client's requests to the state service, and what it reads in the answers."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from tidebend.protocol.fields import InvalidMessageError, integer_field, text_field

# A write is (key, value, lease); a value of None deletes, a lease of None attaches to none.
Write = tuple[str, Any, int | None]

PATH_ITEMS = "/kv"
PATH_ITEM = PATH_ITEMS + "/"
PATH_CHANGES = "/changes"
PATH_TRANSACTION = "/multi"
PATH_LEASES = "/grants"

GREATEST_REVISION = 2**64


def key_path(key: str) -> str:
    """The path of one item."""
    return f"{PATH_ITEM}{quote(key)}"


def range_path(prefix: str, after: str | None, limit: int) -> str:
    """The path of a page of the items under a prefix: at most `limit` of them, from after a key on."""
    more = f"&from={quote(after)}" if after else ""
    return f"{PATH_ITEMS}?under={quote(prefix)}{more}&page={limit}"


def changes_path(prefix: str, revision: int, wait_ms: int) -> str:
    """The path of the changes under a prefix after a revision, for which the service waits up to `wait_ms`."""
    return f"{PATH_CHANGES}?under={quote(prefix)}&from={revision}&waitMs={wait_ms}"


def lease_path(lease: int, action: str = "") -> str:
    """The path of a lease; `action` is empty or begins with a slash."""
    return f"{PATH_LEASES}/{lease}{action}"


def _write(write: Write) -> dict[str, Any]:
    key, value, lease = write
    if value is None:
        return {"delete": key}
    if lease is None:
        return {"put": key, "v": value}
    return {"put": key, "v": value, "mooring": lease}


def transaction_request(conditions: dict[str, int], writes: list[Write]) -> dict[str, Any]:
    """The body of a transaction: executed as a whole if each key has its version still (0: isn't there)."""
    return {
        "if": [{"k": key, "stamp": version} for key, version in conditions.items()],
        "writes": [_write(write) for write in writes],
    }


def lease_request(seconds: float) -> dict[str, Any]:
    """The body that asks for a lease."""
    return {"lifeMs": int(seconds * 1000)}


def _number(body: Any, key: str) -> int:
    return integer_field(body if isinstance(body, dict) else {}, key, 0, GREATEST_REVISION)


def parse_lease(body: Any) -> int:
    """The number of the lease that was granted. Raises InvalidMessageError."""
    return _number(body, "mooring")


def parse_revision(body: Any) -> int:
    """The revision that an answer was given at. Raises InvalidMessageError."""
    return _number(body, "logline")


def parse_item(body: Any) -> tuple[Any, int]:
    """An item's value and version. Raises InvalidMessageError."""
    if not isinstance(body, dict):
        raise InvalidMessageError("not an item")
    return body.get("v"), _number(body, "stamp")


def parse_items(body: Any) -> tuple[list[tuple[str, Any, int]], bool, int]:
    """A page of items as (key, value, version), whether there are more, and the revision.

    Raises InvalidMessageError.
    """
    if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
        raise InvalidMessageError("rows is missing")
    rows = [(text_field(row, "k"), row.get("v"), _number(row, "stamp")) for row in body["rows"]]
    return rows, body.get("more") is True, parse_revision(body)


def parse_changes(body: Any) -> tuple[list[tuple[str, Any, int]], int]:
    """Changes as (key, value, version), where a value of None is a deletion, and the revision.

    Raises InvalidMessageError, or AttributeError or TypeError where the rows aren't objects at all.
    """
    revision = parse_revision(body)
    rows: list[tuple[str, Any, int]] = []
    for row in body.get("log") or []:
        version = integer_field(row, "stamp", 0, GREATEST_REVISION)
        if "put" in row:
            rows.append((row["put"], row.get("v"), version))
        elif "delete" in row:
            rows.append((row["delete"], None, version))
        else:
            raise InvalidMessageError("log holds an unknown change")
    return rows, revision
