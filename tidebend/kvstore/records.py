"""The store's values: items, writes and changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Write:
    """One write of a transaction: a put or a delete."""

    key: str
    value: bytes | None  # JSON; None deletes
    lease: int | None = None  # the item is deleted when this lease ends; None: attached to no lease


@dataclass(frozen=True, slots=True)
class Item:
    """An item of the store."""

    key: str
    value: Any  # decoded JSON
    version: int  # the revision of its last put
    lease: int | None


@dataclass(frozen=True, slots=True)
class Change:
    """A durable change of one key, as watches receive it."""

    key: str
    value: bytes | None  # JSON; None: deleted
    version: int  # the revision of the change
