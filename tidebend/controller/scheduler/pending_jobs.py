"""Waiting work: what it is worth, how much of it may start, and what pipelines ask of it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import members
from tidebend.controller.records.completions import CompletionTracker
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator
from tidebend.protocol import JobSpec, MachineType
from tidebend.quota import TeamUsage
from tidebend.scheduling import (
    Demand,
    GuaranteeBalance,
    TaskRequest,
    Value,
    demands,
    is_reserved,
    largest_share,
    own_demand,
    value_of,
)
from tidebend.settings import Settings
from tidebend.zone_failover import without

# what is placed a moment from now holds its slot for the rest of the event, and doesn't start
SOON_S = 0.001
# a job none of which has begun keeps a standing reservation after so many of the workers' leases
PATIENCE = 10.0


class PendingJobs:
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
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.types = types
        self.estimates = estimates
        self.completions = completions
        self.patience_s = PATIENCE * settings.lease_s
        # a service without an estimate counts as long as a worker's lease when values are compared
        self.nominal_s = settings.lease_s
        self._demands: dict[str, Demand] = {}  # of jobs that others need, and of those

    def _own_demand(self, job: Job, estimate: float) -> Demand:
        return own_demand(job.spec, job.submitted, estimate, self.settings.late_aims.get(job.spec.job_class, 1.0))

    def _step_s(self, spec: JobSpec, estimate: float) -> float:
        """How long a step of a pipeline takes once it is ready: its start is reported and so is its end, and its
        image may have to be fetched."""
        fetch = min((kind.fetch_s(spec.image_gb) for kind in self.types().values() if kind.fits(spec)), default=0.0)
        return estimate + fetch + self.settings.report_s

    def weigh(self) -> None:
        """What the jobs of pipelines are asked for by those that need them, however late these came."""
        after = self.job_cache.waiters()
        own: dict[str, Demand] = {}
        length: dict[str, float] = {}
        for name in {*after, *(waiter for waiters in after.values() for waiter in waiters)}:
            job = self.job_cache.get(name)
            if job is not None and not job.cancelled:
                estimate = self.estimates.corrected(job.spec)
                own[name] = self._own_demand(job, estimate)
                length[name] = self._step_s(job.spec, estimate)
        self._demands = demands(own, length, after)

    def soon(self, now: float, clock: float) -> list[TaskRequest]:
        """Work that waits for others whose last tasks are running, with the time at which it will be ready."""
        requests = []
        after = self.job_cache.waiters()
        for name in {waiter for waiters in after.values() for waiter in waiters}:
            job = self.job_cache.get(name)
            if job is None or not job.blocked or job.cancelled:
                continue
            left = 0.0
            for other in job.dependencies:
                if other not in after or self.job_cache.final(other) is not None:
                    continue
                before = self.job_cache.get(other)
                if before is None or before.pending or not before.allocations or before.spec.kind == "service":
                    break
                estimate = self.estimates.corrected(before.spec)
                left = max([left, *(estimate - (clock - allocation.at) for allocation in before.allocations)])
            else:
                request = self.request(replace(job, blocked=False, ready=clock + left), now, clock)
                if request is not None:
                    request.not_before = max(request.not_before, clock + left)
                    requests.append(request)
        return requests

    def request(self, job: Job, now: float, clock: float, zones: Iterable[str] | None = None) -> TaskRequest | None:
        """As far as the team's limit allows in these zones, which are ours; None: in all zones together."""
        pending = job.pending
        if not pending:
            return None
        if job.spec.kind == "gang" and job.allocations and not self.still_gathers(job, clock):
            return None  # the attempt before it must be over: a gang starts whole
        spec = job.spec
        service = spec.kind == "service"
        is_crash_looping = self.completions.is_crash_looping(job, now)
        if is_crash_looping and job.allocations:
            return None  # it is being tried
        estimate = self.nominal_s if service else max(self.estimates.corrected(spec), 0.1)
        used = self.job_cache.used(spec.team)
        usage = TeamUsage(*used) if zones is None else self.job_cache.team(spec.team, zones)
        team = self.settings.teams.get(spec.team)
        waiting = 1 if is_crash_looping and spec.kind != "gang" else pending.bit_count()
        headroom = waiting
        within = False
        freed = self.completions.freed.get(spec.team, (0.0, 0.0))
        usage = usage.less(freed)
        if team is not None:
            if team.cpus_max is not None and spec.cpus > 0:
                headroom = min(headroom, int((team.cpus_max - usage.cpus + 1e-6) // spec.cpus))
            if team.gpus_max is not None and spec.gpus > 0:
                headroom = min(headroom, int((team.gpus_max - usage.gpus + 1e-6) // spec.gpus))
            within = used[0] - freed[0] + spec.cpus <= team.cpus + 1e-6 and (
                spec.gpus <= 0 or used[1] - freed[1] + spec.gpus <= team.gpus + 1e-6
            )
        # the steady clock and the time of day meet here: values are of the time of day
        demand = self._demands.get(job.id) or self._own_demand(job, estimate)
        value = value_of(demand, job.since, estimate, within)
        backoff = self.completions.backoffs.get(job.id)
        return TaskRequest(
            job.id,
            spec,
            value,
            estimate,
            waiting,
            job.per_zone(),
            headroom,
            None if service else self._reserved_since(job, value, clock),
            clock + max(0.0, backoff.not_before - now) if backoff else 0.0,
            largest_share(spec, list(self.types().values())),
            job.since + self.settings.start_aims.get(spec.job_class, math.inf),
            spec.gpus <= 0 and any(kind.gpus <= 0 and kind.fits(spec) for kind in self.types().values()),
            avoided_machines=self.completions.avoided(job, now) if is_crash_looping else self._know_the_attempt(job),
        )

    def _know_the_attempt(self, job: Job) -> frozenset[str]:
        """Machines that still know the attempt of a gang's missing tasks: there no replacement would be started."""
        if job.spec.kind != "gang" or not job.allocations:
            return frozenset()
        keys = {(job.id, index, job.allocations[0].attempt) for index in members(job.pending)}
        with self.machine_registry.lock:
            return frozenset(
                name for name, machine in self.machine_registry.machines.items() if keys & machine.tasks.keys()
            )

    def _reserved_since(self, job: Job, value: Value, clock: float) -> float | None:
        """Since when a job keeps a standing reservation, if it does.

        Past its soft deadline, as the design has it, while it is worth anything; and once it has waited for long and
        none of it has begun. Guards against small work that comes faster than the machines allow and is worth more per
        resource at every event: large jobs and long ones waited until they were worth nothing, and then last.
        """
        unbegun = job.since + self.patience_s
        if not job.started and clock > unbegun:
            return min(unbegun, value.soft)
        return value.soft if is_reserved(value, clock) else None

    def moving(
        self, job: Job, lost: set[str], ours: Callable[[int], int], now: float, clock: float
    ) -> TaskRequest | None:
        """A service's replicas in lost zones, for which room is held elsewhere; `ours`: for how many of so many it is
        we who hold it."""
        left = without(job, lost) if job.spec.kind == "service" and not job.cancelled else None
        request = None if left is None else self.request(left, now, clock)
        if request is None:
            return None
        tasks = ours(left.pending.bit_count() - job.pending.bit_count())
        # where they stand they count for the team's limit already, which has room for them therefore
        return (
            replace(request, waiting=tasks, headroom=tasks, not_before=clock + SOON_S, relocating=True)
            if tasks
            else None
        )

    def owed(self, teams: Iterable[str]) -> dict[str, GuaranteeBalance]:
        """What these teams have still to get of their guarantees, over all zones."""
        found = {}
        for name in teams:
            team = self.settings.teams.get(name)
            if team is not None:
                used, freed = self.job_cache.used(name), self.completions.freed.get(name, (0.0, 0.0))
                found[name] = GuaranteeBalance(team.cpus - used[0] + freed[0], team.gpus - used[1] + freed[1])
        return found

    def still_gathers(self, job: Job, clock: float) -> bool:
        """Whether a gang's attempt hasn't begun to run, so that replacements for lost tasks complete it.

        All its machines must be ours to know that, and a replacement must have its image while the others wait.
        """
        fetch = max(
            (kind.fetch_s(job.spec.image_gb) for kind in self.types().values() if kind.fits(job.spec)), default=0.0
        )
        held = self.coordinator.held_zones()
        for allocation in job.allocations:
            if allocation.zone not in held or allocation.attempt != job.allocations[0].attempt:
                return False
            with self.machine_registry.lock:
                machine = self.machine_registry.machines.get(allocation.machine)
                if machine is None or machine.session != allocation.session:
                    return False
                for index in members(allocation.tasks):
                    task = machine.tasks.get((job.id, index, allocation.attempt))
                    if task is not None and task.state not in ("fetching", "waiting"):
                        return False
        return clock + fetch - min(allocation.at for allocation in job.allocations) < self.settings.gang_wait_s
