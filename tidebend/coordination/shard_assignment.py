"""The leader's part: which controller is to hold which shard."""

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

# how long a worker waits for a controller's answer, and then until it tries the next one, in seconds; fixed by the
# protocol
WORKER_ANSWER_TIMEOUT_S = 4.0
WORKER_RETRY_PAUSE_S = 1.0
WORKER_FAILOVER_S = WORKER_ANSWER_TIMEOUT_S + WORKER_RETRY_PAUSE_S
# a worker's report is sent up to this many report intervals after the one before
MAX_REPORT_INTERVALS = 1.25
# shards are moved for balance only between controllers whose numbers of shards differ by as much
MIN_LOAD_DIFFERENCE = 2


class Suitability(NamedTuple):
    """How well a controller suits a shard: of two, the smaller one does better. The first field counts most."""

    cannot_reach: bool  # it reaches none of the shard's machines
    is_exposed: bool  # its workers would lose their leases if it failed
    is_outside_zone: bool
    shards_held: int
    # whose workers would try a dead controller next if it failed, and so lose another time-out
    is_successor_away: bool
    node: str


@dataclass(frozen=True, slots=True)
class Cluster:
    """The controllers at the time of one assignment."""

    names: Sequence[str]  # all that are configured, in the order in which workers try them
    live: Mapping[str, NodeRecord]
    exposed: frozenset[str]

    def successor(self, name: str) -> str:
        """The controller that the workers of this one try next."""
        if name not in self.names:
            return name
        return self.names[(self.names.index(name) + 1) % len(self.names)]

    def suitability(self, shard: str, name: str, shards_held: Mapping[str, int]) -> Suitability:
        """How well a live controller suits a shard."""
        node = self.live[name]
        return Suitability(
            cannot_reach=shard in node.unreachable_shards,
            is_exposed=name in self.exposed,
            is_outside_zone=node.zone != zone_of(shard),
            shards_held=shards_held[name],
            is_successor_away=self.successor(name) not in self.live,
            node=name,
        )


def is_improvement(current: Suitability, best: Suitability, is_best_settled: bool, must_wait: bool) -> bool:
    """Whether a shard is to move from its present holder to the best one.

    `is_best_settled`: the best one has been live for a while. `must_wait`: that the present holder reaches no machine
    is no reason yet.
    """
    if best.cannot_reach:
        return False
    if current.cannot_reach and not must_wait:
        return True
    if not is_best_settled:
        return False
    if current.is_exposed != best.is_exposed:
        return current.is_exposed
    if current.is_outside_zone != best.is_outside_zone:
        return current.is_outside_zone
    return current.shards_held - best.shards_held >= MIN_LOAD_DIFFERENCE


class ShardAssignment:
    """Grants shards to live controllers. Its memory of times is the leader's own and begins anew with each process."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        shard_records: ShardRecords,
        is_isolated: Callable[[str], bool],
    ) -> None:
        """`is_isolated`: whether a shard's zone is isolated with its controller."""
        self._settings = settings
        self._cache = cache
        self._shard_records = shard_records
        self._is_isolated = is_isolated
        self._names = sorted({settings.name, *(peer.name for peer in settings.peers)})
        # steady times
        self._live_since: dict[str, float] = {}
        self._away_since: dict[str, float] = {}
        self._unreachable_since: dict[tuple[str, str], float] = {}  # (shard, node): since when the node says so

    def assign(self) -> None:
        """Grant each shard that has no live holder, or a worse one than it might have. Raises as the client does."""
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
            self._forget_reachable(shard, cluster)
            self._assign_shard(shard, records.get(shard), cluster, shards_held, now)

    def _read_cluster(self, now: float) -> Cluster:
        live = {
            key[len(NODE_PREFIX) :]: NodeRecord.unpack(value)
            for key, (value, _) in self._cache.get_by_prefix(NODE_PREFIX).items()
        }
        self._live_since = {name: self._live_since.get(name, now) for name in live}
        return Cluster(self._names, live, frozenset(self._exposed(now)))

    def _exposed(self, now: float) -> set[str]:
        """The controllers whose workers would lose their leases if they failed, too: the next one in the workers' order
        has been away for a while, and two time-outs are longer than a lease.

        Guards the tasks of a zone whose controller fails while the next one is away for long: its workers found the
        third too late.
        """
        lease_s = self._settings.lease_s
        if lease_s > 2.0 * WORKER_FAILOVER_S + MAX_REPORT_INTERVALS * self._settings.report_s:
            return set()
        away = {name for name in self._names if name not in self._live_since}
        self._away_since = {name: self._away_since.get(name, now) for name in away}
        away_for_long = {name for name, since in self._away_since.items() if now - since > lease_s}
        successors = [*self._names[1:], self._names[0]]
        return {name for name, successor in zip(self._names, successors, strict=True) if successor in away_for_long}

    def _forget_reachable(self, shard: str, cluster: Cluster) -> None:
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
        is_settled = now - self._live_since[best.node] > self._settings.controller_lease_s
        must_wait = current.cannot_reach and self._must_wait(shard, holder, now)
        if is_improvement(current, best, is_settled, must_wait):
            self._grant(shard, versioned.version, best.node, cluster, shards_held)
            shards_held[holder] -= 1

    def _must_wait(self, shard: str, holder: str, now: float) -> bool:
        """Whether a shard stays with a holder that reaches none of its machines, for now.

        All controllers probe an isolated zone at the same time: none takes it from another before it has had time to
        say what it reaches.
        """
        since = self._unreachable_since.setdefault((shard, holder), now)
        return self._is_isolated(shard) and now - since < self._settings.controller_lease_s

    def _grant(self, shard: str, version: int, name: str, cluster: Cluster, shards_held: dict[str, int]) -> None:
        lease = cluster.live[name].lease
        self._shard_records.grant(shard, version, name, lease)
        shards_held[name] += 1
        log.info("shard %s goes to %s", shard, name)
