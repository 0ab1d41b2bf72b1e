"""Leader election: the leader is the controller whose record is stored under one key of the key-value store."""

from __future__ import annotations

import logging
import random
import time

from tidebend.coordination.records import LEADER_KEY, LeaderRecord
from tidebend.coordination.session_lease import SessionLease
from tidebend.kvclient import ConflictError, RequestKind, WatchCache
from tidebend.protocol import Write

log = logging.getLogger("coordination")

# Candidates wait for a random time of up to this fraction of a lease, so that one of several usually writes first and
# the others see its record.
MAX_CANDIDATE_DELAY_FRACTION = 0.05


class LeaderElection:
    """Takes part in elections while there is no leader, and provides the term while this controller leads."""

    def __init__(self, name: str, session_lease: SessionLease, cache: WatchCache, read_timeout_s: float) -> None:
        """`read_timeout_s`: timeout of the read after a lost election."""
        self._name = name
        self._session_lease = session_lease
        self._cache = cache
        self._read_timeout_s = read_timeout_s

    @property
    def term(self) -> int | None:
        """The leader's term (the revision of its election) while this controller leads, else None."""
        value, version = self._cache.get(LEADER_KEY)
        if value is None or not self._has_current_lease(LeaderRecord.unpack(value)):
            return None
        return version if self._session_lease.is_valid else None

    def run_for_leader(self) -> int | None:
        """Try to become leader if there is none; return the term if this controller leads now.

        Raises the errors of `WatchCache.write`.
        """
        value, version = self._cache.get(LEADER_KEY)
        if value is None or self._has_former_lease(LeaderRecord.unpack(value)):
            if self._session_lease.lease is None or not self._session_lease.is_valid:
                return None
            if value is None:
                time.sleep(random.uniform(0, MAX_CANDIDATE_DELAY_FRACTION) * self._session_lease.lease_s)
            if not self._write_leader_record(version):
                return None
        return self.term

    def _write_leader_record(self, version: int) -> bool:
        """Replace the leader record if it has that version; return False if another controller wrote first."""
        lease = self._session_lease.lease
        if lease is None:
            return False  # the lease ended during the wait
        writes: list[Write] = [(LEADER_KEY, LeaderRecord(self._name, lease).pack(), lease)]
        try:
            revision = self._cache.write({LEADER_KEY: version}, writes, RequestKind.LEASE)
        except ConflictError:
            self._cache.barrier(self._read_timeout_s, RequestKind.CLAIM)
            return False
        log.info("elected leader with term %s", revision)
        return True

    def _has_current_lease(self, record: LeaderRecord) -> bool:
        return record.node == self._name and record.lease == self._session_lease.lease

    def _has_former_lease(self, record: LeaderRecord) -> bool:
        return record.node == self._name and record.lease != self._session_lease.lease
