"""Our lease, leading, and the blocks that are ours."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable
from typing import Any

from tidebend.coordination.schema_version import SchemaVersion
from tidebend.coordination.shards import ShardGrant, shard_of, zone_of
from tidebend.kvclient import (
    LIVE,
    ConflictError,
    KeyValueClient,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    WatchCache,
)
from tidebend.settings import Settings

log = logging.getLogger("coordination")

LEADER = LIVE + "leader"
NODE = LIVE + "node/"
SHARD = LIVE + "block/"
ZONE = LIVE + "zone/"
# how long a worker waits for an answer, and then until it tries the next controller; the protocol says so
WORKERS_TRY_S = 4.0 + 1.0
FAILURES = (ConflictError, LeaseNotFoundError, NotExecutedError, OutcomeUnknownError)


class Coordinator:
    """Keeps our lease, leads if it falls to us, and knows which blocks are ours."""

    def __init__(
        self,
        settings: Settings,
        state: KeyValueClient,
        cache: WatchCache,
        on_shard_acquired: Callable[[ShardGrant], None],
        schema_version: SchemaVersion,
    ) -> None:
        self.settings = settings
        self.schema_version = schema_version
        self.state = state
        self.cache = cache
        self._took_up = on_shard_acquired
        self.lease: int | None = None
        self.lease_until = -1e9
        self._lease_s = settings.controller_lease_s
        self._held: dict[str, ShardGrant] = {}
        self._raised: dict[str, int] = {}  # block -> the token that we gave ourselves in the place of our last one
        self._higher_grants: dict[str, tuple[int, str]] = {}  # block -> (token, holder) as peers tell it
        self._lock = threading.Lock()
        self._unheard: dict[str, float] = {}  # block -> steady time until which we would rather not hold it
        self._nodes_since: dict[str, float] = {}
        self._gone_since: dict[str, float] = {}  # controllers that are away, and since when the leader sees it
        self._unheard_since: dict[tuple[str, str], float] = {}  # block and node -> since when the leader sees it say so
        self._at_home: dict[str, tuple[str, float]] = {}  # block -> its zone's holder, and when it last held it
        self.peer_reported_holding: Callable[[str, str], bool] = lambda node, shard: (
            True
        )  # as that node's own last news had it
        self._renewed = -1e9  # steady time of our present lease's grant
        self.wake = threading.Event()

    # Our lease

    def start(self) -> None:
        threading.Thread(target=self._keep, name="lease", daemon=True).start()
        threading.Thread(target=self._blocks, name="blocks", daemon=True).start()

    def _keep(self) -> None:
        pause = self._lease_s / 4.0
        while True:
            began = time.monotonic()
            if self.renew_lease():
                time.sleep(max(0.0, pause - (time.monotonic() - began)))
            else:
                time.sleep(random.uniform(0.3, 0.7) * pause)

    def renew_lease(self) -> bool:
        began = time.monotonic()
        try:
            if self.lease is None or not self.state.extend_lease(self.lease):
                if self.lease is not None:
                    log.info("lease %s has ended", self.lease)
                self.lease = self.state.grant_lease(self._lease_s)
                self._renewed = time.monotonic()
            # drift: clocks may run fast by 0.05%, so a lease is trusted a little less long
            self.lease_until = began + self._lease_s * 0.999
            # Each time, from what the state service has: guards an announcement that got no answer or was refused, and
            # whatever a former process of ours left behind.
            self._announce()
        except LeaseNotFoundError:
            self.lease, self.lease_until = None, -1e9
            return False
        except FAILURES as error:
            log.info("lease: %s", error)
            return False
        return True

    def _announce(self) -> None:
        """Have our record say what it should; nothing is sent if it does.

        Conditional on what was there. Guards against an announcement without an answer that is carried out late: it put
        an old list of unheard blocks, or a former process's lease, in the place of newer ones, for good.
        """
        now = time.monotonic()
        self._unheard = {shard: until for shard, until in self._unheard.items() if until > now}
        key = NODE + self.settings.name
        value = {"lease": self.lease, "zone": self.settings.zone, "unheard": sorted(self._unheard)}
        for again in (True, False):
            there, version = self.cache.get(key)
            if there == value:
                return
            try:
                self.cache.write({key: version}, [(key, value, self.lease)], "lease")
            except ConflictError:
                if not again or not self.cache.barrier(self.state.timeout, "claim"):
                    raise

    @property
    def lease_valid(self) -> bool:
        return time.monotonic() < self.lease_until

    def mark_unreachable(self, shard: str, machines: int, seconds: float) -> None:
        """We hear none of a block's machines: another controller may, and should hold it for a while."""
        until = time.monotonic() + seconds
        if shard in self._unheard:
            self._unheard[shard] = max(self._unheard[shard], until)  # still so: no need to say it again
            return
        log.info("block %s: none of %d machines is heard", shard, machines)
        self._unheard[shard] = until
        self._announce_or_log(shard)

    def is_marked_unreachable(self, shard: str) -> bool:
        """Whether we would rather not hold a block, because we hear none of its machines."""
        return self._unheard.get(shard, -1e9) > time.monotonic()

    def clear_unreachable(self, shard: str) -> None:
        """We hear some of a block's machines after all."""
        if self._unheard.pop(shard, None) is not None:
            log.info("block %s: some of its machines are heard again", shard)
            self._announce_or_log(shard)

    def _announce_or_log(self, shard: str) -> None:
        try:
            self._announce()
        except FAILURES as error:
            log.info("block %s: %s", shard, error)

    def is_unreachable_by_all(self, shard: str) -> bool:
        """Whether every live controller has tried and hears none of the block's machines."""
        return all(shard in unheard for unheard in self._unheard_by_node())

    def _unheard_by_node(self) -> list[list[str]]:
        return [value.get("unheard", ()) for value, _ in self.cache.under(NODE).values()]

    def unreachable_zones(self) -> set[str]:
        """The zones that nobody hears."""
        nodes = self._unheard_by_node()  # one look through the cache, at each mapping event
        return {zone for zone in self.settings.zones if all(shard_of(zone) in unheard for unheard in nodes)}

    def is_suspected(self, shard: str, silent: Callable[[str], bool]) -> bool:
        """Whether the block's zone may be cut off: its own controller is gone, or `silent` says that it doesn't
        tell us anything."""
        holder = self.holder(shard)
        at_home = {peer.name for peer in self.settings.peers if peer.zone == zone_of(shard)}
        return self.isolated_holder(shard) is not None or (holder in at_home and silent(holder))

    def isolated_holder(self, shard: str) -> tuple[str, float] | None:
        """The controller of the block's own zone, to which it was granted, and since when it is out of touch, if it is.

        A zone that is cut off goes on working inside: such a controller may answer its workers for as long as
        `staleness_bound_s`, and their tasks go on.
        """
        record, _ = self.cache.get(ZONE + zone_of(shard))
        if record is not None:
            return record["node"], time.monotonic() - (time.time() - record["at"])
        name, seen = self._at_home.get(shard, ("", 0.0))
        if not name or self.cache.get(NODE + name)[0] is not None:
            return None
        return name, seen - self._lease_s  # it may have lost touch a lease before its grant ended

    def isolated_holder_may_act(self, shard: str) -> bool:
        """Whether the controller that was left alone with a block held it by its own news: granted isn't held."""
        record, _ = self.cache.get(ZONE + zone_of(shard))
        alone = self.isolated_holder(shard)
        return (
            record["held"] if record is not None else alone is not None and self.peer_reported_holding(alone[0], shard)
        )

    def _keep_zones(self, term: int) -> None:
        """The leader records which zones were left alone, with whom and since when, until that controller is back.

        Without a lease, and not in memory: every controller goes by the same, one that has just been started too.
        Guards against all that stands in such a zone being given up at once by a holder that doesn't know of it.
        """
        for zone in self.settings.zones:
            shard, key = shard_of(zone), ZONE + zone
            record, version = self.cache.get(key)
            if record is None:
                alone = self.isolated_holder(shard)
                if alone is None or time.monotonic() - alone[1] > self.settings.cancel_s:
                    continue  # whatever stood there alone has ended
                at = time.time() - (time.monotonic() - alone[1])
                value = {"node": alone[0], "at": round(at, 3), "held": self.peer_reported_holding(alone[0], shard)}
                log.info("zone %s: %s is out of touch; it works on inside at the most", zone, alone[0])
            elif self.cache.get(NODE + record["node"])[0] is not None or (
                time.time() - record["at"] > self.settings.cancel_s and not self.is_unreachable_by_all(shard)
            ):
                value = None
                log.info("zone %s is no longer left alone", zone)
            else:
                continue
            self.cache.write({LEADER: term, key: version}, [(key, value, None)], "lease")

    # Blocks

    def holder(self, shard: str) -> str | None:
        value, version = self.cache.get(SHARD + shard)
        with self._lock:
            higher_grants = self._higher_grants.get(shard)
        if higher_grants and higher_grants[0] > version:
            return higher_grants[1]
        return value["holder"] if value else None

    def grant(self, shard: str) -> ShardGrant | None:
        """Ours to act on; None once a peer has told us of a higher token."""
        with self._lock:
            grant = self._held.get(shard)
            higher_grants = self._higher_grants.get(shard)
        if grant is None or (higher_grants and higher_grants[0] > grant.token):
            return None
        return grant

    def grants(self) -> list[ShardGrant]:
        with self._lock:
            shards = list(self._held)
        return [grant for grant in map(self.grant, shards) if grant is not None]

    def held_zones(self) -> dict[str, tuple[str, int]]:
        """The zones whose blocks are ours, with the conditions that they still are."""
        return {zone_of(grant.shard): self.condition(grant) for grant in self.grants()}

    def condition(self, grant: ShardGrant) -> tuple[str, int]:
        return SHARD + grant.shard, grant.token

    def raise_fencing_token(self, grant: ShardGrant) -> None:
        """Grant ourselves the block anew: what was sent under the old token can't be executed once the new one
        is known to a worker."""
        if self.lease is not None and self.lease_valid:
            try:
                self._raised[grant.shard] = self._put_block(grant.shard, grant.token, self.settings.name, self.lease)
            except FAILURES as error:
                log.info("block %s: no new token: %s", grant.shard, error)

    def observe_higher_token(self, shard: str, token: int) -> None:
        """A worker has seen a higher token than ours."""
        with self._lock:
            grant = self._held.get(shard)
            if grant is not None and token > grant.token:
                del self._held[shard]
                log.info("block %s: token %s is above ours, %s", shard, token, grant.token)

    def table(self) -> dict[str, tuple[int, str]]:
        return {
            key[len(SHARD) :]: (version, value["holder"]) for key, (value, version) in self.cache.under(SHARD).items()
        }

    def learn_holders(self, table: dict[str, Any]) -> None:
        with self._lock:
            for shard, (token, holder) in table.items():
                if token > self._higher_grants.get(shard, (0, ""))[0]:
                    self._higher_grants[shard] = (token, holder)

    def _blocks(self) -> None:
        while True:
            self.wake.wait(self._lease_s / 10.0)
            self.wake.clear()
            self.maintain_shards()

    def maintain_shards(self) -> None:
        if not self.cache.loaded.is_set():
            return
        try:
            if self.cache.watched < self._renewed:
                # Guards against a watch that died in the cut in which our lease ended, unnoticed until its time is
                # over: a block that is given back to us would have nobody who acts on it meanwhile.
                self.cache.barrier(self.state.timeout, "claim")
            self._take_up()
            self._lead()
            self.schema_version.announce()
            term = self.term
            if term is not None:
                self.schema_version.raise_if_all_read({LEADER: term})
        except ConflictError as conflict:
            # our cache is behind: after a refusal of us alone the old watch may hang on for its full time
            log.info("blocks: conflict over %s", conflict)
            self.cache.barrier(self.state.timeout, "claim")
        except FAILURES as error:
            log.info("blocks: %s", error)
            time.sleep(random.uniform(0.02, 0.1) * self._lease_s)

    def _take_up(self) -> None:
        """Notice grants and losses; after a restart, take our own blocks back at once."""
        fresh = {}
        lost = []
        zones = {peer.name: peer.zone for peer in self.settings.peers}
        for key, (value, version) in self.cache.under(SHARD).items():
            shard = key[len(SHARD) :]
            if zones.get(value["holder"]) == zone_of(shard):
                self._at_home[shard] = (value["holder"], time.monotonic())
            if value["holder"] != self.settings.name:
                continue
            if value["lease"] != self.lease:
                if self.lease is not None and self.lease_valid:
                    self._put_block(shard, version, self.settings.name, self.lease)
                continue
            with self._lock:
                held = self._held.get(shard)
            if held is None or held.token < version:
                fresh[shard] = version
        current = self.cache.under(SHARD)
        with self._lock:
            for shard, grant in list(self._held.items()):
                value, version = current.get(SHARD + shard, (None, 0))
                if value is None or version > grant.token and value["holder"] != self.settings.name:
                    lost.append(shard)
                    del self._held[shard]
        for shard in lost:
            log.info("block %s is no longer ours", shard)
        # Claims that were recorded before the grant must be known before the first answer: our own transactions
        # reach the cache ahead of others' earlier ones.
        if fresh and self.cache.barrier(self.state.timeout, "claim"):
            # Guards a controller that was out of touch against its old grants: that read may tell of later ones.
            fresh = {shard: token for shard, token in fresh.items() if self.cache.get(SHARD + shard)[1] == token}
            now = time.monotonic()
            with self._lock:
                # Guards against a patience that begins anew with each token: while a block's workers are lost we raise
                # it again and again, for the commands that got no answer. Whatever else gave us a new one, others may
                # have held the block meanwhile.
                taken = [
                    ShardGrant(
                        shard,
                        token,
                        now,
                        self._held[shard].held_since
                        if shard in self._held and token == self._raised.get(shard)
                        else now,
                    )
                    for shard, token in fresh.items()
                ]
                self._held.update((grant.shard, grant) for grant in taken)
            for grant in taken:
                log.info("block %s is ours with token %s", grant.shard, grant.token)
                self._took_up(grant)

    def _put_block(self, shard: str, version: int, holder: str, lease: int) -> int:
        """The block's new token, if that is known; else 0."""
        value = {"holder": holder, "lease": lease}
        key = SHARD + shard
        try:
            token = self.cache.write({key: version}, [(key, value, lease)], "lease")
            self.wake.set()
            return token
        except LeaseNotFoundError:
            log.debug("block %s: %s has no lease any more", shard, holder)
            return 0

    # Leading

    @property
    def term(self) -> int | None:
        """The revision of our election while we lead."""
        value, version = self.cache.get(LEADER)
        if value is None or value["node"] != self.settings.name or value["lease"] != self.lease:
            return None
        return version if self.lease_valid else None

    def _lead(self) -> None:
        value, version = self.cache.get(LEADER)
        if value is None or (value["node"] == self.settings.name and value["lease"] != self.lease):
            if self.lease is None or not self.lease_valid:
                return
            if value is None:
                time.sleep(random.uniform(0, 0.05) * self._lease_s)
            value = {"node": self.settings.name, "lease": self.lease}
            try:
                revision = self.cache.write({LEADER: version}, [(LEADER, value, self.lease)], "lease")
            except ConflictError:
                self.cache.barrier(self.state.timeout, "claim")
                return
            log.info("leader from revision %s on", revision)
        term = self.term
        if term is not None:
            self._keep_zones(term)
            self._share_out()

    def _exposed(self, names: list[str], now: float) -> set[str]:
        """The controllers whose workers would lose their leases if they fell silent, too: the next one in the workers'
        order has been gone for a while, and two time-outs are longer than a lease.

        Guards the work of a zone whose controller fails while the next one is away for long: its workers found the
        third too late.
        """
        if self.settings.lease_s > 2.0 * WORKERS_TRY_S + 1.25 * self.settings.report_s:
            return set()
        gone = {name for name in names if name not in self._nodes_since}
        self._gone_since = {name: self._gone_since.get(name, now) for name in gone}
        long = {name for name, since in self._gone_since.items() if now - since > self.settings.lease_s}
        return {name for number, name in enumerate(names) if names[(number + 1) % len(names)] in long}

    def _share_out(self) -> None:
        now = time.monotonic()
        nodes = {key[len(NODE) :]: value for key, (value, _) in self.cache.under(NODE).items()}
        self._nodes_since = {name: self._nodes_since.get(name, now) for name in nodes}
        shards = self.cache.under(SHARD)
        held = dict.fromkeys(nodes, 0)
        names = sorted({self.settings.name, *(peer.name for peer in self.settings.peers)})
        exposed = self._exposed(names, now)
        for value, _ in shards.values():
            if value["holder"] in held:
                held[value["holder"]] += 1
        every = {shard_of(zone) for zone in self.settings.zones}
        every |= {key[len(SHARD) :] for key in shards}
        for shard in sorted(every):
            value, version = shards.get(SHARD + shard, (None, 0))
            holder = value["holder"] if value else None
            zone = zone_of(shard)

            def rank(name: str, shard: str = shard, zone: str = zone) -> tuple:
                # Who can hear the block's machines; whose workers would lose their leases with it; who is in its zone;
                # who has least; whose workers find the next controller alive if this one falls silent: else they lose
                # another time-out.
                after = names[(names.index(name) + 1) % len(names)] if name in names else name
                return (
                    shard in nodes[name].get("unheard", ()),
                    name in exposed,
                    nodes[name]["zone"] != zone,
                    held[name],
                    after not in nodes,
                    name,
                )

            if not nodes:
                return
            for name in nodes:
                if shard not in nodes[name].get("unheard", ()):
                    self._unheard_since.pop((shard, name), None)
            best = min(nodes, key=rank)
            if holder is None:
                self._give(shard, version, best, nodes, held, None)
            elif holder != best and holder in nodes:
                unheard, risky, abroad, load, *_ = rank(holder)
                better = rank(best)
                settled = now - self._nodes_since[best] > self._lease_s
                # A zone that is left alone is asked by all at the same time: none takes it from another before it has
                # had time to say what it hears.
                told = self._unheard_since.setdefault((shard, holder), now) if unheard else now
                patient = self.isolated_holder(shard) is not None and now - told < self._lease_s
                if (unheard and not better[0] and not patient) or (
                    settled
                    and not better[0]
                    and (
                        risky > better[1]
                        or risky == better[1]
                        and (abroad and not better[2] or load - better[3] >= 2 and abroad == better[2])
                    )
                ):
                    self._give(shard, version, best, nodes, held, holder)

    def _give(
        self, shard: str, version: int, name: str, nodes: dict[str, Any], held: dict[str, int], before: str | None
    ) -> None:
        self._put_block(shard, version, name, nodes[name]["lease"])
        held[name] += 1
        if before is not None:
            held[before] -= 1
        log.info("block %s goes to %s", shard, name)
