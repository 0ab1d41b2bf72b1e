"""Election of the leader: the controller whose record is under one key of the key-value store."""

from __future__ import annotations

import logging
import random
import time

from tidebend.coordination.records import LEADER_KEY, LeaderRecord
from tidebend.coordination.session_lease import SessionLease
from tidebend.kvclient import ConflictError, RequestKind, WatchCache
from tidebend.protocol import Write

log = logging.getLogger("coordination")

# candidates wait for up to this share of a lease, so that of several one finds no other's record
CANDIDATE_DELAY_SHARE = 0.05


class LeaderElection:
    """Runs for leader while there is none, and knows the term while we lead."""

    def __init__(self, name: str, session_lease: SessionLease, cache: WatchCache, read_timeout_s: float) -> None:
        """`read_timeout_s`: how long to wait for a read after an election that was lost."""
        self._name = name
        self._session_lease = session_lease
        self._cache = cache
        self._read_timeout_s = read_timeout_s

    @property
    def term(self) -> int | None:
        """The revision of our election while we lead, else None."""
        value, version = self._cache.get(LEADER_KEY)
        if value is None or not self._is_ours_now(LeaderRecord.unpack(value)):
            return None
        return version if self._session_lease.is_valid else None

    def run_for_leader(self) -> int | None:
        """Become leader if there is none; the term if we lead now. Raises as the client does."""
        value, version = self._cache.get(LEADER_KEY)
        if value is None or self._is_from_former_lease(LeaderRecord.unpack(value)):
            if self._session_lease.lease is None or not self._session_lease.is_valid:
                return None
            if value is None:
                time.sleep(random.uniform(0, CANDIDATE_DELAY_SHARE) * self._session_lease.lease_s)
            if not self._write_record(version):
                return None
        return self.term

    def _write_record(self, version: int) -> bool:
        """Put our record in the place of the one of that version; False if another controller was faster."""
        lease = self._session_lease.lease
        if lease is None:
            return False  # it has ended while we waited
        writes: list[Write] = [(LEADER_KEY, LeaderRecord(self._name, lease).pack(), lease)]
        try:
            revision = self._cache.write({LEADER_KEY: version}, writes, RequestKind.LEASE)
        except ConflictError:
            self._cache.barrier(self._read_timeout_s, RequestKind.CLAIM)
            return False
        log.info("leader from revision %s on", revision)
        return True

    def _is_ours_now(self, record: LeaderRecord) -> bool:
        return record.node == self._name and record.lease == self._session_lease.lease

    def _is_from_former_lease(self, record: LeaderRecord) -> bool:
        return record.node == self._name and record.lease != self._session_lease.lease
