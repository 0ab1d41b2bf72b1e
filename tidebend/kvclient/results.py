"""What the store's requests return, as tuples with names."""

from __future__ import annotations

from typing import Any, NamedTuple

Row = tuple[str, Any, int]  # key, value, version; in a list of changes a value of None is a deletion


class VersionedValue(NamedTuple):
    """A key's value, and the revision that wrote it."""

    value: Any
    version: int


ABSENT = VersionedValue(None, 0)


class Page(NamedTuple):
    """Some of the keys under a prefix, in their order."""

    rows: list[Row]
    has_more: bool
    revision: int  # as of which they were read


class Changes(NamedTuple):
    """What has changed under a prefix."""

    rows: list[Row]
    revision: int  # up to which these are all changes
