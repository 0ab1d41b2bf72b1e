"""The state service's side of its messages: requests that are checked against schemas, and answers.

`msgspec` checks and names the field that is wrong. Not imported by `run`, which only sends these messages.
"""

from __future__ import annotations

from typing import Annotated, Any
from urllib.parse import parse_qs

import msgspec

from tidebend.protocol.state import PATH_CHANGES, PATH_ITEM, PATH_ITEMS, PATH_LEASES, PATH_TRANSACTION

__all__ = [
    "LEASE_EXTEND",
    "PATH_CHANGES",
    "PATH_ITEM",
    "PATH_ITEMS",
    "PATH_LEASES",
    "PATH_TRANSACTION",
    "Change",
    "ChangesQuery",
    "Condition",
    "InvalidQueryError",
    "ItemsQuery",
    "LeaseRequest",
    "Transaction",
    "change",
    "changes",
    "conflict",
    "error",
    "item",
    "items",
    "lease",
    "parse_changes_query",
    "parse_items_query",
    "revision_answer",
]

# What follows a lease's number in the path that extends it.
LEASE_EXTEND = "extend"

# A query of more fields than this isn't read.
MOST_QUERY_FIELDS = 16
# Of a whole number in a query; it still fits into 64 bits.
MOST_DIGITS = 18

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[^\s]+$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class InvalidQueryError(Exception):
    """The query of a path is malformed; the text names the field."""


class Condition(msgspec.Struct, frozen=True):
    """A condition of a transaction: the key has this version; 0 says that it isn't there."""

    key: Key = msgspec.field(name="k")
    version: Count = msgspec.field(name="stamp")


class Change(msgspec.Struct, frozen=True):
    """A put or a delete: exactly one of `put` and `delete` is there."""

    put: Key | None = None
    delete: Key | None = None
    value: Any = msgspec.field(name="v", default=None)
    lease: Count | None = msgspec.field(name="mooring", default=None)

    def __post_init__(self) -> None:
        """Raises ValueError, which msgspec turns into its ValidationError."""
        if (self.put is None) == (self.delete is None):
            raise ValueError("a write is either a put or a delete")


class Transaction(msgspec.Struct, frozen=True):
    """Changes that are executed as a whole if all conditions hold."""

    conditions: list[Condition] = msgspec.field(name="if", default_factory=list)
    writes: list[Change] = msgspec.field(default_factory=list)


class LeaseRequest(msgspec.Struct, frozen=True):
    """A request for a lease of so many milliseconds."""

    life_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = msgspec.field(name="lifeMs")


class ItemsQuery(msgspec.Struct, frozen=True):
    """Which items are asked for: at most `limit` of those under a prefix, from after a key on."""

    prefix: str
    after: str
    limit: int


class ChangesQuery(msgspec.Struct, frozen=True):
    """Which changes are asked for: those under a prefix after a revision, waited for up to `wait_ms`."""

    prefix: str
    revision: int
    wait_ms: int


def parse_items_query(query: str, default_limit: int) -> ItemsQuery:
    """Raises InvalidQueryError, or ValueError for a query of too many fields."""
    fields = _query_fields(query)
    return ItemsQuery(
        prefix=fields.get("under", ""),
        after=fields.get("from", ""),
        limit=_whole_number(fields, "page", default_limit),
    )


def parse_changes_query(query: str) -> ChangesQuery:
    """Raises InvalidQueryError, or ValueError for a query of too many fields."""
    fields = _query_fields(query)
    if "from" not in fields:
        raise InvalidQueryError("from is missing")
    return ChangesQuery(
        wait_ms=_whole_number(fields, "waitMs", 0),
        prefix=fields.get("under", ""),
        revision=_whole_number(fields, "from", 0),
    )


def _query_fields(query: str) -> dict[str, str]:
    values = parse_qs(query, keep_blank_values=True, max_num_fields=MOST_QUERY_FIELDS)
    return {name: given[-1] for name, given in values.items()}


def _whole_number(fields: dict[str, str], name: str, default: int) -> int:
    text = fields.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > MOST_DIGITS:
        raise InvalidQueryError(f"{name} must be a whole number")
    return int(text)


def item(key: str, value: Any, version: int, lease: int | None) -> dict[str, Any]:
    """An item as answers show it."""
    row = {"k": key, "v": value, "stamp": version}
    if lease is not None:
        row["mooring"] = lease
    return row


def items(rows: list[dict[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    """A page of items, whether there are more after it, and the revision that they were read at."""
    return {"rows": rows, "more": more, "logline": revision}


def revision_answer(revision: int) -> dict[str, Any]:
    """The answer to a transaction that was executed, or the revision at which an item isn't there."""
    return {"logline": revision}


def conflict(revision: int, keys: list[str]) -> dict[str, Any]:
    """The answer to a transaction whose conditions for these keys don't hold."""
    return {"logline": revision, "failed": keys}


def change(key: str, value: Any, version: int, deleted: bool) -> dict[str, Any]:
    """A change as answers show it."""
    return {"delete": key, "stamp": version} if deleted else {"put": key, "v": value, "stamp": version}


def changes(rows: list[dict[str, Any]], revision: int) -> dict[str, Any]:
    """Changes, and the revision up to which they are all that there were."""
    return {"logline": revision, "log": rows}


def lease(number: int) -> dict[str, Any]:
    """The answer to a request for a lease."""
    return {"mooring": number}


def error(text: str) -> dict[str, Any]:
    """The answer to a request that isn't executed."""
    return {"error": text}
