"""Shards of machines, their grants, and access to the shard records."""

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
    """Return the shard of a zone's machines. Each zone is one shard; larger zones could be divided by machine name."""
    return f"{zone}.0"


def zone_of(shard: str) -> str:
    """Return the zone of a shard's machines."""
    return shard.rpartition(".")[0]


class ShardHolder(NamedTuple):
    """A shard's holder, and the fencing token of its grant."""

    token: int
    node: str


@dataclass(frozen=True, slots=True)
class ShardGrant:
    """A grant of a shard to this controller; the fencing token is the revision of the granting transaction."""

    shard: str
    token: int
    acquired_at: float  # monotonic time from which the grant is used
    held_since: float  # monotonic time since which the shard is held without interruption, also under earlier tokens


class VersionedShardRecord(NamedTuple):
    """A shard's record and its version; the version is the holder's fencing token."""

    record: ShardRecord
    version: int


class ShardRecords:
    """Reads and writes the shard records."""

    def __init__(self, cache: WatchCache, on_granted: Callable[[], None]) -> None:
        """`on_granted` is called after each grant that was written."""
        self._cache = cache
        self._on_granted = on_granted

    def all(self) -> dict[str, VersionedShardRecord]:
        """Return all records by shard, from the cache."""
        return {
            key[len(SHARD_PREFIX) :]: VersionedShardRecord(ShardRecord.unpack(value), version)
            for key, (value, version) in self._cache.get_by_prefix(SHARD_PREFIX).items()
        }

    def get(self, shard: str) -> VersionedShardRecord | None:
        """Return one shard's record from the cache; None if there is none."""
        value, version = self._cache.get(SHARD_PREFIX + shard)
        return None if value is None else VersionedShardRecord(ShardRecord.unpack(value), version)

    def holders(self) -> dict[str, ShardHolder]:
        """Return the holder of each shard, from the cache."""
        return {shard: ShardHolder(version, record.holder) for shard, (record, version) in self.all().items()}

    def grant(self, shard: str, version: int, holder: str, lease: int | None) -> int:
        """Grant a shard if its record still has the given version (0: no record); return the new fencing token.

        Returns NO_TOKEN if the holder's lease has ended. Raises the other errors of `WatchCache.write`.
        """
        key = SHARD_PREFIX + shard
        try:
            token = self._cache.write(
                {key: version}, [(key, ShardRecord(holder, lease).pack(), lease)], RequestKind.LEASE
            )
        except LeaseNotFoundError:
            log.debug("shard %s not granted: the lease of %s has ended", shard, holder)
            return NO_TOKEN
        self._on_granted()
        return token
