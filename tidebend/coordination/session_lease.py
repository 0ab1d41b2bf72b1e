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

# Fraction of its length for which a lease is considered valid: a monotonic clock may run fast by 0.05%.
TRUSTED_FRACTION = 0.999
# Fraction of its length after which a lease is renewed.
RENEWAL_FRACTION = 0.25


class SessionLease:
    """The controller's lease. Only the renewal thread changes it; any thread may read it."""

    def __init__(self, client: KeyValueClient, lease_s: float) -> None:
        """`lease_s`: length of the lease in seconds."""
        self.lease_s = lease_s
        self.lease: int | None = None
        self.valid_until = NEVER  # monotonic time
        self.granted_at = NEVER  # monotonic time at which the current lease was granted
        self._client = client

    @property
    def is_valid(self) -> bool:
        """Whether the lease is certainly still valid, by this controller's monotonic clock."""
        return time.monotonic() < self.valid_until

    def renew(self) -> None:
        """Extend the lease, or have a new one granted if it has ended. Raises the errors of the client."""
        began = time.monotonic()
        if self.lease is None or not self._client.extend_lease(self.lease):
            if self.lease is not None:
                log.info("lease %s has expired; requesting a new one", self.lease)
            self.lease = self._client.grant_lease(self.lease_s)
            self.granted_at = time.monotonic()
        self.valid_until = began + self.lease_s * TRUSTED_FRACTION

    def forget(self) -> None:
        """Discard the lease after the store reported that it doesn't exist."""
        self.lease, self.valid_until = None, NEVER


class NodeAnnouncement:
    """Keeps this controller's node record up to date: its lease, its zone and the shards marked as unreachable."""

    def __init__(
        self, name: str, zone: str, session_lease: SessionLease, cache: WatchCache, read_timeout_s: float
    ) -> None:
        """`read_timeout_s`: timeout of the read after a conflict."""
        self._key = NODE_PREFIX + name
        self._zone = zone
        self._session_lease = session_lease
        self._cache = cache
        self._read_timeout_s = read_timeout_s
        self._unreachable_until: dict[str, float] = {}  # shard -> monotonic time at which its mark expires

    def announce(self) -> None:
        """Write the node record if the stored one differs. Raises the errors of `WatchCache.write`.

        The write is conditional on the version that was read: an announcement that got no answer may be executed late,
        and would otherwise permanently replace the newer record with an old list of unreachable shards or with a former
        process's lease.
        """
        now = time.monotonic()
        self._unreachable_until = {shard: until for shard, until in self._unreachable_until.items() if until > now}
        lease = self._session_lease.lease
        wanted = NodeRecord(lease, self._zone, tuple(sorted(self._unreachable_until))).pack()
        for may_retry in (True, False):
            stored, version = self._cache.get(self._key)
            if stored == wanted:
                return
            try:
                self._cache.write({self._key: version}, [(self._key, wanted, lease)], RequestKind.LEASE)
            except ConflictError:
                if not may_retry or not self._cache.barrier(self._read_timeout_s, RequestKind.CLAIM):
                    raise

    def mark_unreachable(self, shard: str, machines: int, seconds: float) -> None:
        """Mark a shard as unreachable for a number of seconds: none of its `machines` machines responds."""
        until = time.monotonic() + seconds
        if shard in self._unreachable_until:
            # The stored record contains the mark already.
            self._unreachable_until[shard] = max(self._unreachable_until[shard], until)
            return
        log.info("shard %s marked as unreachable: none of %d machines responds", shard, machines)
        self._unreachable_until[shard] = until
        self._try_announce(shard)

    def is_marked_unreachable(self, shard: str) -> bool:
        """Return whether the shard is marked as unreachable."""
        return self._unreachable_until.get(shard, NEVER) > time.monotonic()

    def clear_unreachable(self, shard: str) -> None:
        """Remove the shard's unreachable mark: some of its machines respond."""
        if self._unreachable_until.pop(shard, None) is not None:
            log.info("shard %s is reachable again: some of its machines respond", shard)
            self._try_announce(shard)

    def _try_announce(self, shard: str) -> None:
        try:
            self.announce()
        except KeyValueError as error:
            log.info("failed to update the node record for shard %s: %s", shard, error)


class LeaseRenewal:
    """Renews the lease, and updates the node record after each renewal."""

    def __init__(self, session_lease: SessionLease, announcement: NodeAnnouncement) -> None:
        """`announcement` writes the node record that is attached to the lease."""
        self._session_lease = session_lease
        self._announcement = announcement

    def run(self) -> None:
        """Renew the lease in an endless loop; a failed renewal is retried sooner, after a random delay."""
        pause = self._session_lease.lease_s * RENEWAL_FRACTION
        while True:
            began = time.monotonic()
            if self.renew_once():
                time.sleep(max(0.0, pause - (time.monotonic() - began)))
            else:
                time.sleep(random.uniform(0.3, 0.7) * pause)

    def renew_once(self) -> bool:
        """Renew the lease and update the node record; return whether both succeeded.

        The record is compared at each renewal, since an earlier announcement may have failed, and a former process of
        this controller may have left another record. A renewed lease is valid even if the announcement fails.
        """
        try:
            self._session_lease.renew()
            self._announcement.announce()
        except LeaseNotFoundError:
            self._session_lease.forget()
            return False
        except KeyValueError as error:
            log.info("failed to renew the lease or to update the node record: %s", error)
            return False
        return True
