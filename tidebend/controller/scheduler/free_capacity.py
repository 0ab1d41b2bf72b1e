"""The machines of this controller's shards as input to a mapping event: the free capacity of each over time."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.protocol import MachineType
from tidebend.scheduling import Amount, CandidateMachine, Timeline, add, need_of
from tidebend.settings import Settings

# a machine is suspected after this many report intervals without a report
SUSPECTED_AFTER_REPORTS = 2.2
# lower bound on the remaining run time of a task, as a share of its estimate
MIN_REMAINING_SHARE = 0.1
NO_RESOURCES: Amount = (0.0, 0.0, 0.0)


class ScheduledMachine(NamedTuple):
    """A machine that takes part in a mapping event."""

    candidate: CandidateMachine
    machine: Machine
    grant: ShardGrant  # this controller's grant for the machine's shard


class FreeCapacity:
    """The free capacity of the machines of this controller's shards, as their workers report it."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        machine_types: Callable[[], dict[str, MachineType]],
        estimates: RunTimeEstimates,
    ) -> None:
        """`machine_types` returns the provider's machine types by name."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.machine_types = machine_types
        self.estimates = estimates
        # seconds without a report after which a machine is suspected and nothing is placed on it
        self.suspect_after_s = max(
            SUSPECTED_AFTER_REPORTS * settings.report_s, settings.lease_s * settings.knobs.suspect_after
        )

    def is_suspected(self, machine: Machine, now: float) -> bool:
        """Return whether a machine is suspected: its last report is too old; `now` is monotonic time."""
        return now - machine.last_heartbeat > self.suspect_after_s

    def usable_machines(self, now: float, wall_time: float) -> dict[str, ScheduledMachine]:
        """Return the machines on which tasks may be placed, by name.

        `now` is monotonic time, as are the times of their timelines; `wall_time` is wall-clock time.
        """
        machine_types = self.machine_types()
        usable = {}
        for grant in self.coordinator.grants():
            for machine in self.machine_registry.all():
                machine_type = machine_types.get(machine.type)
                if machine_type is None or shard_of(machine.zone) != grant.shard:
                    continue
                with self.machine_registry.lock:
                    candidate = self._candidate(machine, machine_type, grant, now, wall_time)
                if candidate is not None:
                    usable[machine.name] = ScheduledMachine(candidate, machine, grant)
        return usable

    def _candidate(
        self, machine: Machine, machine_type: MachineType, grant: ShardGrant, now: float, wall_time: float
    ) -> CandidateMachine | None:
        """Return the machine as a candidate for a mapping event; None if nothing may be placed on it."""
        allocated = self.job_cache.allocations_on(machine.name)
        if machine.token != grant.token or machine.draining or machine.releasing or self.is_suspected(machine, now):
            return None
        load = _MachineLoad(machine, machine_type, self.settings, now, wall_time)
        for job, allocation in allocated:
            load.add(job, allocation, self.estimates.corrected(job.spec))
        candidate = CandidateMachine(
            machine.name,
            machine_type,
            machine.zone,
            machine.spot,
            load.timeline(),
            set(machine.images),
            len(load.images_being_fetched),
        )
        if machine.reclaim_at is not None:
            candidate.reclaimed_at = machine.reclaim_at
        return candidate


class _MachineLoad:
    """Resources that the allocations on one machine use, and for how long; used under the machine registry's lock."""

    def __init__(
        self, machine: Machine, machine_type: MachineType, settings: Settings, now: float, wall_time: float
    ) -> None:
        self.images_being_fetched: set[str] = set()
        self._reserved: dict[float, Amount] = {}  # seconds from now -> amount in use until then
        self._machine = machine
        self._machine_type = machine_type
        self._settings = settings
        self._now = now
        self._wall_time = wall_time

    def add(self, job: Job, allocation: Allocation, estimate: float) -> None:
        """Add an allocation; `estimate` is the run time in seconds of each of its tasks."""
        need = need_of(job.spec)
        has_image = False
        for index in set_bits(allocation.tasks):
            key = (job.id, index, allocation.attempt)
            task = self._machine.tasks.get(key)
            if task is not None and task.state == "ended" and allocation.session == self._machine.session:
                has_image = True
                continue  # its resources are free on the machine, even if its completion isn't recorded yet
            self._reserve(need, self._remaining_s(job, allocation, key, estimate))
            if task is None or task.state == "fetching":
                self.images_being_fetched.add(job.spec.image)
            else:
                has_image = True
        if has_image:
            self._machine.record_image_use(job.spec.image, job.spec.image_gb, self._machine_type.cache_gb)

    def timeline(self) -> Timeline:
        """Return the free capacity from now on, in monotonic time."""
        timeline = Timeline(self._now, (self._machine_type.cpus, self._machine_type.gpus, self._machine_type.memory_gb))
        for remaining, amount in self._reserved.items():
            timeline.reserve(self._now, self._now + remaining, amount)
        return timeline

    def _reserve(self, need: Amount, remaining: float) -> None:
        # round up to the report interval: ends aren't known more precisely, and the timeline has fewer steps
        step = self._settings.report_s
        if remaining != math.inf:
            remaining = math.ceil(remaining / step) * step
        self._reserved[remaining] = add(self._reserved.get(remaining, NO_RESOURCES), need)

    def _remaining_s(self, job: Job, allocation: Allocation, key: TaskKey, estimate: float) -> float:
        """Return the seconds until a task is expected to end; infinite for a service's replica."""
        if key in self._machine.stop_requests:
            return self._machine.stop_requests[key] + self._settings.report_s
        if job.spec.kind == "service":
            return math.inf
        running_since = self._machine.running_since.get(key)
        if running_since is not None:
            remaining = estimate - (self._now - running_since)
        elif job.spec.kind == "gang" and job.pending:
            # it waits for replacements of other tasks of its gang, which can't wait for its end in turn
            remaining = estimate + self._settings.gang_wait_s
        else:
            fetch_s = 0.0 if job.spec.image in self._machine.images else self._machine_type.fetch_s(job.spec.image_gb)
            remaining = estimate + max(0.0, fetch_s - (self._wall_time - allocation.allocated_at))
        # a task that exceeds its estimate is expected to run on a little longer at each mapping event
        return max(remaining, MIN_REMAINING_SHARE * estimate, self._settings.report_s)
