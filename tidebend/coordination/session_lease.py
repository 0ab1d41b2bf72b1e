"""This controller's lease at the key-value store, and its node record, which is attached to that lease."""

from __future__ import annotations

import logging
import random
import time

from tidebend.coordination.records import NODE_PREFIX, NodeRecord
from tidebend.kvclient import (
    NEVER,
    ConflictError,
    KeyValueClient,
    KeyValueError,
    LeaseNotFoundError,
    RequestKind,
    WatchCache,
)

log = logging.getLogger("coordination")

# a steady clock may run fast by 0.05%, so a lease is trusted for a little less than its length
TRUSTED_SHARE = 0.999
# a lease is renewed after this share of its length
RENEWAL_SHARE = 0.25


class SessionLease:
    """The lease; only the renewal thread changes it, any thread may read it."""

    def __init__(self, client: KeyValueClient, lease_s: float) -> None:
        """`lease_s`: the length of the lease in seconds."""
        self.lease_s = lease_s
        self.lease: int | None = None
        self.valid_until = NEVER  # steady time
        self.granted_at = NEVER  # steady time of the present lease's grant
        self._client = client

    @property
    def is_valid(self) -> bool:
        """Whether the lease still holds for certain, by our own clock."""
        return time.monotonic() < self.valid_until

    def renew(self) -> None:
        """Extend the lease, or have a new one granted if it has ended; raises as the client does."""
        began = time.monotonic()
        if self.lease is None or not self._client.extend_lease(self.lease):
            if self.lease is not None:
                log.info("lease %s has ended", self.lease)
            self.lease = self._client.grant_lease(self.lease_s)
            self.granted_at = time.monotonic()
        self.valid_until = began + self.lease_s * TRUSTED_SHARE

    def forget(self) -> None:
        """Give the lease up: the store doesn't know it any more."""
        self.lease, self.valid_until = None, NEVER


class NodeAnnouncement:
    """Keeps our node record equal to our lease, our zone and the shards that are marked unreachable."""

    def __init__(
        self, name: str, zone: str, session_lease: SessionLease, cache: WatchCache, read_timeout_s: float
    ) -> None:
        """`read_timeout_s`: how long to wait for a read after a conflict."""
        self._key = NODE_PREFIX + name
        self._zone = zone
        self._session_lease = session_lease
        self._cache = cache
        self._read_timeout_s = read_timeout_s
        self._unreachable_until: dict[str, float] = {}  # shard -> steady time until which we would rather not hold it

    def announce(self) -> None:
        """Have our record say what it should; nothing is sent if it does. Raises as the client does.

        Conditional on the version that was read. Guards against an announcement without an answer that is carried out
        late: it put an old list of unreachable shards, or a former process's lease, in the place of newer ones, for
        good.
        """
        now = time.monotonic()
        self._unreachable_until = {shard: until for shard, until in self._unreachable_until.items() if until > now}
        lease = self._session_lease.lease
        wanted = NodeRecord(lease, self._zone, tuple(sorted(self._unreachable_until))).pack()
        for may_try_again in (True, False):
            stored, version = self._cache.get(self._key)
            if stored == wanted:
                return
            try:
                self._cache.write({self._key: version}, [(self._key, wanted, lease)], RequestKind.LEASE)
            except ConflictError:
                if not may_try_again or not self._cache.barrier(self._read_timeout_s, RequestKind.CLAIM):
                    raise

    def mark_unreachable(self, shard: str, machines: int, seconds: float) -> None:
        """Say for so many seconds that none of the shard's machines can be reached from here."""
        until = time.monotonic() + seconds
        if shard in self._unreachable_until:
            # the record says so already, and need not be written again
            self._unreachable_until[shard] = max(self._unreachable_until[shard], until)
            return
        log.info("shard %s: none of %d machines is reachable", shard, machines)
        self._unreachable_until[shard] = until
        self._announce_or_log(shard)

    def is_marked_unreachable(self, shard: str) -> bool:
        """Whether we say that none of the shard's machines can be reached from here."""
        return self._unreachable_until.get(shard, NEVER) > time.monotonic()

    def clear_unreachable(self, shard: str) -> None:
        """Withdraw the mark: some of the shard's machines can be reached after all."""
        if self._unreachable_until.pop(shard, None) is not None:
            log.info("shard %s: some of its machines are reachable again", shard)
            self._announce_or_log(shard)

    def _announce_or_log(self, shard: str) -> None:
        try:
            self.announce()
        except KeyValueError as error:
            log.info("shard %s: %s", shard, error)


class LeaseRenewal:
    """Renews the lease, and after each renewal the node record."""

    def __init__(self, session_lease: SessionLease, announcement: NodeAnnouncement) -> None:
        """The lease, and the record that is attached to it."""
        self._session_lease = session_lease
        self._announcement = announcement

    def run(self) -> None:
        """Renew the lease for ever; failed renewals are tried again sooner, at random moments."""
        pause = self._session_lease.lease_s * RENEWAL_SHARE
        while True:
            began = time.monotonic()
            if self.renew_once():
                time.sleep(max(0.0, pause - (time.monotonic() - began)))
            else:
                time.sleep(random.uniform(0.3, 0.7) * pause)

    def renew_once(self) -> bool:
        """Whether the lease was renewed and the record is what it should be.

        The record is compared at each renewal: guards against an announcement that got no answer or was refused, and
        against what a former process of ours left behind. A renewed lease holds though the announcement fails.
        """
        try:
            self._session_lease.renew()
            self._announcement.announce()
        except LeaseNotFoundError:
            self._session_lease.forget()
            return False
        except KeyValueError as error:
            log.info("lease: %s", error)
            return False
        return True
