"""Assignment of shards to controllers, done by the leader."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from tidebend.coordination.records import NODE_PREFIX, NodeRecord
from tidebend.coordination.shards import ShardRecords, VersionedShardRecord, shard_of, zone_of
from tidebend.kvclient import WatchCache
from tidebend.settings import Settings

log = logging.getLogger("coordination")

# How long a worker waits for a controller's answer, and then before it tries the next controller; both are fixed by the
# protocol.
WORKER_ANSWER_TIMEOUT_S = 4.0
WORKER_RETRY_PAUSE_S = 1.0
WORKER_FAILOVER_S = WORKER_ANSWER_TIMEOUT_S + WORKER_RETRY_PAUSE_S
# Longest time between two reports of a worker, as a multiple of the report interval.
MAX_REPORT_GAP_INTERVALS = 1.25
# Minimum difference in the number of shards held at which a shard is moved to balance the load.
MIN_LOAD_DIFFERENCE = 2


class Suitability(NamedTuple):
    """How suitable a controller is as a shard's holder: smaller is better, and earlier fields take precedence."""

    cannot_reach: bool  # the controller reaches none of the shard's machines
    lacks_failover: bool  # its workers would lose their leases if it failed
    is_outside_zone: bool
    shards_held: int
    # If the controller failed, its workers would try a dead one next and lose another timeout.
    is_successor_down: bool
    node: str


@dataclass(frozen=True, slots=True)
class Cluster:
    """The controllers at the time of one assignment."""

    names: Sequence[str]  # all configured controllers, in the order in which workers try them
    live: Mapping[str, NodeRecord]
    without_failover: frozenset[str]  # controllers whose workers would lose their leases if they failed

    def successor(self, name: str) -> str:
        """Return the controller that workers try after this one."""
        if name not in self.names:
            return name
        return self.names[(self.names.index(name) + 1) % len(self.names)]

    def suitability(self, shard: str, name: str, shards_held: Mapping[str, int]) -> Suitability:
        """Return how suitable a live controller is as a shard's holder."""
        node = self.live[name]
        return Suitability(
            cannot_reach=shard in node.unreachable_shards,
            lacks_failover=name in self.without_failover,
            is_outside_zone=node.zone != zone_of(shard),
            shards_held=shards_held[name],
            is_successor_down=self.successor(name) not in self.live,
            node=name,
        )


def is_improvement(current: Suitability, best: Suitability, is_best_stable: bool, ignore_unreachable: bool) -> bool:
    """Return whether a shard should move from its current holder to the best candidate.

    `is_best_stable`: the best candidate has been live for a while. `ignore_unreachable`: don't move the shard yet just
    because its holder reaches none of its machines.
    """
    if best.cannot_reach:
        return False
    if current.cannot_reach and not ignore_unreachable:
        return True
    if not is_best_stable:
        return False
    if current.lacks_failover != best.lacks_failover:
        return current.lacks_failover
    if current.is_outside_zone != best.is_outside_zone:
        return current.is_outside_zone
    return current.shards_held - best.shards_held >= MIN_LOAD_DIFFERENCE


class ShardAssignment:
    """Grants shards to live controllers.

    The recorded times are local to the leader's process; they aren't stored, and are lost with the process.
    """

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        shard_records: ShardRecords,
        is_isolated: Callable[[str], bool],
    ) -> None:
        """`is_isolated` returns whether a shard's zone is isolated with its controller."""
        self._settings = settings
        self._cache = cache
        self._shard_records = shard_records
        self._is_isolated = is_isolated
        self._controller_names = sorted({settings.name, *(peer.name for peer in settings.peers)})
        # monotonic times
        self._live_since: dict[str, float] = {}
        self._down_since: dict[str, float] = {}
        self._unreachable_since: dict[tuple[str, str], float] = {}  # by shard and node that reports it

    def assign(self) -> None:
        """Grant each shard that has no holder, and move those that have a better candidate.

        Raises the errors of `WatchCache.write`.
        """
        now = time.monotonic()
        cluster = self._read_cluster(now)
        records = self._shard_records.all()
        if not cluster.live:
            return
        shards_held = dict.fromkeys(cluster.live, 0)
        for record, _ in records.values():
            if record.holder in shards_held:
                shards_held[record.holder] += 1
        for shard in sorted({shard_of(zone) for zone in self._settings.zones} | records.keys()):
            self._clear_reachable(shard, cluster)
            self._assign_shard(shard, records.get(shard), cluster, shards_held, now)

    def _read_cluster(self, now: float) -> Cluster:
        live = {
            key[len(NODE_PREFIX) :]: NodeRecord.unpack(value)
            for key, (value, _) in self._cache.get_by_prefix(NODE_PREFIX).items()
        }
        self._live_since = {name: self._live_since.get(name, now) for name in live}
        return Cluster(self._controller_names, live, frozenset(self._without_failover(now)))

    def _without_failover(self, now: float) -> set[str]:
        """Return the controllers whose workers would lose their leases if the controller failed.

        These are the controllers whose successor in the workers' order has been down for a while, provided that two
        failovers take longer than a lease: the workers would find the third controller too late, and the zone's tasks
        would be lost.
        """
        lease_s = self._settings.lease_s
        if lease_s > 2.0 * WORKER_FAILOVER_S + MAX_REPORT_GAP_INTERVALS * self._settings.report_s:
            return set()
        down = {name for name in self._controller_names if name not in self._live_since}
        self._down_since = {name: self._down_since.get(name, now) for name in down}
        long_down = {name for name, since in self._down_since.items() if now - since > lease_s}
        successors = [*self._controller_names[1:], self._controller_names[0]]
        return {
            name for name, successor in zip(self._controller_names, successors, strict=True) if successor in long_down
        }

    def _clear_reachable(self, shard: str, cluster: Cluster) -> None:
        for name, node in cluster.live.items():
            if shard not in node.unreachable_shards:
                self._unreachable_since.pop((shard, name), None)

    def _assign_shard(
        self,
        shard: str,
        versioned: VersionedShardRecord | None,
        cluster: Cluster,
        shards_held: dict[str, int],
        now: float,
    ) -> None:
        candidates = {name: cluster.suitability(shard, name, shards_held) for name in cluster.live}
        best = min(candidates.values())
        if versioned is None:
            self._grant(shard, 0, best.node, cluster, shards_held)
            return
        holder = versioned.record.holder
        if holder == best.node or holder not in cluster.live:
            return
        current = candidates[holder]
        is_best_stable = now - self._live_since[best.node] > self._settings.controller_lease_s
        ignore_unreachable = current.cannot_reach and self._should_ignore_unreachable(shard, holder, now)
        if is_improvement(current, best, is_best_stable, ignore_unreachable):
            self._grant(shard, versioned.version, best.node, cluster, shards_held)
            shards_held[holder] -= 1

    def _should_ignore_unreachable(self, shard: str, holder: str, now: float) -> bool:
        """Return whether a shard stays for now with a holder that reaches none of its machines.

        All controllers probe an isolated zone at the same time, so its shard isn't moved before each of them has had
        time to report which machines it reaches.
        """
        since = self._unreachable_since.setdefault((shard, holder), now)
        return self._is_isolated(shard) and now - since < self._settings.controller_lease_s

    def _grant(self, shard: str, version: int, name: str, cluster: Cluster, shards_held: dict[str, int]) -> None:
        lease = cluster.live[name].lease
        self._shard_records.grant(shard, version, name, lease)
        shards_held[name] += 1
        log.info("shard %s granted to %s", shard, name)
