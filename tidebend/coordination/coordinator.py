"""One controller's view of the cluster: its lease, the leader, the shards and the zones.

The package's modules:

- `session_lease`: this controller's lease in the key-value store, and its node record, which is attached to the lease
- `leader_election`: election of the leader, and its term
- `shard_assignment`: the leader's choice of a holder for each shard
- `shard_holdings`: the shards that this controller holds, with their fencing tokens
- `zone_suspicion`: which zones are suspected, unreachable or isolated
- `schema_version`: which schema version of the records is in force
- `records`: the stored records and their keys
- `peer_exchange`: frames that controllers send each other directly, not through the store

`Coordinator` composes them, runs the two threads that drive them, and is the interface for the rest of the controller.
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

# Longest interval between two runs of shard maintenance, as a fraction of the controller's lease.
MAINTENANCE_INTERVAL_FRACTION = 0.1


class Coordinator:
    """Renews this controller's lease, takes part in the leader election, and tracks the shards that it holds."""

    def __init__(
        self,
        settings: Settings,
        client: KeyValueClient,
        cache: WatchCache,
        on_shard_acquired: Callable[[ShardGrant], None],
        schema_version: SchemaVersion,
        peer_reported_holding: Callable[[str, str], bool],
    ) -> None:
        """`on_shard_acquired` is called with each new grant of this controller.

        `peer_reported_holding` returns whether a peer (by name) listed a shard as held in its last frame.
        """
        self.cache = cache
        self.wake = threading.Event()  # set to run shard maintenance without waiting for the interval
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
        """Start the threads that renew the lease and maintain the shards."""
        threading.Thread(target=self._lease_renewal.run, name="lease", daemon=True).start()
        threading.Thread(target=self._run_maintenance, name="shards", daemon=True).start()

    def _run_maintenance(self) -> None:
        while True:
            self.wake.wait(self._lease_s * MAINTENANCE_INTERVAL_FRACTION)
            self.wake.clear()
            self.maintain_shards()

    def maintain_shards(self) -> None:
        """Process acquired and lost shards, and assign shards if this controller leads. Failures are logged."""
        if not self.cache.loaded.is_set():
            return
        try:
            self._maintain()
        except ConflictError as conflict:
            # The cache is stale. If the store refused only this controller, an old watch may hang until its timeout.
            log.info("shard maintenance: transaction conflict on %s", conflict)
            self.cache.barrier(self._read_timeout_s, RequestKind.CLAIM)
        except KeyValueError as error:
            log.info("shard maintenance failed: %s", error)
            time.sleep(random.uniform(0.02, 0.1) * self._lease_s)

    def _maintain(self) -> None:
        if self.cache.watched < self.session_lease.granted_at:
            # The watch may have died in the partition in which the previous lease ended, and this is noticed only at
            # its timeout. Without this read, a shard that is granted to this controller again would be idle until then.
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

    # Lease

    @property
    def lease(self) -> int | None:
        """Number of this controller's lease in the store; the lease may have ended."""
        return self.session_lease.lease

    @property
    def lease_until(self) -> float:
        """Monotonic time until which the lease is certainly valid."""
        return self.session_lease.valid_until

    @property
    def lease_valid(self) -> bool:
        """Whether the lease is certainly still valid."""
        return self.session_lease.is_valid

    def renew_lease(self) -> bool:
        """Renew the lease once; return False if the renewal or the update of the node record failed."""
        return self._lease_renewal.renew_once()

    # Leader

    @property
    def term(self) -> int | None:
        """The leader's term (the revision of its election) while this controller leads, else None."""
        return self._election.term

    # Shards

    def holder(self, shard: str) -> str | None:
        """Return the holder of a shard, by its record or by a peer's newer information."""
        return self.holdings.holder(shard)

    def holders(self) -> dict[str, ShardHolder]:
        """Return the holder of each shard according to the records."""
        return self.shard_records.holders()

    def learn_holders(self, holders: Mapping[str, ShardHolder]) -> None:
        """Merge a peer's table of holders; entries with higher tokens win."""
        self.holdings.learn_holders(holders)

    def grant(self, shard: str) -> ShardGrant | None:
        """Return this controller's grant of a shard; None without a grant, or if a peer knows a higher token."""
        return self.holdings.grant(shard)

    def grants(self) -> list[ShardGrant]:
        """Return all grants of this controller for which no peer knows a higher token."""
        return self.holdings.grants()

    def held_zones(self) -> dict[str, tuple[str, int]]:
        """Return the zones whose shards this controller holds, each with the transaction condition of its grant."""
        return self.holdings.held_zones()

    def condition(self, grant: ShardGrant) -> tuple[str, int]:
        """Return the transaction condition (key, version) that a grant is still the newest one of its shard."""
        return self.holdings.condition(grant)

    def raise_fencing_token(self, grant: ShardGrant) -> None:
        """Grant a held shard again under a new fencing token, so that commands with the old token are rejected."""
        self.holdings.raise_fencing_token(grant)

    def observe_higher_token(self, shard: str, token: int) -> None:
        """Drop the grant of a shard if a worker has seen a higher token than the grant's."""
        self.holdings.observe_higher_token(shard, token)

    # Zones

    def mark_unreachable(self, shard: str, machines: int, seconds: float) -> None:
        """Mark a shard as unreachable from this controller for a number of seconds: no machine of it responds."""
        self.announcement.mark_unreachable(shard, machines, seconds)

    def is_marked_unreachable(self, shard: str) -> bool:
        """Return whether this controller has marked a shard as unreachable."""
        return self.announcement.is_marked_unreachable(shard)

    def clear_unreachable(self, shard: str) -> None:
        """Remove a shard's unreachable mark: some of its machines respond."""
        self.announcement.clear_unreachable(shard)

    def is_unreachable_by_all(self, shard: str) -> bool:
        """Return whether every live controller has marked a shard as unreachable."""
        return self._zones.is_unreachable_by_all(shard)

    def unreachable_zones(self) -> set[str]:
        """Return the zones that every live controller has marked as unreachable."""
        return self._zones.unreachable_zones()

    def is_suspected(self, shard: str, is_peer_silent: Callable[[str], bool]) -> bool:
        """Return whether a shard's zone may be partitioned.

        `is_peer_silent` returns whether a peer has sent no frames recently.
        """
        return self._zones.is_suspected(shard, is_peer_silent)

    def isolated_holder(self, shard: str) -> IsolatedHolder | None:
        """Return the controller that is isolated with a shard of its own zone, and since when; None without one."""
        return self._zones.isolated_holder(shard)

    def isolated_holder_may_act(self, shard: str) -> bool:
        """Return whether the isolated controller had reported that it holds the shard."""
        return self._zones.isolated_holder_may_act(shard)
