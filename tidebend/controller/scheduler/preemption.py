"""Preemption of lower-priority tasks for waiting services, with the least loss of work."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.controller.scheduler.free_capacity import ScheduledMachine
from tidebend.controller.scheduler.staggered_claims import ClaimStagger, shard_order
from tidebend.coordination import Coordinator, shard_of
from tidebend.protocol import PRIORITIES, JobSpec, MachineType
from tidebend.scheduling import (
    Amount,
    CandidateMachine,
    TaskRequest,
    add,
    allowed_on,
    fits,
    need_of,
    subtract,
)
from tidebend.settings import Settings

log = logging.getLogger("scheduler")

# grace period of a task with checkpoints, as a multiple of the time to save one
GRACE_PER_SAVE = 1.5
# after a preemption for a job, there is no other for it for this many report intervals
PREEMPTION_PAUSE_REPORTS = 2.0


class Victim(NamedTuple):
    """A running task that may be preempted. Victims compare by the work lost, the least first."""

    loss: float  # lost work in CPU seconds
    key: TaskKey
    grace_s: float  # grace period for saving a checkpoint
    amount: Amount
    priority: int  # index of `PRIORITIES`


class MachineWithVictims(NamedTuple):
    """A machine with tasks that may be preempted."""

    candidate: CandidateMachine
    machine: Machine
    free: Amount
    victims: list[Victim]  # sorted


class PreemptionPlan(NamedTuple):
    """The preemptions that free capacity for one task on a machine. Plans compare by fetch time, then by loss.

    A machine that has the image is preferred, since a fetch often takes longer than the objective for starts allows.
    """

    fetch_s: float
    loss: float
    machine_index: int  # among the machines with victims
    stops: list[tuple[TaskKey, float]]  # tasks to stop and their grace periods in seconds


class Preemptor:
    """Preempts tasks for services that fit on no machine."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        claim_stagger: ClaimStagger,
        send: Callable[[set[str]], None],
    ) -> None:
        """`send` sends the machines with these names the commands that stop tasks."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.claim_stagger = claim_stagger
        self.send = send
        # job id -> monotonic time until which tasks preempted for it may take to end
        self._stopping_until: dict[str, float] = {}

    def forget(self, job_id: str) -> None:
        """Forget a job that is no longer pending."""
        self._stopping_until.pop(job_id, None)

    def preempt_for_services(
        self, requests: list[TaskRequest], machines: dict[str, ScheduledMachine], now: float, wall_time: float
    ) -> None:
        """Preempt lower-priority tasks for waiting services that fit on no machine now."""
        shards = sorted(self.coordinator.holders())
        held_shards = {shard_of(scheduled.candidate.zone) for scheduled in machines.values()}
        with_victims: list[MachineWithVictims] | None = None
        for request in requests:
            priority = PRIORITIES.index(request.spec.priority)
            if priority == 0 or request.is_gang or not request.is_service or request.headroom < 1:
                continue
            if not self._is_due(request, shards, held_shards, now) or request.not_before > wall_time:
                continue
            if with_victims is None:
                with_victims = self._machines_with_victims(machines.values(), now)
            self.preempt_for(request, priority, with_victims, now)

    def preempt_for(self, request: TaskRequest, priority: int, machines: list[MachineWithVictims], now: float) -> None:
        """Preempt tasks for all waiting replicas at once, since doing so one by one would leave replicas down for long.

        `priority` is the request's priority as an index of `PRIORITIES`. Machines on which tasks are preempted are
        removed from the list.
        """
        plans = self._preemption_plans(request, priority, machines)
        zone_headroom = {entry.candidate.zone: request.zone_headroom(entry.candidate.zone) for entry in machines}
        used: set[int] = set()
        for plan in sorted(plans):
            candidate, machine, *_ = machines[plan.machine_index]
            if len(used) >= min(request.waiting, request.headroom):
                break
            if zone_headroom[candidate.zone] < 1:
                continue
            zone_headroom[candidate.zone] -= 1
            used.add(plan.machine_index)
            self._stop(machine, plan, request)
        if used:
            self.send({machines[index].machine.name for index in used})
            self._stopping_until[request.job_id] = now + PREEMPTION_PAUSE_REPORTS * self.settings.report_s
            machines[:] = [entry for index, entry in enumerate(machines) if index not in used]

    def _is_due(self, request: TaskRequest, shards: list[str], held_shards: set[str], now: float) -> bool:
        """Return whether this controller should preempt tasks for a request now.

        First every shard gets time to place the request without preemption; after that, preemptions are staggered by
        shard as well.
        """
        if now < self._stopping_until.get(request.job_id, 0.0):
            return False
        pending_since = self.claim_stagger.pending_since(request.job_id)
        if pending_since is None:
            return False
        order = shard_order(request.job_id, shards)
        position = min((order.index(shard) for shard in held_shards), default=0)
        wait_s = (2 * len(shards) + 1) * self.claim_stagger.interval_s + position * self.settings.report_s
        return now - pending_since >= wait_s

    def _machines_with_victims(self, machines: Collection[ScheduledMachine], now: float) -> list[MachineWithVictims]:
        found = []
        for candidate, machine, _ in machines:
            # a machine on which tasks are being stopped is already being freed
            if not machine.stop_requests and candidate.reclaimed_at == math.inf:
                free, victims = self._free_and_victims(machine, candidate.type, now)
                if victims:
                    found.append(MachineWithVictims(candidate, machine, free, victims))
        return found

    def _free_and_victims(self, machine: Machine, machine_type: MachineType, now: float) -> tuple[Amount, list[Victim]]:
        """Return a machine's free capacity and its preemptible tasks, those with the least loss first."""
        free = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        victims = []
        for job, allocation in self.job_cache.allocations_on(machine.name):
            need = need_of(job.spec)
            for index in set_bits(allocation.tasks):
                free = subtract(free, need)
                if _is_preemptible(job.spec):
                    victims.append(_victim(machine, job, allocation, index, now))
        return free, sorted(victims)

    @staticmethod
    def _preemption_plans(
        request: TaskRequest, priority: int, machines: list[MachineWithVictims]
    ) -> list[PreemptionPlan]:
        """Return plans for the machines on which the request may be placed and preemption frees enough capacity."""
        need = need_of(request.spec)
        # Without `allowed_on`, GPU machines would be cleared for replicas that avoid GPUs. Results are cached by type,
        # zone and spot, on which they depend, since many machines share these.
        allowed: dict[tuple[str, str, bool], bool] = {}
        plans = []
        for index, (candidate, _, free, victims) in enumerate(machines):
            machine_class = (candidate.type.name, candidate.zone, candidate.spot)
            if machine_class not in allowed:
                allowed[machine_class] = allowed_on(request, candidate)
            if not allowed[machine_class] or request.zone_headroom(candidate.zone) < 1:
                continue
            chosen = _cheapest_victims(free, victims, need, priority)
            if chosen:
                loss = sum(victim.loss for victim in chosen)
                stops = [(victim.key, victim.grace_s) for victim in chosen]
                plans.append(PreemptionPlan(candidate.fetch_s(request.spec), loss, index, stops))
        return plans

    def _stop(self, machine: Machine, plan: PreemptionPlan, request: TaskRequest) -> None:
        with self.machine_registry.lock:
            machine.stop_requests.update(plan.stops)
        log.info(
            "machine %s: preempting tasks %s for job %s; %.0f CPU seconds of work lost",
            machine.name,
            [key[:2] for key, _ in plan.stops],
            request.job_id,
            plan.loss,
        )


def _is_preemptible(spec: JobSpec) -> bool:
    """Return whether a job's tasks may be preempted.

    A gang of several tasks is exempt: it loses the work of all of them with one, and can't be stopped as a whole yet.
    """
    return spec.kind == "array" or (spec.kind == "gang" and spec.tasks == 1)


def _victim(machine: Machine, job: Job, allocation: Allocation, index: int, now: float) -> Victim:
    """Return a task with its loss if preempted now: all its work, or with checkpoints at most the time of a save."""
    spec = job.spec
    key = (job.id, index, allocation.attempt)
    running_since = machine.running_since.get(key)
    lost_s = 0.0 if running_since is None else now - running_since
    grace_s = 0.0
    if spec.checkpoint_s > 0:
        grace_s = spec.save_s * GRACE_PER_SAVE
        lost_s = min(lost_s, spec.save_s)
    return Victim(lost_s * spec.cpus, key, grace_s, need_of(spec), PRIORITIES.index(spec.priority))


def _cheapest_victims(free: Amount, victims: list[Victim], need: Amount, priority: int) -> list[Victim]:
    """Return the first lower-priority victims that free enough capacity for one task.

    The list is empty if they can't, or if the task fits without preemption.
    """
    chosen: list[Victim] = []
    for victim in victims:
        if fits(free, need):
            break
        if victim.priority < priority:
            chosen.append(victim)
            free = add(free, victim.amount)
    return chosen if fits(free, need) else []
