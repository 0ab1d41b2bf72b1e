"""Shards of machines, grants of them, and the records that say who holds which."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from tidebend.coordination.records import SHARD_PREFIX, ShardRecord
from tidebend.kvclient import LeaseNotFoundError, RequestKind, WatchCache

log = logging.getLogger("coordination")

NO_TOKEN = 0


def shard_of(zone: str) -> str:
    """The shard a machine belongs to: a pure function of its zone (and, were zones larger, of its name)."""
    return f"{zone}.0"


def zone_of(shard: str) -> str:
    """The zone whose machines a shard holds."""
    return shard.rpartition(".")[0]


class ShardHolder(NamedTuple):
    """Who holds a shard, and the fencing token that it was granted with."""

    token: int
    node: str


@dataclass(frozen=True, slots=True)
class ShardGrant:
    """A shard that is ours: the token is the revision of the granting transaction."""

    shard: str
    token: int
    acquired_at: float  # steady time from which we act on it
    held_since: float  # ... and from which we have held the shard without a break, under earlier tokens too


class VersionedShardRecord(NamedTuple):
    """A shard's record, and its version, which is the holder's fencing token."""

    record: ShardRecord
    version: int


class ShardRecords:
    """Reads and writes the records that say which controller holds which shard."""

    def __init__(self, cache: WatchCache, on_granted: Callable[[], None]) -> None:
        """`on_granted` is called after each grant that was written."""
        self._cache = cache
        self._on_granted = on_granted

    def all(self) -> dict[str, VersionedShardRecord]:
        """The records by shard, as of the cache."""
        return {
            key[len(SHARD_PREFIX) :]: VersionedShardRecord(ShardRecord.unpack(value), version)
            for key, (value, version) in self._cache.get_by_prefix(SHARD_PREFIX).items()
        }

    def get(self, shard: str) -> VersionedShardRecord | None:
        """One shard's record, as of the cache."""
        value, version = self._cache.get(SHARD_PREFIX + shard)
        return None if value is None else VersionedShardRecord(ShardRecord.unpack(value), version)

    def holders(self) -> dict[str, ShardHolder]:
        """Who holds which shard, as of the cache."""
        return {shard: ShardHolder(version, record.holder) for shard, (record, version) in self.all().items()}

    def grant(self, shard: str, version: int, holder: str, lease: int | None) -> int:
        """Write a grant in the place of the record of that version (0: there is none); the new fencing token.

        NO_TOKEN if the holder's lease has ended; else raises as the client does.
        """
        key = SHARD_PREFIX + shard
        try:
            token = self._cache.write(
                {key: version}, [(key, ShardRecord(holder, lease).pack(), lease)], RequestKind.LEASE
            )
        except LeaseNotFoundError:
            log.debug("shard %s: %s has no lease any more", shard, holder)
            return NO_TOKEN
        self._on_granted()
        return token
