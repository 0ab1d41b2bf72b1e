"""Requests for pending jobs: their value, how many of their tasks may start, and the demands of their pipelines.

Throughout, `now` is monotonic time and `wall_time` wall-clock time, both in seconds; value functions use wall-clock
time.
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

# A request with this delay gets place-holders only: they reserve their slots in this event, and nothing starts.
PLACE_HOLDER_DELAY_S = 0.001
# a job of which no task has started gets a standing reservation after this many worker leases
RESERVED_AFTER_LEASES = 10.0
# lower bound on run-time estimates
MIN_ESTIMATE_S = 0.1


class PendingJobs:
    """Creates the requests of jobs' pending tasks for mapping events."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        machine_types: Callable[[], dict[str, MachineType]],
        estimates: RunTimeEstimates,
        completions: CompletionTracker,
    ) -> None:
        """`machine_types` returns the provider's machine types by name."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.machine_types = machine_types
        self.estimates = estimates
        self.completions = completions
        self.reserved_after_s = RESERVED_AFTER_LEASES * settings.lease_s
        # run time assumed for services, which have no estimate, when values are compared: a worker's lease
        self.service_estimate_s = settings.lease_s
        self._demands: dict[str, Demand] = {}  # by job id, of jobs with dependents and of the dependents

    def update_demands(self) -> None:
        """Recompute the demands of pipelines' jobs, including those of dependents submitted later."""
        dependents_by_job = self.job_cache.dependents_by_job()
        own: dict[str, Demand] = {}
        durations: dict[str, float] = {}
        for job_id in {
            *dependents_by_job,
            *(dependent for dependents in dependents_by_job.values() for dependent in dependents),
        }:
            job = self.job_cache.get(job_id)
            if job is not None and not job.cancelled:
                estimate = self.estimates.corrected(job.spec)
                own[job_id] = self._own_demand(job, estimate)
                durations[job_id] = self._pipeline_step_s(job.spec, estimate)
        self._demands = propagate_demands(own, durations, dependents_by_job)

    def request(
        self, job: Job, now: float, wall_time: float, zones: Collection[str] | None = None
    ) -> TaskRequest | None:
        """Return the request for a job's pending tasks; None if none may start now.

        `zones` are those whose shards this controller holds: the request is limited to the team's headroom there. If
        `zones` is None, it is limited to the headroom over all zones.
        """
        pending = job.pending
        if not pending:
            return None
        spec = job.spec
        is_gang = spec.kind == "gang"
        if is_gang and job.allocations and not self.is_waiting_to_start(job, wall_time):
            return None  # a gang starts as a whole, so the previous attempt must have ended
        is_crash_looping = self.completions.is_crash_looping(job, now)
        if is_crash_looping and job.allocations:
            return None  # a retry of the crash-looping job is in progress
        estimate = self._estimate_s(spec)
        waiting = 1 if is_crash_looping and not is_gang else pending.bit_count()
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
            reserved_since=None if spec.kind == "service" else self._reserved_since(job, value, wall_time),
            not_before=self._backed_off_until(job, now, wall_time),
            resource_share=largest_share(spec, list(self.machine_types().values())),
            start_by=job.startable_since + self.settings.start_objectives.get(spec.job_class, math.inf),
            avoids_gpus=self._can_avoid_gpus(spec),
            avoided_machines=self._avoided_machines(job, is_crash_looping, now),
        )

    def requests_soon_ready(self, now: float, wall_time: float) -> list[TaskRequest]:
        """Return requests of blocked jobs whose dependencies are running their last tasks.

        Their `not_before` is the time at which the jobs are expected to be ready.
        """
        requests = []
        dependents_by_job = self.job_cache.dependents_by_job()
        for job_id in {dependent for dependents in dependents_by_job.values() for dependent in dependents}:
            job = self.job_cache.get(job_id)
            if job is None or not job.blocked or job.cancelled:
                continue
            ready_in = self._ready_in_s(job, dependents_by_job, wall_time)
            if ready_in is None:
                continue
            request = self.request(job.with_dependencies_done(wall_time + ready_in), now, wall_time)
            if request is not None:
                request.not_before = max(request.not_before, wall_time + ready_in)
                requests.append(request)
        return requests

    def relocation_request(
        self, job: Job, lost_zones: set[str], held_share: Callable[[int], int], now: float, wall_time: float
    ) -> TaskRequest | None:
        """Return the request for capacity elsewhere for a service's replicas in lost zones; None if it has none there.

        `held_share` returns for how many of a number of replicas the held shards have to reserve capacity.
        """
        if job.spec.kind != "service" or job.cancelled:
            return None
        remaining = without_lost_zones(job, lost_zones)
        if remaining is None:
            return None
        request = self.request(remaining, now, wall_time)
        if request is None:
            return None
        tasks = held_share(remaining.pending.bit_count() - job.pending.bit_count())
        if not tasks:
            return None
        # these replicas already count against the team's limit, so they don't need headroom
        not_before = wall_time + PLACE_HOLDER_DELAY_S
        return replace(request, waiting=tasks, headroom=tasks, not_before=not_before, relocating=True)

    def unmet_guarantees(self, teams: Iterable[str]) -> dict[str, GuaranteeBalance]:
        """Return the unused guarantees of those of these teams that are known, by team, over all zones."""
        unmet = {}
        for name in teams:
            team = self.settings.teams.get(name)
            if team is not None:
                used, freed = self.job_cache.used(name), self.completions.freed_by_team.get(name, (0.0, 0.0))
                unmet[name] = GuaranteeBalance(team.cpus - used[0] + freed[0], team.gpus - used[1] + freed[1])
        return unmet

    def is_waiting_to_start(self, job: Job, wall_time: float) -> bool:
        """Return whether a gang's attempt hasn't started to run, so that replacements of lost tasks can complete it.

        This is known only if this controller holds the zones of all its machines. The replacements must also be able to
        fetch their image while the other tasks still wait.
        """
        held = self.coordinator.held_zones()
        attempt = job.allocations[0].attempt
        for allocation in job.allocations:
            if allocation.zone not in held or allocation.attempt != attempt:
                return False
            if not self._has_not_started(job, allocation):
                return False
        fetch_s = max(self._fetch_times_s(job.spec), default=0.0)
        waiting_since = min(allocation.allocated_at for allocation in job.allocations)
        return wall_time + fetch_s - waiting_since < self.settings.gang_wait_s

    def _has_not_started(self, job: Job, allocation: Allocation) -> bool:
        """Return whether an allocation's machine is still in the same session and has started none of its tasks."""
        with self.machine_registry.lock:
            machine = self.machine_registry.machines.get(allocation.machine)
            if machine is None or machine.session != allocation.session:
                return False
            for index in set_bits(allocation.tasks):
                task = machine.tasks.get((job.id, index, allocation.attempt))
                if task is not None and task.state not in ("fetching", "waiting"):
                    return False
        return True

    def _ready_in_s(self, job: Job, dependents_by_job: dict[str, list[str]], wall_time: float) -> float | None:
        """Return the seconds until a blocked job's dependencies are expected to be done; None if one isn't running."""
        ready_in = 0.0
        for job_id in job.dependencies:
            if job_id not in dependents_by_job or self.job_cache.final_state(job_id) is not None:
                continue
            dependency = self.job_cache.get(job_id)
            if dependency is None or dependency.pending or not dependency.allocations:
                return None
            if dependency.spec.kind == "service":
                return None
            estimate = self.estimates.corrected(dependency.spec)
            for allocation in dependency.allocations:
                ready_in = max(ready_in, estimate - (wall_time - allocation.allocated_at))
        return ready_in

    def _estimate_s(self, spec: JobSpec) -> float:
        if spec.kind == "service":
            return self.service_estimate_s
        return max(self.estimates.corrected(spec), MIN_ESTIMATE_S)

    def _headroom(self, spec: JobSpec, waiting: int, used: QuotaAmountLike, zones: Collection[str] | None) -> int:
        """Return how many of the waiting tasks the team's limit allows in these zones."""
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
        """Return whether one more task is within its team's guarantee, over all zones."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return False
        freed = self.completions.freed_by_team.get(spec.team, (0.0, 0.0))
        if used[0] - freed[0] + spec.cpus > team.cpus + EPSILON:
            return False
        return spec.gpus <= 0 or used[1] - freed[1] + spec.gpus <= team.gpus + EPSILON

    def _backed_off_until(self, job: Job, now: float, wall_time: float) -> float:
        """Return the wall-clock time until which a failing job isn't retried; 0 for other jobs."""
        backoff = self.completions.backoffs.get(job.id)
        return wall_time + max(0.0, backoff.not_before - now) if backoff else 0.0

    def _can_avoid_gpus(self, spec: JobSpec) -> bool:
        """Return whether a job needs no GPUs and fits a machine type without GPUs."""
        return spec.gpus <= 0 and any(
            machine_type.gpus <= 0 and machine_type.fits(spec) for machine_type in self.machine_types().values()
        )

    def _avoided_machines(self, job: Job, is_crash_looping: bool, now: float) -> frozenset[str]:
        return self.completions.machines_to_avoid(job, now) if is_crash_looping else self._machines_with_attempt(job)

    def _machines_with_attempt(self, job: Job) -> frozenset[str]:
        """Return machines that know the attempt of a gang's missing tasks, and so wouldn't start a replacement."""
        if job.spec.kind != "gang" or not job.allocations:
            return frozenset()
        keys = {(job.id, index, job.allocations[0].attempt) for index in set_bits(job.pending)}
        with self.machine_registry.lock:
            return frozenset(
                name for name, machine in self.machine_registry.machines.items() if keys & machine.tasks.keys()
            )

    def _reserved_since(self, job: Job, value: Value, wall_time: float) -> float | None:
        """Return the wall-clock time since which a job has a standing reservation; None if it has none.

        A job has one between its soft and hard deadline, and also if none of its tasks has started for a long time.
        This prevents starvation of large and long jobs by small ones that arrive faster than the machines can run them
        and have a higher value per resource at every event: large jobs would wait until their value is zero, and then
        be placed last.
        """
        reserved_from = job.startable_since + self.reserved_after_s
        if not job.last_attempt and wall_time > reserved_from:
            return min(reserved_from, value.soft_deadline)
        return value.soft_deadline if is_reserved(value, wall_time) else None

    def _demand(self, job: Job, estimate: float) -> Demand:
        return self._demands.get(job.id) or self._own_demand(job, estimate)

    def _own_demand(self, job: Job, estimate: float) -> Demand:
        return own_demand(
            job.spec, job.submitted, estimate, self.settings.deadline_objectives.get(job.spec.job_class, 1.0)
        )

    def _pipeline_step_s(self, spec: JobSpec, estimate: float) -> float:
        """Return the seconds that a step of a pipeline takes once it is ready.

        This includes the fetch of its image and a report interval until its start and end are known.
        """
        return estimate + min(self._fetch_times_s(spec), default=0.0) + self.settings.report_s

    def _fetch_times_s(self, spec: JobSpec) -> list[float]:
        """Return the fetch times of the job's image in seconds, on each machine type that fits the job."""
        return [
            machine_type.fetch_s(spec.image_gb)
            for machine_type in self.machine_types().values()
            if machine_type.fits(spec)
        ]
