"""Our machines as a mapping event sees them: what is free on each of them, and when."""

from __future__ import annotations

import math
from collections.abc import Callable

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import Machine, MachineRegistry
from tidebend.cluster_state.task_bitmap import members
from tidebend.controller.records.completions import Key
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.protocol import MachineType
from tidebend.scheduling import Amount, CandidateMachine, Timeline, need_of
from tidebend.settings import Settings

Found = dict[str, tuple[CandidateMachine, Machine, ShardGrant]]


class FreeCapacity:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        types: Callable[[], dict[str, MachineType]],
        estimates: RunTimeEstimates,
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.types = types
        self.estimates = estimates
        self.suspect_s = max(2.2 * settings.report_s, settings.lease_s * settings.knobs.suspect_after)

    def silent(self, machine: Machine, now: float) -> bool:
        return now - machine.last_heartbeat > self.suspect_s

    def _remaining(
        self,
        machine: Machine,
        job: Job,
        key: Key,
        kind: MachineType,
        now: float,
        clock: float,
        allocation: Allocation,
        estimate: float,
    ) -> float:
        if job.spec.kind == "service":
            return math.inf
        since = machine.running_since.get(key)
        if since is not None:
            left = estimate - (now - since)
        elif job.spec.kind == "gang" and job.pending:
            # it waits for others of its gang: their replacements don't wait for its end
            left = estimate + self.settings.gang_wait_s
        else:
            fetch = 0.0 if job.spec.image in machine.images else kind.fetch_s(job.spec.image_gb)
            left = estimate + max(0.0, fetch - (clock - allocation.at))
        # an overrunning task is seen at each event anew, and planned around
        return max(left, 0.1 * estimate, self.settings.report_s)

    def all(self, now: float, clock: float) -> Found:
        types = self.types()
        found = {}
        for grant in self.coordinator.grants():
            for machine in self.machine_registry.all():
                kind = types.get(machine.type)
                if kind is None or shard_of(machine.zone) != grant.shard:
                    continue
                with self.machine_registry.lock:
                    place = self._place(machine, kind, grant, now, clock)
                if place is not None:
                    found[machine.name] = (place, machine, grant)
        return found

    def _place(
        self, machine: Machine, kind: MachineType, grant: ShardGrant, now: float, clock: float
    ) -> CandidateMachine | None:
        held = self.job_cache.on_machine(machine.name)
        if machine.token != grant.token or machine.draining or machine.releasing or self.silent(machine, now):
            return None
        # ends are rounded up to a report's interval: they are known no better, and the timeline has fewer steps
        step = self.settings.report_s
        completions: dict[float, Amount] = {}
        fetching = set()
        for job, allocation in held:
            need = need_of(job.spec)
            estimate = self.estimates.corrected(job.spec)
            there = False
            for index in members(allocation.tasks):
                key = (job.id, index, allocation.attempt)
                task = machine.tasks.get(key)
                if task is not None and task.state == "ended" and allocation.session == machine.session:
                    there = True
                    continue  # its room is free; that its record doesn't say so yet keeps nobody waiting
                left = self._remaining(machine, job, key, kind, now, clock, allocation, estimate)
                if key in machine.stops:
                    left = machine.stops[key] + self.settings.report_s
                end = left if left == math.inf else math.ceil(left / step) * step
                taken = completions.get(end, (0.0, 0.0, 0.0))
                completions[end] = (taken[0] + need[0], taken[1] + need[1], taken[2] + need[2])
                if task is None or task.state == "fetching":
                    fetching.add(job.spec.image)
                else:
                    there = True
            if there:
                machine.uses_image(job.spec.image, job.spec.image_gb, kind.cache_gb)
        timeline = Timeline(now, (kind.cpus, kind.gpus, kind.memory_gb))
        for end, taken in completions.items():
            timeline.take(now, now + end, taken)
        place = CandidateMachine(
            machine.name, kind, machine.zone, machine.spot, timeline, set(machine.images), len(fetching)
        )
        if machine.notice_at is not None:
            place.reclaimed_at = machine.notice_at
        return place
