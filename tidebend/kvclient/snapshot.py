"""Reading all live keys as of one revision."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.kvclient.client import KeyValueClient
from tidebend.kvclient.errors import NotExecutedError
from tidebend.kvclient.keys import FINAL, LIVE, PREFIX
from tidebend.kvclient.request_kinds import RequestKind
from tidebend.kvclient.results import Row, VersionedValue


@dataclass
class Snapshot:
    """All live keys as of a revision, and the finals that were written while they were read."""

    revision: int
    items: dict[str, VersionedValue] = field(default_factory=dict)
    finals: list[Row] = field(default_factory=list)

    def apply(self, changes: list[Row], revision: int) -> None:
        """Take over what has changed up to a later revision."""
        self.revision = revision
        for key, value, version in changes:
            if key.startswith(FINAL):
                self.finals.append((key, value, version))
            elif value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = VersionedValue(value, version)


def read_snapshot(client: KeyValueClient) -> Snapshot:
    """Read everything, as of one revision; raises as the client does.

    Pages are read one after the other, and the store moves on between them: what has changed since the first is read as
    well before any of it is used, so that a team's record is never seen without its jobs'.
    """
    page, has_more, revision = client.items(LIVE, None)
    snapshot = Snapshot(revision, _by_key(page))
    is_paged = False
    while has_more and page:
        is_paged = True
        page, has_more, _ = client.items(LIVE, page[-1][0])
        snapshot.items.update(_by_key(page))
    if is_paged:
        result = client.changes(PREFIX, snapshot.revision, 0.0, RequestKind.CLAIM)
        if result is None:
            raise NotExecutedError("the store moves on faster than it can be read")
        snapshot.apply(*result)
    return snapshot


def _by_key(rows: list[Row]) -> dict[str, VersionedValue]:
    return {key: VersionedValue(value, version) for key, value, version in rows}
