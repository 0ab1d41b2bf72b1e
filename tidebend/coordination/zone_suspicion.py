"""Detection of zones that are suspected of a network partition, unreachable, or isolated with their own controller.

A zone is unreachable if every live controller reports that it reaches none of the zone's machines. It is isolated if
its own controller, which held its shard, has lost contact with the key-value store: such a controller may continue to
answer its workers for up to `staleness_bound_s`, so that their tasks continue.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from tidebend.coordination.records import LEADER_KEY, NODE_PREFIX, ZONE_PREFIX, NodeRecord, ZoneRecord
from tidebend.coordination.shards import shard_of, zone_of
from tidebend.kvclient import RequestKind, WatchCache
from tidebend.settings import Settings

log = logging.getLogger("coordination")


class IsolatedHolder(NamedTuple):
    """A controller that is isolated with its zone, and the monotonic time since which it is isolated."""

    node: str
    since: float


class LocalHolder(NamedTuple):
    """A peer that held the shard of its own zone, and the monotonic time at which it was last seen as the holder."""

    node: str
    seen_at: float


class LocalHolders:
    """For each shard, the peer of the shard's own zone that held it last."""

    def __init__(self, settings: Settings) -> None:
        """The peers and their zones are taken from the settings."""
        self._zones = {peer.name: peer.zone for peer in settings.peers}
        self._last: dict[str, LocalHolder] = {}

    def record(self, shard: str, node: str) -> None:
        """Note that a shard's record currently names this holder."""
        if self._zones.get(node) == zone_of(shard):
            self._last[shard] = LocalHolder(node, time.monotonic())

    def last(self, shard: str) -> LocalHolder | None:
        """Return the last holder of the shard among the peers of its own zone."""
        return self._last.get(shard)


class ZoneSuspicion:
    """Evaluates the state of zones by the node and zone records; the leader also writes the zone records."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        local_holders: LocalHolders,
        holder_of: Callable[[str], str | None],
        peer_reported_holding: Callable[[str, str], bool],
    ) -> None:
        """`holder_of` returns a shard's holder; `peer_reported_holding`, whether a peer's last frame listed a shard."""
        self._settings = settings
        self._cache = cache
        self._local_holders = local_holders
        self._holder_of = holder_of
        self._peer_reported_holding = peer_reported_holding

    def is_unreachable_by_all(self, shard: str) -> bool:
        """Return whether every live controller has marked the shard as unreachable."""
        return all(shard in unreachable for unreachable in self._unreachable_by_node())

    def unreachable_zones(self) -> set[str]:
        """Return the zones that every live controller has marked as unreachable."""
        by_node = self._unreachable_by_node()  # scans the cache only once, since each scheduling pass calls this
        return {zone for zone in self._settings.zones if all(shard_of(zone) in unreachable for unreachable in by_node)}

    def is_suspected(self, shard: str, is_peer_silent: Callable[[str], bool]) -> bool:
        """Return whether the shard's zone may be partitioned: its own controller is isolated or sends no frames.

        `is_peer_silent` returns whether a peer has sent no frames recently.
        """
        holder = self._holder_of(shard)
        local_peers = {peer.name for peer in self._settings.peers if peer.zone == zone_of(shard)}
        return self.isolated_holder(shard) is not None or (
            holder is not None and holder in local_peers and is_peer_silent(holder)
        )

    def isolated_holder(self, shard: str) -> IsolatedHolder | None:
        """Return the controller of the shard's own zone that held the shard and has lost contact; None without one.

        Uses the zone record or, until the leader has written that, the shard records that this controller has seen.
        """
        record = self._zone_record(zone_of(shard))
        if record is not None:
            return IsolatedHolder(record.node, time.monotonic() - (time.time() - record.isolated_at))
        last = self._local_holders.last(shard)
        if last is None or self._cache.get(NODE_PREFIX + last.node)[0] is not None:
            return None
        # The holder may have lost contact up to one lease before its grant ended.
        return IsolatedHolder(last.node, last.seen_at - self._settings.controller_lease_s)

    def isolated_holder_may_act(self, shard: str) -> bool:
        """Return whether the shard's isolated controller had reported that it holds the shard.

        A grant alone isn't enough: a controller that was cut off before it read its grant doesn't answer workers.
        """
        record = self._zone_record(zone_of(shard))
        if record is not None:
            return record.was_holding
        isolated = self.isolated_holder(shard)
        return isolated is not None and self._peer_reported_holding(isolated.node, shard)

    def record_isolated_zones(self, term: int) -> None:
        """Write and delete the records of isolated zones. Called by the leader; `term` is its term.

        A record exists until the zone's controller is back. It is attached to no lease, so that all controllers, also
        newly started ones, use the same information: a new holder that doesn't know of the isolation would give up all
        tasks in the zone at once. Raises the errors of `WatchCache.write`.
        """
        for zone in self._settings.zones:
            value, version = self._cache.get(ZONE_PREFIX + zone)
            if value is None:
                isolated = self._newly_isolated(zone)
                if isolated is not None:
                    log.info("zone %s is isolated with %s: its tasks may still be running", zone, isolated.node)
                    self._write_zone_record(term, zone, version, isolated)
            elif self._is_isolation_over(zone, ZoneRecord.unpack(value)):
                log.info("zone %s is no longer isolated", zone)
                self._write_zone_record(term, zone, version, None)

    def _newly_isolated(self, zone: str) -> ZoneRecord | None:
        """Return the record to write for a zone without one; None unless it is isolated and tasks may be running."""
        shard = shard_of(zone)
        isolated = self.isolated_holder(shard)
        if isolated is None or time.monotonic() - isolated.since > self._settings.cancel_s:
            return None
        isolated_at = time.time() - (time.monotonic() - isolated.since)
        return ZoneRecord(isolated.node, isolated_at, self._peer_reported_holding(isolated.node, shard))

    def _is_isolation_over(self, zone: str, record: ZoneRecord) -> bool:
        """Return whether the controller is back, or all tasks in the zone have ended and a controller reaches it."""
        if self._cache.get(NODE_PREFIX + record.node)[0] is not None:
            return True
        has_ended = time.time() - record.isolated_at > self._settings.cancel_s
        return has_ended and not self.is_unreachable_by_all(shard_of(zone))

    def _write_zone_record(self, term: int, zone: str, version: int, record: ZoneRecord | None) -> None:
        """Write a zone's record, or delete it if `record` is None, on condition that this controller still leads."""
        key = ZONE_PREFIX + zone
        value = None if record is None else record.pack()
        self._cache.write({LEADER_KEY: term, key: version}, [(key, value, None)], RequestKind.LEASE)

    def _zone_record(self, zone: str) -> ZoneRecord | None:
        value, _ = self._cache.get(ZONE_PREFIX + zone)
        return None if value is None else ZoneRecord.unpack(value)

    def _unreachable_by_node(self) -> list[tuple[str, ...]]:
        records = self._cache.get_by_prefix(NODE_PREFIX).values()
        return [NodeRecord.unpack(value).unreachable_shards for value, _ in records]
