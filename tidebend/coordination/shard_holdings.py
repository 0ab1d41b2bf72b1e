"""The shards that this controller holds: acquired and lost grants, and newer grants that peers have reported."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Mapping

from tidebend.coordination.records import SHARD_PREFIX
from tidebend.coordination.session_lease import SessionLease
from tidebend.coordination.shards import NO_TOKEN, ShardGrant, ShardHolder, ShardRecords, zone_of
from tidebend.kvclient import KeyValueError, RequestKind, WatchCache

log = logging.getLogger("coordination")

NO_HOLDER = ShardHolder(NO_TOKEN, "")


class ShardHoldings:
    """This controller's grants, checked against the records and the fencing tokens that peers and workers have seen."""

    def __init__(
        self,
        name: str,
        session_lease: SessionLease,
        cache: WatchCache,
        shard_records: ShardRecords,
        read_timeout_s: float,
        on_acquired: Callable[[ShardGrant], None],
        on_holder_seen: Callable[[str, str], None],
    ) -> None:
        """`on_acquired` is called with each new grant, `on_holder_seen` with each shard and its recorded holder."""
        self._name = name
        self._session_lease = session_lease
        self._cache = cache
        self._shard_records = shard_records
        self._read_timeout_s = read_timeout_s
        self._on_acquired = on_acquired
        self._on_holder_seen = on_holder_seen
        self._lock = threading.Lock()
        self._held: dict[str, ShardGrant] = {}
        self._raised_tokens: dict[str, int] = {}  # shard -> token with which this controller replaced its own
        self._newest_known: dict[str, ShardHolder] = {}  # shard -> newest holder that a peer has reported

    # Queries

    def holder(self, shard: str) -> str | None:
        """Return the shard's holder by its record, or as reported by a peer with a higher token."""
        versioned = self._shard_records.get(shard)
        token = versioned.version if versioned else NO_TOKEN
        with self._lock:
            known = self._newest_known.get(shard)
        if known and known.token > token:
            return known.node
        return versioned.record.holder if versioned else None

    def grant(self, shard: str) -> ShardGrant | None:
        """Return this controller's grant of the shard; None without a grant, or if a peer knows a higher token."""
        with self._lock:
            grant = self._held.get(shard)
            known = self._newest_known.get(shard)
        if grant is None or (known and known.token > grant.token):
            return None
        return grant

    def grants(self) -> list[ShardGrant]:
        """Return all grants of this controller for which no peer knows a higher token."""
        with self._lock:
            shards = list(self._held)
        return [grant for grant in map(self.grant, shards) if grant is not None]

    def held_zones(self) -> dict[str, tuple[str, int]]:
        """Return the zones whose shards this controller holds, each with the transaction condition of its grant."""
        return {zone_of(grant.shard): self.condition(grant) for grant in self.grants()}

    def condition(self, grant: ShardGrant) -> tuple[str, int]:
        """Return the transaction condition (key, version) that the grant is still the newest one of its shard."""
        return SHARD_PREFIX + grant.shard, grant.token

    # Information from workers and peers

    def observe_higher_token(self, shard: str, token: int) -> None:
        """Drop the shard's grant if a worker has seen a higher token than the grant's."""
        with self._lock:
            grant = self._held.get(shard)
            if grant is not None and token > grant.token:
                del self._held[shard]
                log.info("shard %s lost: a worker has seen token %s, higher than %s", shard, token, grant.token)

    def learn_holders(self, holders: Mapping[str, ShardHolder]) -> None:
        """Merge a peer's table of holders; entries with higher tokens win."""
        with self._lock:
            for shard, holder in holders.items():
                if holder.token > self._newest_known.get(shard, NO_HOLDER).token:
                    self._newest_known[shard] = holder

    # Changes

    def raise_fencing_token(self, grant: ShardGrant) -> None:
        """Grant the shard to this controller again, under a new fencing token.

        Once a worker knows the new token it rejects commands that were sent with the old one.
        """
        lease = self._session_lease.lease
        if lease is None or not self._session_lease.is_valid:
            return
        try:
            token = self._shard_records.grant(grant.shard, grant.token, self._name, lease)
        except KeyValueError as error:
            log.info("failed to raise the fencing token of shard %s: %s", grant.shard, error)
        else:
            self._raised_tokens[grant.shard] = token

    def refresh(self) -> None:
        """Process grants and losses in the records; after a restart, reclaim the shards of the former lease at once.

        Raises the errors of `WatchCache.write`.
        """
        acquired_tokens = self._find_new_tokens()
        self._drop_lost()
        if acquired_tokens:
            self._acquire(acquired_tokens)

    def _find_new_tokens(self) -> dict[str, int]:
        """Return the shards that were granted to the current lease with a token that isn't in use yet."""
        found: dict[str, int] = {}
        for shard, (record, version) in self._shard_records.all().items():
            self._on_holder_seen(shard, record.holder)
            if record.holder != self._name:
                continue
            if record.lease != self._session_lease.lease:
                self._reclaim(shard, version)
                continue
            with self._lock:
                held = self._held.get(shard)
            if held is None or held.token < version:
                found[shard] = version
        return found

    def _reclaim(self, shard: str, version: int) -> None:
        """Grant a shard that is held under a former lease of this controller to the current lease."""
        lease = self._session_lease.lease
        if lease is not None and self._session_lease.is_valid:
            self._shard_records.grant(shard, version, self._name, lease)

    def _drop_lost(self) -> None:
        records = self._shard_records.all()
        lost = []
        with self._lock:
            for shard, grant in list(self._held.items()):
                versioned = records.get(shard)
                if versioned is None or (versioned.version > grant.token and versioned.record.holder != self._name):
                    lost.append(shard)
                    del self._held[shard]
        for shard in lost:
            log.info("shard %s lost: it has no record or another holder", shard)

    def _acquire(self, tokens: dict[str, int]) -> None:
        """Start using new tokens after a read barrier.

        The cache must contain all allocations that were recorded before the grant, but this controller's own
        transactions reach the cache ahead of other controllers' earlier ones. The read may also return later grants;
        tokens that these replace are dropped, so that a controller that was partitioned from the store doesn't act on
        its old grants.
        """
        if not self._cache.barrier(self._read_timeout_s, RequestKind.CLAIM):
            return
        tokens = {shard: token for shard, token in tokens.items() if self._cache.get(SHARD_PREFIX + shard)[1] == token}
        now = time.monotonic()
        with self._lock:
            grants = [
                ShardGrant(shard, token, now, self._held_since(shard, token, now)) for shard, token in tokens.items()
            ]
            self._held.update((grant.shard, grant) for grant in grants)
        for grant in grants:
            log.info(
                "shard %s acquired with token %s, as of revision %d", grant.shard, grant.token, self._cache.revision
            )
            self._on_acquired(grant)

    def _held_since(self, shard: str, token: int, now: float) -> float:
        """Return since when this controller has held a shard without interruption; called under the lock.

        A token that this controller raised itself continues the previous grant. Otherwise the timeout of unreachable
        workers would restart with each new token, and the token is raised repeatedly while workers are unreachable and
        commands get no answer. With any other token, another controller may have held the shard in between.
        """
        if shard in self._held and token == self._raised_tokens.get(shard):
            return self._held[shard].held_since
        return now
