"""A consistent read of all live keys at one revision."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.kvclient.client import KeyValueClient
from tidebend.kvclient.errors import NotExecutedError
from tidebend.kvclient.keys import FINAL, LIVE, PREFIX
from tidebend.kvclient.request_kinds import RequestKind
from tidebend.kvclient.results import Row, VersionedValue


@dataclass
class Snapshot:
    """All live keys at a revision, and the final states that were written during the read."""

    revision: int
    items: dict[str, VersionedValue] = field(default_factory=dict)
    finals: list[Row] = field(default_factory=list)

    def apply(self, changes: list[Row], revision: int) -> None:
        """Apply the changes up to a later revision."""
        self.revision = revision
        for key, value, version in changes:
            if key.startswith(FINAL):
                self.finals.append((key, value, version))
            elif value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = VersionedValue(value, version)


def read_snapshot(client: KeyValueClient) -> Snapshot:
    """Read all live keys at one revision. Raises the errors of the client.

    The store may change between the reads of two pages. Therefore the changes since the first page are also read and
    applied, so that a team's record is never seen without the records of its jobs.
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
            raise NotExecutedError("the store discarded changes before the snapshot was complete")
        snapshot.apply(*result)
    return snapshot


def _by_key(rows: list[Row]) -> dict[str, VersionedValue]:
    return {key: VersionedValue(value, version) for key, value, version in rows}
