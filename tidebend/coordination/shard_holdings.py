"""The shards that this controller holds: grants acquired and lost, and what peers know of newer grants."""

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
    """Our grants, checked against the records and against the fencing tokens that peers and workers have seen."""

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
        """`on_acquired` is called with each new grant, `on_holder_seen` with each shard and its holder on record."""
        self._name = name
        self._session_lease = session_lease
        self._cache = cache
        self._shard_records = shard_records
        self._read_timeout_s = read_timeout_s
        self._on_acquired = on_acquired
        self._on_holder_seen = on_holder_seen
        self._lock = threading.Lock()
        self._held: dict[str, ShardGrant] = {}
        self._raised_tokens: dict[str, int] = {}  # shard -> the token that we gave ourselves in the place of our last
        self._newest_known: dict[str, ShardHolder] = {}  # shard -> its newest holder by what peers say

    # What we know

    def holder(self, shard: str) -> str | None:
        """Who holds the shard: by its record, or by a peer that knows a higher token."""
        versioned = self._shard_records.get(shard)
        token = versioned.version if versioned else NO_TOKEN
        with self._lock:
            known = self._newest_known.get(shard)
        if known and known.token > token:
            return known.node
        return versioned.record.holder if versioned else None

    def grant(self, shard: str) -> ShardGrant | None:
        """Our grant of the shard; None if we have none, or a peer knows a higher token."""
        with self._lock:
            grant = self._held.get(shard)
            known = self._newest_known.get(shard)
        if grant is None or (known and known.token > grant.token):
            return None
        return grant

    def grants(self) -> list[ShardGrant]:
        """All grants that are ours to act on."""
        with self._lock:
            shards = list(self._held)
        return [grant for grant in map(self.grant, shards) if grant is not None]

    def held_zones(self) -> dict[str, tuple[str, int]]:
        """The zones whose shards are ours, with the transaction conditions that they still are."""
        return {zone_of(grant.shard): self.condition(grant) for grant in self.grants()}

    def condition(self, grant: ShardGrant) -> tuple[str, int]:
        """The transaction condition (key, version) that the grant is still the newest one."""
        return SHARD_PREFIX + grant.shard, grant.token

    # What others know

    def observe_higher_token(self, shard: str, token: int) -> None:
        """A worker has seen a token; if it is higher than ours our grant is over."""
        with self._lock:
            grant = self._held.get(shard)
            if grant is not None and token > grant.token:
                del self._held[shard]
                log.info("shard %s: token %s is above ours, %s", shard, token, grant.token)

    def learn_holders(self, holders: Mapping[str, ShardHolder]) -> None:
        """Take over a peer's table of holders where its tokens are higher."""
        with self._lock:
            for shard, holder in holders.items():
                if holder.token > self._newest_known.get(shard, NO_HOLDER).token:
                    self._newest_known[shard] = holder

    # Changes

    def raise_fencing_token(self, grant: ShardGrant) -> None:
        """Grant ourselves the shard anew: what was sent under the old token can't be executed once a worker knows the
        new one."""
        lease = self._session_lease.lease
        if lease is None or not self._session_lease.is_valid:
            return
        try:
            token = self._shard_records.grant(grant.shard, grant.token, self._name, lease)
        except KeyValueError as error:
            log.info("shard %s: no new token: %s", grant.shard, error)
        else:
            self._raised_tokens[grant.shard] = token

    def refresh(self) -> None:
        """Notice grants and losses; after a restart, take our own shards back at once. Raises as the client does."""
        acquired_tokens = self._find_new_tokens()
        self._drop_lost()
        if acquired_tokens:
            self._acquire(acquired_tokens)

    def _find_new_tokens(self) -> dict[str, int]:
        """The shards that were granted to our present lease with a token that we don't act on yet."""
        found: dict[str, int] = {}
        for shard, (record, version) in self._shard_records.all().items():
            self._on_holder_seen(shard, record.holder)
            if record.holder != self._name:
                continue
            if record.lease != self._session_lease.lease:
                self._take_back(shard, version)
                continue
            with self._lock:
                held = self._held.get(shard)
            if held is None or held.token < version:
                found[shard] = version
        return found

    def _take_back(self, shard: str, version: int) -> None:
        """Grant a shard that a former lease of ours holds to our present one."""
        lease = self._session_lease.lease
        if lease is not None and self._session_lease.is_valid:
            self._shard_records.grant(shard, version, self._name, lease)

    def _drop_lost(self) -> None:
        current = self._shard_records.all()
        lost = []
        with self._lock:
            for shard, grant in list(self._held.items()):
                versioned = current.get(shard)
                if versioned is None or (versioned.version > grant.token and versioned.record.holder != self._name):
                    lost.append(shard)
                    del self._held[shard]
        for shard in lost:
            log.info("shard %s is no longer ours", shard)

    def _acquire(self, tokens: dict[str, int]) -> None:
        """Act on new tokens after a read begun now.

        Allocations that were recorded before the grant must be known before the first answer: our own transactions
        reach the cache ahead of others' earlier ones. That read may also bring later grants: guards a controller that
        was partitioned from the store against acting on its old ones.
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
            log.info("shard %s is ours with token %s", grant.shard, grant.token)
            self._on_acquired(grant)

    def _held_since(self, shard: str, token: int, now: float) -> float:
        """Since when we have held a shard without a break, if this token is ours; called under the lock.

        A token that we raised ourselves continues the grant before. Guards against a time-out that begins anew with
        each token: while a shard's workers are unreachable we raise it again and again, for the commands that got no
        answer. With any other token, others may have held the shard meanwhile.
        """
        if shard in self._held and token == self._raised_tokens.get(shard):
            return self._held[shard].held_since
        return now
