"""The state service's side of its messages: requests that are checked against schemas, and answers.

`msgspec` checks and names the field that is wrong. Not imported by `run`, which only sends these messages.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

PATH_ITEM = "/kv/"
PATH_ITEMS = "/kv"
PATH_CHANGES = "/changes"

Key = Annotated[str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[^\s]+$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Condition(msgspec.Struct, frozen=True):
    key: Key = msgspec.field(name="k")
    version: Count = msgspec.field(name="stamp")


class Change(msgspec.Struct, frozen=True):
    """A put or a delete: exactly one of `put` and `delete` is there."""

    put: Key | None = None
    delete: Key | None = None
    value: Any = msgspec.field(name="v", default=None)
    lease: Count | None = msgspec.field(name="mooring", default=None)

    def __post_init__(self) -> None:
        if (self.put is None) == (self.delete is None):
            raise ValueError("a write is either a put or a delete")


class Transaction(msgspec.Struct, frozen=True):
    conditions: list[Condition] = msgspec.field(name="if", default_factory=list)
    writes: list[Change] = msgspec.field(default_factory=list)


class LeaseRequest(msgspec.Struct, frozen=True):
    life_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = msgspec.field(name="lifeMs")


def item(key: str, value: Any, version: int, lease: int | None) -> dict[str, Any]:
    row = {"k": key, "v": value, "stamp": version}
    if lease is not None:
        row["mooring"] = lease
    return row


def items(rows: list[dict[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    return {"rows": rows, "more": more, "logline": revision}


def revision_of(revision: int, **more: Any) -> dict[str, Any]:
    return {"logline": revision, **more}


def change(key: str, value: Any, version: int, deleted: bool) -> dict[str, Any]:
    return {"delete": key, "stamp": version} if deleted else {"put": key, "v": value, "stamp": version}


def changes(rows: list[dict[str, Any]], revision: int) -> dict[str, Any]:
    return {"logline": revision, "log": rows}


def lease(number: int) -> dict[str, Any]:
    return {"mooring": number}
