"""Raising of fencing tokens to rule out the late execution of direct start commands."""

from __future__ import annotations

import time

from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.settings import Settings

# How long workers keep ended tasks that a repeated start command could run again, as a multiple of the worker lease.
# After that a new token allows the workers to forget them.
MAX_KEPT_LEASES = 8.0
# Number of these tasks on one machine above which a new token is due earlier: a report may have 64 KiB, and each of
# them takes some 80 bytes of it.
MAX_KEPT_TASKS = 256
# minimum time between tokens that are raised because of their number, as a multiple of the worker lease
KEPT_TASKS_RAISE_LEASES = 0.5


class UncertainStartResolver:
    """Raises the fencing token of this controller's shards to decide the outcome of direct starts.

    An unanswered direct start may be executed late, and an answered one may be executed a second time. Once a worker
    has received a higher token, it does neither. The second case only prevents ended tasks from being forgotten, so it
    may wait longer.
    """

    def __init__(self, settings: Settings, coordinator: Coordinator, machine_registry: MachineRegistry) -> None:
        """Check the machines of the registry; raise tokens through the coordinator."""
        self._settings = settings
        self._coordinator = coordinator
        self._machine_registry = machine_registry

    def resolve(self) -> None:
        """Raise the token of each held shard that has starts to be ruled out."""
        now = time.monotonic()
        for grant in self._coordinator.grants():
            grant_age_s = now - grant.acquired_at
            with self._machine_registry.lock:
                has_uncertain_starts = self._has_uncertain_starts(grant, now)
                kept_too_long = grant_age_s > self._max_kept_s and self._keeps_ended_tasks_too_long(grant, now)
                keeps_too_many = grant_age_s > self._min_raise_s and self._keeps_too_many_ended_tasks(grant)
            if kept_too_long or keeps_too_many or (has_uncertain_starts and grant_age_s > self._settings.report_s):
                self._coordinator.raise_fencing_token(grant)

    @property
    def _min_raise_s(self) -> float:
        return KEPT_TASKS_RAISE_LEASES * self._settings.lease_s

    @property
    def _max_kept_s(self) -> float:
        return MAX_KEPT_LEASES * self._settings.lease_s

    def _machines_in(self, grant: ShardGrant) -> list[Machine]:
        machines = self._machine_registry.machines.values()
        return [machine for machine in machines if shard_of(machine.zone) == grant.shard]

    def _has_uncertain_starts(self, grant: ShardGrant, now: float) -> bool:
        """Whether a start with the present token has had no known outcome for more than a report interval."""
        sent_before = now - self._settings.report_s
        return any(machine.starts.has_uncertain_start(grant.token, sent_before) for machine in self._machines_in(grant))

    def _keeps_ended_tasks_too_long(self, grant: ShardGrant, now: float) -> bool:
        """Whether a machine has kept ended tasks for too long, because their starts may be repeated."""
        return any(
            machine.forgetting_deferred_since is not None and now - machine.forgetting_deferred_since > self._max_kept_s
            for machine in self._machines_in(grant)
        )

    def _keeps_too_many_ended_tasks(self, grant: ShardGrant) -> bool:
        """Whether a machine that has confirmed the present token lists too many ended tasks that it has to keep."""
        return any(
            machine.token >= grant.token and machine.deferred_forgets > MAX_KEPT_TASKS
            for machine in self._machines_in(grant)
        )
