"""The key-value store's side of its protocol: requests, validated against schemas, and answers.

`msgspec` validates requests and names the invalid field. Controllers (`run`) don't import this module.
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

# Last segment of the path that extends a lease.
LEASE_EXTEND = "extend"

MAX_QUERY_FIELDS = 16
MAX_DIGITS = 18  # of an integer in a query, so that it fits into 64 bits

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[^\s]+$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class InvalidQueryError(Exception):
    """The query of a path is invalid; the text names the field."""


class Condition(msgspec.Struct, frozen=True):
    """A condition of a transaction: the key has this version, or is absent if the version is 0."""

    key: Key = msgspec.field(name="k")
    version: Count = msgspec.field(name="stamp")


class Change(msgspec.Struct, frozen=True):
    """A put or a delete: exactly one of `put` and `delete` is set."""

    put: Key | None = None
    delete: Key | None = None
    value: Any = msgspec.field(name="v", default=None)
    lease: Count | None = msgspec.field(name="mooring", default=None)

    def __post_init__(self) -> None:
        """Check that exactly one is set; msgspec converts the ValueError to its ValidationError."""
        if (self.put is None) == (self.delete is None):
            raise ValueError("a write must have either put or delete")


class Transaction(msgspec.Struct, frozen=True):
    """Changes that are applied atomically if all conditions hold."""

    conditions: list[Condition] = msgspec.field(name="if", default_factory=list)
    writes: list[Change] = msgspec.field(default_factory=list)


class LeaseRequest(msgspec.Struct, frozen=True):
    """A request for a lease of `life_ms` milliseconds."""

    life_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = msgspec.field(name="lifeMs")


class ItemsQuery(msgspec.Struct, frozen=True):
    """A request for at most `limit` items under a prefix, starting after the key `after`."""

    prefix: str
    after: str
    limit: int


class ChangesQuery(msgspec.Struct, frozen=True):
    """A request for the changes under a prefix after a revision; the answer may wait for one up to `wait_ms`."""

    prefix: str
    revision: int
    wait_ms: int


def parse_items_query(query: str, default_limit: int) -> ItemsQuery:
    """Return the parsed query of a read of items. Raises InvalidQueryError, or ValueError for too many fields."""
    fields = _query_fields(query)
    return ItemsQuery(
        prefix=fields.get("under", ""),
        after=fields.get("from", ""),
        limit=_integer(fields, "page", default_limit),
    )


def parse_changes_query(query: str) -> ChangesQuery:
    """Return the parsed query of a watch. Raises InvalidQueryError, or ValueError for too many fields."""
    fields = _query_fields(query)
    if "from" not in fields:
        raise InvalidQueryError("from is required")
    return ChangesQuery(
        wait_ms=_integer(fields, "waitMs", 0),
        prefix=fields.get("under", ""),
        revision=_integer(fields, "from", 0),
    )


def _query_fields(query: str) -> dict[str, str]:
    values = parse_qs(query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    return {name: occurrences[-1] for name, occurrences in values.items()}


def _integer(fields: dict[str, str], name: str, default: int) -> int:
    text = fields.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        raise InvalidQueryError(f"{name} must be a non-negative integer")
    return int(text)


def item(key: str, value: Any, version: int, lease: int | None) -> dict[str, Any]:
    """Return an item as it appears in answers."""
    row = {"k": key, "v": value, "stamp": version}
    if lease is not None:
        row["mooring"] = lease
    return row


def items(rows: list[dict[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    """Return a page of items; `more` says whether further pages follow, `revision` is the one they were read at."""
    return {"rows": rows, "more": more, "logline": revision}


def revision_answer(revision: int) -> dict[str, Any]:
    """Return the answer to an executed transaction, or to a read of an absent item: the store's revision."""
    return {"logline": revision}


def conflict(revision: int, keys: list[str]) -> dict[str, Any]:
    """Return the answer to a transaction whose conditions on these keys don't hold."""
    return {"logline": revision, "failed": keys}


def change(key: str, value: Any, version: int, deleted: bool) -> dict[str, Any]:
    """Return a change as it appears in answers."""
    return {"delete": key, "stamp": version} if deleted else {"put": key, "v": value, "stamp": version}


def changes(rows: list[dict[str, Any]], revision: int) -> dict[str, Any]:
    """Return the answer with all changes up to a revision."""
    return {"logline": revision, "log": rows}


def lease(number: int) -> dict[str, Any]:
    """Return the answer to a request for a lease."""
    return {"mooring": number}


def error(text: str) -> dict[str, Any]:
    """Return the answer to a request that wasn't executed."""
    return {"error": text}
