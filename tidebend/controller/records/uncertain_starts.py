"""New fencing tokens that rule out the late execution of direct start commands."""

from __future__ import annotations

import time

from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.settings import Settings

# Ended tasks that a repeated start command could run again are kept on their machines for at most this many of the
# workers' leases; then a new token allows the workers to forget them.
MAX_KEPT_LEASES = 8.0


class UncertainStartResolver:
    """Raises the fencing token of our shards when direct starts would otherwise stay undecided.

    A direct start without an answer may be executed late, and one that was answered may be executed a second time.
    Once a worker has seen a higher token it executes neither. The second case only keeps ended tasks from being
    cleared, so it may wait longer.
    """

    def __init__(self, settings: Settings, coordinator: Coordinator, machine_registry: MachineRegistry) -> None:
        """Look for starts on the registry's machines; raise tokens by the coordinator."""
        self._settings = settings
        self._coordinator = coordinator
        self._machine_registry = machine_registry

    def resolve(self) -> None:
        """Raise the token of each shard that we hold and that has starts to be ruled out."""
        now = time.monotonic()
        for grant in self._coordinator.grants():
            grant_age_s = now - grant.acquired_at
            with self._machine_registry.lock:
                has_uncertain_starts = self._has_uncertain_starts(grant, now)
                kept_too_long = grant_age_s > self._max_kept_s and self._keeps_ended_tasks_too_long(grant, now)
            if kept_too_long or (has_uncertain_starts and grant_age_s > self._settings.report_s):
                self._coordinator.raise_fencing_token(grant)

    @property
    def _max_kept_s(self) -> float:
        return MAX_KEPT_LEASES * self._settings.lease_s

    def _machines_in(self, grant: ShardGrant) -> list[Machine]:
        machines = self._machine_registry.machines.values()
        return [machine for machine in machines if shard_of(machine.zone) == grant.shard]

    def _has_uncertain_starts(self, grant: ShardGrant, now: float) -> bool:
        """Whether a start under the present token has been without an answer for more than a report interval."""
        return any(
            token >= grant.token and now - sent_at > self._settings.report_s
            for machine in self._machines_in(grant)
            for token, sent_at in machine.starts.uncertain.values()
        )

    def _keeps_ended_tasks_too_long(self, grant: ShardGrant, now: float) -> bool:
        """Whether a machine has kept ended tasks, because of starts that may be repeated, for too long."""
        return any(
            machine.forgetting_deferred_since is not None and now - machine.forgetting_deferred_since > self._max_kept_s
            for machine in self._machines_in(grant)
        )
