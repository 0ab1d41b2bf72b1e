"""Our machines as a mapping event sees them: what is free on each of them, and when."""

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

# a machine is silent after so many of the workers' report intervals
SILENT_AFTER_REPORTS = 2.2
# the least that a task is expected to run on, as a share of its estimate
LEAST_REMAINING = 0.1
NOTHING: Amount = (0.0, 0.0, 0.0)


class ScheduledMachine(NamedTuple):
    """A machine that takes part in a mapping event."""

    candidate: CandidateMachine
    machine: Machine
    grant: ShardGrant  # ours, of the machine's shard


class FreeCapacity:
    """What is free on the machines of our shards, as their workers report it."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        types: Callable[[], dict[str, MachineType]],
        estimates: RunTimeEstimates,
    ) -> None:
        """`types` gives the provider's machine types by name."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.types = types
        self.estimates = estimates
        # seconds without a report after which nothing is placed on a machine
        self.suspect_after_s = max(
            SILENT_AFTER_REPORTS * settings.report_s, settings.lease_s * settings.knobs.suspect_after
        )

    def is_silent(self, machine: Machine, now: float) -> bool:
        """Whether a machine's last report is so old that nothing should be placed on it; `now` is steady time."""
        return now - machine.last_heartbeat > self.suspect_after_s

    def usable_machines(self, now: float, clock: float) -> dict[str, ScheduledMachine]:
        """The machines on which something may be placed, by name.

        `now` is steady time, as their timelines are, and `clock` the time of day.
        """
        types = self.types()
        usable = {}
        for grant in self.coordinator.grants():
            for machine in self.machine_registry.all():
                kind = types.get(machine.type)
                if kind is None or shard_of(machine.zone) != grant.shard:
                    continue
                with self.machine_registry.lock:
                    candidate = self._candidate(machine, kind, grant, now, clock)
                if candidate is not None:
                    usable[machine.name] = ScheduledMachine(candidate, machine, grant)
        return usable

    def _candidate(
        self, machine: Machine, kind: MachineType, grant: ShardGrant, now: float, clock: float
    ) -> CandidateMachine | None:
        """The machine as a mapping event sees it; None if nothing may be placed on it."""
        allocated = self.job_cache.allocations_on(machine.name)
        if machine.token != grant.token or machine.draining or machine.releasing or self.is_silent(machine, now):
            return None
        load = _MachineLoad(machine, kind, self.settings, now, clock)
        for job, allocation in allocated:
            load.add(job, allocation, self.estimates.corrected(job.spec))
        candidate = CandidateMachine(
            machine.name,
            kind,
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
    """What the allocations on one machine take, and for how long; used under the machine registry's lock."""

    def __init__(self, machine: Machine, kind: MachineType, settings: Settings, now: float, clock: float) -> None:
        self.images_being_fetched: set[str] = set()
        self._taken: dict[float, Amount] = {}  # seconds from now -> what is taken until then
        self._machine = machine
        self._kind = kind
        self._settings = settings
        self._now = now
        self._clock = clock

    def add(self, job: Job, allocation: Allocation, estimate: float) -> None:
        """Count an allocation; `estimate` is the run time in seconds of each of its tasks."""
        need = need_of(job.spec)
        image_fetched = False
        for index in set_bits(allocation.tasks):
            key = (job.id, index, allocation.attempt)
            task = self._machine.tasks.get(key)
            if task is not None and task.state == "ended" and allocation.session == self._machine.session:
                image_fetched = True
                continue  # its room is free; that its record doesn't say so yet delays no other task
            self._take(need, self._remaining_s(job, allocation, key, estimate))
            if task is None or task.state == "fetching":
                self.images_being_fetched.add(job.spec.image)
            else:
                image_fetched = True
        if image_fetched:
            self._machine.record_image_use(job.spec.image, job.spec.image_gb, self._kind.cache_gb)

    def timeline(self) -> Timeline:
        """What is free from now on, in steady time."""
        timeline = Timeline(self._now, (self._kind.cpus, self._kind.gpus, self._kind.memory_gb))
        for remaining, amount in self._taken.items():
            timeline.take(self._now, self._now + remaining, amount)
        return timeline

    def _take(self, need: Amount, remaining: float) -> None:
        # ends are rounded up to a report's interval: they are known no better, and the timeline has fewer steps
        step = self._settings.report_s
        if remaining != math.inf:
            remaining = math.ceil(remaining / step) * step
        self._taken[remaining] = add(self._taken.get(remaining, NOTHING), need)

    def _remaining_s(self, job: Job, allocation: Allocation, key: TaskKey, estimate: float) -> float:
        """Seconds until a task is expected to have ended; infinite for a service's replica."""
        if key in self._machine.stop_requests:
            return self._machine.stop_requests[key] + self._settings.report_s
        if job.spec.kind == "service":
            return math.inf
        running_since = self._machine.running_since.get(key)
        if running_since is not None:
            remaining = estimate - (self._now - running_since)
        elif job.spec.kind == "gang" and job.pending:
            # it waits for others of its gang: their replacements don't wait for its end
            remaining = estimate + self._settings.gang_wait_s
        else:
            fetch_s = 0.0 if job.spec.image in self._machine.images else self._kind.fetch_s(job.spec.image_gb)
            remaining = estimate + max(0.0, fetch_s - (self._clock - allocation.allocated_at))
        # an overrunning task is seen at each event anew, and planned around
        return max(remaining, LEAST_REMAINING * estimate, self._settings.report_s)
