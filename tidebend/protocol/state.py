"""Requests to the state service and what it answers."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from tidebend.protocol.fields import Invalid, count, text

# The state service. A write is (key, value, lease); a value of None deletes, a lease of None attaches to none.
Write = tuple[str, Any, int | None]


def key_path(key: str) -> str:
    return f"/kv/{quote(key)}"


def range_path(prefix: str, after: str | None, limit: int) -> str:
    more = f"&from={quote(after)}" if after else ""
    return f"/kv?under={quote(prefix)}{more}&page={limit}"


def changes_path(prefix: str, revision: int, wait_ms: int) -> str:
    return f"/changes?under={quote(prefix)}&from={revision}&waitMs={wait_ms}"


PATH_TRANSACTION = "/multi"
PATH_LEASES = "/grants"


def lease_path(lease: int, action: str = "") -> str:
    return f"/grants/{lease}{action}"


def transaction(conditions: dict[str, int], writes: list[Write]) -> dict[str, Any]:
    rows: list[dict[str, Any]] = []
    for key, value, lease in writes:
        if value is None:
            rows.append({"delete": key})
        elif lease is None:
            rows.append({"put": key, "v": value})
        else:
            rows.append({"put": key, "v": value, "mooring": lease})
    return {"if": [{"k": key, "stamp": version} for key, version in conditions.items()], "writes": rows}


def lease_request(seconds: float) -> dict[str, Any]:
    return {"lifeMs": int(seconds * 1000)}


def parse_lease(body: Any) -> int:
    return count(body if isinstance(body, dict) else {}, "mooring", 0, 2**64)


def parse_revision(body: Any) -> int:
    return count(body if isinstance(body, dict) else {}, "logline", 0, 2**64)


def parse_item(body: Any) -> tuple[Any, int]:
    if not isinstance(body, dict):
        raise Invalid("not an item")
    return body.get("v"), count(body, "stamp", 0, 2**64)


def parse_items(body: Any) -> tuple[list[tuple[str, Any, int]], bool, int]:
    if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
        raise Invalid("rows is missing")
    rows = [(text(row, "k"), row.get("v"), count(row, "stamp", 0, 2**64)) for row in body["rows"]]
    return rows, body.get("more") is True, parse_revision(body)


def parse_changes(body: Any) -> tuple[list[tuple[str, Any, int]], int]:
    """Changes as (key, value, version); a value of None is a deletion."""
    revision = parse_revision(body)
    rows = []
    for row in body.get("log") or []:
        version = count(row, "stamp", 0, 2**64)
        if "put" in row:
            rows.append((row["put"], row.get("v"), version))
        elif "delete" in row:
            rows.append((row["delete"], None, version))
        else:
            raise Invalid("log holds an unknown change")
    return rows, revision
