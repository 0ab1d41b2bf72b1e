"""Results of requests to the key-value store, as named tuples."""

from __future__ import annotations

from typing import Any, NamedTuple

Row = tuple[str, Any, int]  # key, value, version; in a list of changes, a value of None means that the key was deleted


class VersionedValue(NamedTuple):
    """A key's value and its version, which is the revision that wrote it."""

    value: Any
    version: int


ABSENT = VersionedValue(None, 0)


class Page(NamedTuple):
    """Some of the keys with a prefix, in key order."""

    rows: list[Row]
    has_more: bool
    revision: int  # revision at which the page was read


class Changes(NamedTuple):
    """Changes to the keys with a prefix."""

    rows: list[Row]
    revision: int  # the rows are all changes up to this revision
