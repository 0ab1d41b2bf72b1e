"""One controller's view of the cluster: its lease, the leader, the shards and the zones.

The parts, each in a module of its own:

- `session_lease`: our lease at the key-value store, and our node record, which is attached to it
- `leader_election`: who leads, and the term
- `shard_assignment`: as the leader, which controller is to hold which shard
- `shard_holdings`: the shards that are ours, with their fencing tokens
- `zone_suspicion`: which zones are suspected, unreachable or isolated
- `schema_version`: which format of records is in force
- `records`: what of all this is stored, and under which keys
- `peer_exchange`: the frames between controllers, which go past the store

`Coordinator` composes them, has the two threads that drive them, and is what the rest of a controller calls.
"""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable, Mapping

from tidebend.coordination.leader_election import LeaderElection
from tidebend.coordination.records import LEADER_KEY
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.coordination.session_lease import LeaseRenewal, NodeAnnouncement, SessionLease
from tidebend.coordination.shard_assignment import ShardAssignment
from tidebend.coordination.shard_holdings import ShardHoldings
from tidebend.coordination.shards import ShardGrant, ShardHolder, ShardRecords
from tidebend.coordination.zone_suspicion import IsolatedHolder, LocalHolders, ZoneSuspicion
from tidebend.kvclient import ConflictError, KeyValueClient, KeyValueError, RequestKind, WatchCache
from tidebend.settings import Settings

log = logging.getLogger("coordination")

# shards are looked after this often at least, as a share of a controller's lease
MAINTENANCE_SHARE = 0.1


class Coordinator:
    """Keeps our lease, leads if we are elected, and knows which shards are ours."""

    def __init__(
        self,
        settings: Settings,
        client: KeyValueClient,
        cache: WatchCache,
        on_shard_acquired: Callable[[ShardGrant], None],
        schema_version: SchemaVersion,
        peer_reported_holding: Callable[[str, str], bool],
    ) -> None:
        """`on_shard_acquired` is called with each new grant of ours.

        `peer_reported_holding`: whether a peer (by name) said in its last frame that it holds a shard.
        """
        self.cache = cache
        self.wake = threading.Event()  # set to have the shards looked after at once
        self.schema_version = schema_version
        self._read_timeout_s = client.timeout
        self._lease_s = settings.controller_lease_s
        self.session_lease = SessionLease(client, self._lease_s)
        self.announcement = NodeAnnouncement(
            settings.name, settings.zone, self.session_lease, cache, self._read_timeout_s
        )
        self._lease_renewal = LeaseRenewal(self.session_lease, self.announcement)
        self._election = LeaderElection(settings.name, self.session_lease, cache, self._read_timeout_s)
        self.shard_records = ShardRecords(cache, self.wake.set)
        self.local_holders = LocalHolders(settings)
        self.holdings = ShardHoldings(
            settings.name,
            self.session_lease,
            cache,
            self.shard_records,
            self._read_timeout_s,
            on_shard_acquired,
            self.local_holders.record,
        )
        self._zones = ZoneSuspicion(settings, cache, self.local_holders, self.holdings.holder, peer_reported_holding)
        self._assignment = ShardAssignment(
            settings, cache, self.shard_records, lambda shard: self._zones.isolated_holder(shard) is not None
        )

    def start(self) -> None:
        """Start the threads that renew the lease and look after the shards."""
        threading.Thread(target=self._lease_renewal.run, name="lease", daemon=True).start()
        threading.Thread(target=self._run_maintenance, name="shards", daemon=True).start()

    def _run_maintenance(self) -> None:
        while True:
            self.wake.wait(self._lease_s * MAINTENANCE_SHARE)
            self.wake.clear()
            self.maintain_shards()

    def maintain_shards(self) -> None:
        """Notice grants and losses, and do the leader's work if we lead; failures are logged."""
        if not self.cache.loaded.is_set():
            return
        try:
            self._maintain()
        except ConflictError as conflict:
            # our cache is behind: after a refusal of us alone the old watch may hang on for its full time
            log.info("shards: conflict over %s", conflict)
            self.cache.barrier(self._read_timeout_s, RequestKind.CLAIM)
        except KeyValueError as error:
            log.info("shards: %s", error)
            time.sleep(random.uniform(0.02, 0.1) * self._lease_s)

    def _maintain(self) -> None:
        if self.cache.watched < self.session_lease.granted_at:
            # Guards against a watch that died in the partition in which our lease ended, unnoticed until its time is
            # over: a shard that is given back to us would have nobody who acts on it meanwhile.
            self.cache.barrier(self._read_timeout_s, RequestKind.CLAIM)
        self.holdings.refresh()
        term = self._election.run_for_leader()
        if term is not None:
            self._zones.record_isolated_zones(term)
            self._assignment.assign()
        self.schema_version.announce()
        term = self.term
        if term is not None:
            self.schema_version.upgrade_if_all_support({LEADER_KEY: term})

    # Our lease

    @property
    def lease(self) -> int | None:
        """Our lease at the store; it may have ended."""
        return self.session_lease.lease

    @property
    def lease_until(self) -> float:
        """Steady time until which our lease holds for certain."""
        return self.session_lease.valid_until

    @property
    def lease_valid(self) -> bool:
        """Whether our lease holds for certain."""
        return self.session_lease.is_valid

    def renew_lease(self) -> bool:
        """Renew the lease once; False if that, or the announcement that goes with it, failed."""
        return self._lease_renewal.renew_once()

    # The leader

    @property
    def term(self) -> int | None:
        """The revision of our election while we lead, else None."""
        return self._election.term

    # Shards

    def holder(self, shard: str) -> str | None:
        """Who holds a shard, as far as we or our peers know."""
        return self.holdings.holder(shard)

    def holders(self) -> dict[str, ShardHolder]:
        """Who holds which shard, by the records."""
        return self.shard_records.holders()

    def learn_holders(self, holders: Mapping[str, ShardHolder]) -> None:
        """Take over a peer's table of holders where its tokens are higher."""
        self.holdings.learn_holders(holders)

    def grant(self, shard: str) -> ShardGrant | None:
        """Our grant of a shard; None if we have none, or a peer knows a higher token."""
        return self.holdings.grant(shard)

    def grants(self) -> list[ShardGrant]:
        """All grants that are ours to act on."""
        return self.holdings.grants()

    def held_zones(self) -> dict[str, tuple[str, int]]:
        """The zones whose shards are ours, with the transaction conditions that they still are."""
        return self.holdings.held_zones()

    def condition(self, grant: ShardGrant) -> tuple[str, int]:
        """The transaction condition (key, version) that a grant is still the newest one."""
        return self.holdings.condition(grant)

    def raise_fencing_token(self, grant: ShardGrant) -> None:
        """Grant ourselves a shard anew, so that commands under its old token can't be executed any more."""
        self.holdings.raise_fencing_token(grant)

    def observe_higher_token(self, shard: str, token: int) -> None:
        """A worker has seen a token; if it is higher than ours our grant is over."""
        self.holdings.observe_higher_token(shard, token)

    # Zones

    def mark_unreachable(self, shard: str, machines: int, seconds: float) -> None:
        """Say for so many seconds that none of a shard's machines can be reached from here."""
        self.announcement.mark_unreachable(shard, machines, seconds)

    def is_marked_unreachable(self, shard: str) -> bool:
        """Whether we say that none of a shard's machines can be reached from here."""
        return self.announcement.is_marked_unreachable(shard)

    def clear_unreachable(self, shard: str) -> None:
        """Withdraw the mark: some of the shard's machines can be reached after all."""
        self.announcement.clear_unreachable(shard)

    def is_unreachable_by_all(self, shard: str) -> bool:
        """Whether every live controller has tried and reaches none of a shard's machines."""
        return self._zones.is_unreachable_by_all(shard)

    def unreachable_zones(self) -> set[str]:
        """The zones of which no controller reaches any machine."""
        return self._zones.unreachable_zones()

    def is_suspected(self, shard: str, is_peer_quiet: Callable[[str], bool]) -> bool:
        """Whether a shard's zone may be cut off; `is_peer_quiet`: whether a peer has sent no frame for a while."""
        return self._zones.is_suspected(shard, is_peer_quiet)

    def isolated_holder(self, shard: str) -> IsolatedHolder | None:
        """The controller that is isolated with a shard of its own zone, and since when."""
        return self._zones.isolated_holder(shard)

    def isolated_holder_may_act(self, shard: str) -> bool:
        """Whether that controller had said itself that it holds the shard."""
        return self._zones.isolated_holder_may_act(shard)
