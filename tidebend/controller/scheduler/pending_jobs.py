"""Pending jobs: what they are worth, how many of their tasks may start, and what pipelines ask of them.

`now` is steady time and `clock` the time of day throughout; value functions are of the time of day.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator
from tidebend.protocol import JobSpec, MachineType
from tidebend.quota import QuotaAmountLike, TeamUsage
from tidebend.scheduling import (
    EPSILON,
    Demand,
    GuaranteeBalance,
    TaskRequest,
    Value,
    is_reserved,
    largest_share,
    own_demand,
    propagate_demands,
    value_of,
)
from tidebend.settings import Settings
from tidebend.zone_failover import without_lost_zones

# what is placed a moment from now holds its slot for the rest of the event, and doesn't start
PLACE_HOLDER_DELAY_S = 0.001
# a job none of which has begun keeps a standing reservation after so many of the workers' leases
RESERVED_AFTER_LEASES = 10.0
# the shortest run time that is reckoned with, in seconds
LEAST_ESTIMATE_S = 0.1


class PendingJobs:
    """Makes requests for mapping events of jobs' pending tasks."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        types: Callable[[], dict[str, MachineType]],
        estimates: RunTimeEstimates,
        completions: CompletionTracker,
    ) -> None:
        """`types` gives the provider's machine types by name."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.types = types
        self.estimates = estimates
        self.completions = completions
        self.reserved_after_s = RESERVED_AFTER_LEASES * settings.lease_s
        # a service without an estimate counts as long as a worker's lease when values are compared
        self.service_estimate_s = settings.lease_s
        self._demands: dict[str, Demand] = {}  # of jobs that others need, and of those others

    def update_demands(self) -> None:
        """Find out what the jobs of pipelines are asked for by those that need them, however late these came."""
        after = self.job_cache.dependents_by_job()
        own: dict[str, Demand] = {}
        length: dict[str, float] = {}
        for name in {*after, *(waiter for waiters in after.values() for waiter in waiters)}:
            job = self.job_cache.get(name)
            if job is not None and not job.cancelled:
                estimate = self.estimates.corrected(job.spec)
                own[name] = self._own_demand(job, estimate)
                length[name] = self._step_s(job.spec, estimate)
        self._demands = propagate_demands(own, length, after)

    def request(self, job: Job, now: float, clock: float, zones: Collection[str] | None = None) -> TaskRequest | None:
        """The request for a job's pending tasks; None if none may start now.

        `zones` are those whose shards we hold: the request goes as far as the team's limit allows there. None: in all
        zones together.
        """
        pending = job.pending
        if not pending:
            return None
        spec = job.spec
        gang = spec.kind == "gang"
        if gang and job.allocations and not self.still_gathers(job, clock):
            return None  # the attempt before it must be over: a gang starts whole
        is_crash_looping = self.completions.is_crash_looping(job, now)
        if is_crash_looping and job.allocations:
            return None  # it is being tried
        estimate = self._estimate_s(spec)
        waiting = 1 if is_crash_looping and not gang else pending.bit_count()
        used = self.job_cache.used(spec.team)
        value = value_of(
            self._demand(job, estimate), job.startable_since, estimate, self._is_within_guarantee(spec, used)
        )
        return TaskRequest(
            job_id=job.id,
            spec=spec,
            value=value,
            estimate=estimate,
            waiting=waiting,
            tasks_by_zone=job.allocated_by_zone(),
            headroom=self._headroom(spec, waiting, used, zones),
            reserved_since=None if spec.kind == "service" else self._reserved_since(job, value, clock),
            not_before=self._backed_off_until(job, now, clock),
            resource_share=largest_share(spec, list(self.types().values())),
            start_by=job.startable_since + self.settings.start_objectives.get(spec.job_class, math.inf),
            avoids_gpus=self._can_avoid_gpus(spec),
            avoided_machines=self._avoided_machines(job, is_crash_looping, now),
        )

    def requests_soon_ready(self, now: float, clock: float) -> list[TaskRequest]:
        """Requests for jobs that wait for others whose last tasks are running.

        Their `not_before` is the time at which they are expected to be ready.
        """
        requests = []
        after = self.job_cache.dependents_by_job()
        for name in {waiter for waiters in after.values() for waiter in waiters}:
            job = self.job_cache.get(name)
            if job is None or not job.blocked or job.cancelled:
                continue
            ready_in = self._ready_in_s(job, after, clock)
            if ready_in is None:
                continue
            request = self.request(job.with_dependencies_done(clock + ready_in), now, clock)
            if request is not None:
                request.not_before = max(request.not_before, clock + ready_in)
                requests.append(request)
        return requests

    def relocation_request(
        self, job: Job, lost_zones: set[str], our_share: Callable[[int], int], now: float, clock: float
    ) -> TaskRequest | None:
        """The request for room elsewhere for a service's replicas in lost zones; None if it has none there.

        `our_share` tells for how many of so many replicas it falls to our shards to hold room.
        """
        if job.spec.kind != "service" or job.cancelled:
            return None
        remaining = without_lost_zones(job, lost_zones)
        if remaining is None:
            return None
        request = self.request(remaining, now, clock)
        if request is None:
            return None
        tasks = our_share(remaining.pending.bit_count() - job.pending.bit_count())
        if not tasks:
            return None
        # where they run they count for the team's limit already, which has room for them therefore
        not_before = clock + PLACE_HOLDER_DELAY_S
        return replace(request, waiting=tasks, headroom=tasks, not_before=not_before, relocating=True)

    def unmet_guarantees(self, teams: Iterable[str]) -> dict[str, GuaranteeBalance]:
        """What these teams have still to get of their guarantees, over all zones; by team, unless it isn't known."""
        unmet = {}
        for name in teams:
            team = self.settings.teams.get(name)
            if team is not None:
                used, freed = self.job_cache.used(name), self.completions.freed_by_team.get(name, (0.0, 0.0))
                unmet[name] = GuaranteeBalance(team.cpus - used[0] + freed[0], team.gpus - used[1] + freed[1])
        return unmet

    def still_gathers(self, job: Job, clock: float) -> bool:
        """Whether a gang's attempt hasn't begun to run, so that replacements for lost tasks complete it.

        All its machines must be ours to know that, and a replacement must have its image while the others wait.
        """
        held = self.coordinator.held_zones()
        attempt = job.allocations[0].attempt
        for allocation in job.allocations:
            if allocation.zone not in held or allocation.attempt != attempt:
                return False
            if not self._hasnt_begun(job, allocation):
                return False
        fetch_s = max(self._fetch_times_s(job.spec), default=0.0)
        gathers_since = min(allocation.allocated_at for allocation in job.allocations)
        return clock + fetch_s - gathers_since < self.settings.gang_wait_s

    def _hasnt_begun(self, job: Job, allocation: Allocation) -> bool:
        """Whether an allocation's machine is still in the same session and runs none of its tasks yet."""
        with self.machine_registry.lock:
            machine = self.machine_registry.machines.get(allocation.machine)
            if machine is None or machine.session != allocation.session:
                return False
            for index in set_bits(allocation.tasks):
                task = machine.tasks.get((job.id, index, allocation.attempt))
                if task is not None and task.state not in ("fetching", "waiting"):
                    return False
        return True

    def _ready_in_s(self, job: Job, after: dict[str, list[str]], clock: float) -> float | None:
        """Seconds until all that a blocked job needs is expected to be done; None if some of it isn't running yet."""
        ready_in = 0.0
        for name in job.dependencies:
            if name not in after or self.job_cache.final_state(name) is not None:
                continue
            dependency = self.job_cache.get(name)
            if dependency is None or dependency.pending or not dependency.allocations:
                return None
            if dependency.spec.kind == "service":
                return None
            estimate = self.estimates.corrected(dependency.spec)
            for allocation in dependency.allocations:
                ready_in = max(ready_in, estimate - (clock - allocation.allocated_at))
        return ready_in

    def _estimate_s(self, spec: JobSpec) -> float:
        if spec.kind == "service":
            return self.service_estimate_s
        return max(self.estimates.corrected(spec), LEAST_ESTIMATE_S)

    def _headroom(self, spec: JobSpec, waiting: int, used: QuotaAmountLike, zones: Collection[str] | None) -> int:
        """How many of the waiting tasks the team's limit allows in these zones."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return waiting
        usage = TeamUsage(*used) if zones is None else self.job_cache.team(spec.team, zones)
        usage = usage.minus(self.completions.freed_by_team.get(spec.team, (0.0, 0.0)))
        headroom = waiting
        if team.cpus_max is not None and spec.cpus > 0:
            headroom = min(headroom, int((team.cpus_max - usage.cpus + EPSILON) // spec.cpus))
        if team.gpus_max is not None and spec.gpus > 0:
            headroom = min(headroom, int((team.gpus_max - usage.gpus + EPSILON) // spec.gpus))
        return headroom

    def _is_within_guarantee(self, spec: JobSpec, used: QuotaAmountLike) -> bool:
        """Whether one more task is within its team's guarantee, over all zones."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return False
        freed = self.completions.freed_by_team.get(spec.team, (0.0, 0.0))
        if used[0] - freed[0] + spec.cpus > team.cpus + EPSILON:
            return False
        return spec.gpus <= 0 or used[1] - freed[1] + spec.gpus <= team.gpus + EPSILON

    def _backed_off_until(self, job: Job, now: float, clock: float) -> float:
        """The time of day before which a job that fails isn't tried again; 0 for others."""
        backoff = self.completions.backoffs.get(job.id)
        return clock + max(0.0, backoff.not_before - now) if backoff else 0.0

    def _can_avoid_gpus(self, spec: JobSpec) -> bool:
        """Whether a job needs no GPUs and fits a machine type that has none."""
        return spec.gpus <= 0 and any(kind.gpus <= 0 and kind.fits(spec) for kind in self.types().values())

    def _avoided_machines(self, job: Job, is_crash_looping: bool, now: float) -> frozenset[str]:
        return self.completions.machines_to_avoid(job, now) if is_crash_looping else self._machines_with_attempt(job)

    def _machines_with_attempt(self, job: Job) -> frozenset[str]:
        """Machines that still know the attempt of a gang's missing tasks: there no replacement would be started."""
        if job.spec.kind != "gang" or not job.allocations:
            return frozenset()
        keys = {(job.id, index, job.allocations[0].attempt) for index in set_bits(job.pending)}
        with self.machine_registry.lock:
            return frozenset(
                name for name, machine in self.machine_registry.machines.items() if keys & machine.tasks.keys()
            )

    def _reserved_since(self, job: Job, value: Value, clock: float) -> float | None:
        """The time of day since which a job keeps a standing reservation; None if it doesn't.

        It does past its soft deadline, while it is worth anything; and once it has waited for long and none of it has
        begun. Guards against small jobs that come faster than the machines allow and are worth more per resource at
        every event: large jobs and long ones waited until they were worth nothing, and were then placed last.
        """
        reserved_from = job.startable_since + self.reserved_after_s
        if not job.last_attempt and clock > reserved_from:
            return min(reserved_from, value.soft_deadline)
        return value.soft_deadline if is_reserved(value, clock) else None

    def _demand(self, job: Job, estimate: float) -> Demand:
        return self._demands.get(job.id) or self._own_demand(job, estimate)

    def _own_demand(self, job: Job, estimate: float) -> Demand:
        return own_demand(
            job.spec, job.submitted, estimate, self.settings.deadline_objectives.get(job.spec.job_class, 1.0)
        )

    def _step_s(self, spec: JobSpec, estimate: float) -> float:
        """Seconds that a step of a pipeline takes once it is ready.

        Its image may have to be fetched, and its start is reported and so is its end.
        """
        return estimate + min(self._fetch_times_s(spec), default=0.0) + self.settings.report_s

    def _fetch_times_s(self, spec: JobSpec) -> list[float]:
        """Seconds that the job's image takes to be fetched, on each type of machine that fits it."""
        return [kind.fetch_s(spec.image_gb) for kind in self.types().values() if kind.fits(spec)]
