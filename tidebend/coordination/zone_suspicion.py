"""Which zones are suspected of a network partition, and which are isolated with a controller of their own.

A zone is unreachable if every live controller says that it reaches none of its machines. It is isolated if its own
controller, which held its shard, has lost contact with the key-value store: such a controller may go on answering its
workers for as long as `staleness_bound_s`, and their tasks go on.
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
    """A controller that is isolated with its zone, and the steady time since when it is."""

    node: str
    since: float


class LocalHolder(NamedTuple):
    """A peer that held the shard of its own zone, and the steady time at which we last saw it hold it."""

    node: str
    seen_at: float


class LocalHolders:
    """Remembers for each shard which peer of the shard's own zone held it last."""

    def __init__(self, settings: Settings) -> None:
        """The peers and their zones are taken from the settings."""
        self._zones = {peer.name: peer.zone for peer in settings.peers}
        self._last: dict[str, LocalHolder] = {}

    def record(self, shard: str, node: str) -> None:
        """A shard's record names this holder now."""
        if self._zones.get(node) == zone_of(shard):
            self._last[shard] = LocalHolder(node, time.monotonic())

    def last(self, shard: str) -> LocalHolder | None:
        """The last peer of the shard's own zone that held it."""
        return self._last.get(shard)


class ZoneSuspicion:
    """Judges zones by the records of nodes and zones; the leader also writes the latter."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        local_holders: LocalHolders,
        holder_of: Callable[[str], str | None],
        peer_reported_holding: Callable[[str, str], bool],
    ) -> None:
        """`holder_of`: who holds a shard; `peer_reported_holding`: whether a peer said last that it holds a shard."""
        self._settings = settings
        self._cache = cache
        self._local_holders = local_holders
        self._holder_of = holder_of
        self._peer_reported_holding = peer_reported_holding

    def is_unreachable_by_all(self, shard: str) -> bool:
        """Whether every live controller has tried and reaches none of the shard's machines."""
        return all(shard in unreachable for unreachable in self._unreachable_by_node())

    def unreachable_zones(self) -> set[str]:
        """The zones of which no controller reaches any machine."""
        by_node = self._unreachable_by_node()  # one scan of the cache, since each scheduling pass asks for this
        return {zone for zone in self._settings.zones if all(shard_of(zone) in unreachable for unreachable in by_node)}

    def is_suspected(self, shard: str, is_peer_quiet: Callable[[str], bool]) -> bool:
        """Whether the shard's zone may be cut off: its own controller is isolated, or sends us no frames.

        `is_peer_quiet`: whether a peer has sent no frame for a while.
        """
        holder = self._holder_of(shard)
        local_peers = {peer.name for peer in self._settings.peers if peer.zone == zone_of(shard)}
        return self.isolated_holder(shard) is not None or (
            holder is not None and holder in local_peers and is_peer_quiet(holder)
        )

    def isolated_holder(self, shard: str) -> IsolatedHolder | None:
        """The controller of the shard's own zone that was granted the shard and has lost contact; None: there is none.

        By the zone's record, and until the leader has written that, by what we saw ourselves.
        """
        record = self._zone_record(zone_of(shard))
        if record is not None:
            return IsolatedHolder(record.node, time.monotonic() - (time.time() - record.isolated_at))
        last = self._local_holders.last(shard)
        if last is None or self._cache.get(NODE_PREFIX + last.node)[0] is not None:
            return None
        # it may have lost contact a lease before its grant ended
        return IsolatedHolder(last.node, last.seen_at - self._settings.controller_lease_s)

    def isolated_holder_may_act(self, shard: str) -> bool:
        """Whether the isolated controller of the shard had said itself that it holds it.

        A grant alone isn't enough: a controller that was cut off before it read of its grant answers no worker.
        """
        record = self._zone_record(zone_of(shard))
        if record is not None:
            return record.was_holding
        isolated = self.isolated_holder(shard)
        return isolated is not None and self._peer_reported_holding(isolated.node, shard)

    def record_isolated_zones(self, term: int) -> None:
        """As the leader: keep on record which zones are isolated, until their controllers are back.

        The records are attached to no lease: every controller judges by the same ones, one that has just been started
        too. Guards against all that runs in such a zone being given up at once by a holder that doesn't know of it.
        Raises as the client does.
        """
        for zone in self._settings.zones:
            value, version = self._cache.get(ZONE_PREFIX + zone)
            if value is None:
                isolated = self._newly_isolated(zone)
                if isolated is not None:
                    log.info("zone %s is isolated with %s: at the most its tasks go on inside", zone, isolated.node)
                    self._write_zone_record(term, zone, version, isolated)
            elif self._is_over(zone, ZoneRecord.unpack(value)):
                log.info("zone %s is no longer isolated", zone)
                self._write_zone_record(term, zone, version, None)

    def _newly_isolated(self, zone: str) -> ZoneRecord | None:
        """The record of a zone that has none; None unless it is isolated and its tasks may still run."""
        shard = shard_of(zone)
        isolated = self.isolated_holder(shard)
        if isolated is None or time.monotonic() - isolated.since > self._settings.cancel_s:
            return None
        isolated_at = time.time() - (time.monotonic() - isolated.since)
        return ZoneRecord(isolated.node, isolated_at, self._peer_reported_holding(isolated.node, shard))

    def _is_over(self, zone: str, record: ZoneRecord) -> bool:
        """Whether the controller is back, or all that ran there has ended and somebody reaches the zone."""
        if self._cache.get(NODE_PREFIX + record.node)[0] is not None:
            return True
        has_ended = time.time() - record.isolated_at > self._settings.cancel_s
        return has_ended and not self.is_unreachable_by_all(shard_of(zone))

    def _write_zone_record(self, term: int, zone: str, version: int, record: ZoneRecord | None) -> None:
        """Write a zone's record, or delete it, on condition that we still lead."""
        key = ZONE_PREFIX + zone
        value = None if record is None else record.pack()
        self._cache.write({LEADER_KEY: term, key: version}, [(key, value, None)], RequestKind.LEASE)

    def _zone_record(self, zone: str) -> ZoneRecord | None:
        value, _ = self._cache.get(ZONE_PREFIX + zone)
        return None if value is None else ZoneRecord.unpack(value)

    def _unreachable_by_node(self) -> list[tuple[str, ...]]:
        records = self._cache.get_by_prefix(NODE_PREFIX).values()
        return [NodeRecord.unpack(value).unreachable_shards for value, _ in records]
