"""Preemption: tasks of a lower priority are stopped for waiting services, those that lose least."""

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

# a task that saves its state is given so many times as long as its save takes
GRACE_PER_SAVE = 1.5
# after stops for a job no further ones are made for it for so many of the workers' report intervals
REPORTS_TO_STOP = 2.0


class Victim(NamedTuple):
    """A running task that may be stopped. Victims compare by what is lost with them, the least first."""

    loss: float  # CPU seconds of work
    key: TaskKey
    grace_s: float  # seconds it is given to save its state
    amount: Amount
    priority: int  # index of `PRIORITIES`


class MachineWithVictims(NamedTuple):
    """A machine on which room could be made."""

    candidate: CandidateMachine
    machine: Machine
    free: Amount
    victims: list[Victim]  # in order


class StopPlan(NamedTuple):
    """The stops that make room for one task on a machine. Plans compare by the task's wait, then by the loss.

    Room on a machine that has the image is used at once; a fetch often takes longer than the objective for starts
    allows.
    """

    fetch_s: float
    loss: float
    machine_index: int  # among the machines with victims
    stops: list[tuple[TaskKey, float]]  # tasks and their grace in seconds


class Preemptor:
    """Stops tasks for services that find no room, a machine at a time."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        claim_stagger: ClaimStagger,
        send: Callable[[set[str]], None],
    ) -> None:
        """`send` sends machines, by name, the commands that stop tasks."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.claim_stagger = claim_stagger
        self.send = send
        self._until: dict[str, float] = {}  # job -> steady time until which stopped tasks may take to end

    def forget(self, name: str) -> None:
        """Forget a job that waits no more."""
        self._until.pop(name, None)

    def make_room(
        self, requests: list[TaskRequest], machines: dict[str, ScheduledMachine], now: float, clock: float
    ) -> None:
        """Stop what loses least, for waiting services of a higher priority that find no room now."""
        shards = sorted(self.coordinator.holders())
        ours = {shard_of(scheduled.candidate.zone) for scheduled in machines.values()}
        with_victims: list[MachineWithVictims] | None = None
        for request in requests:
            rank = PRIORITIES.index(request.spec.priority)
            if rank == 0 or request.is_gang or not request.is_service or request.headroom < 1:
                continue
            if not self._is_due(request, shards, ours, now) or request.not_before > clock:
                continue
            if with_victims is None:
                with_victims = self._machines_with_victims(machines.values(), now)
            self.preempt_for(request, rank, with_victims, now)

    def preempt_for(self, request: TaskRequest, rank: int, machines: list[MachineWithVictims], now: float) -> None:
        """Stop tasks for as many replicas as wait: one after the other they would be missed for long.

        `rank` is the request's priority as an index of `PRIORITIES`. Machines on which room is made are taken out of
        the list.
        """
        plans = self._stop_plans(request, rank, machines)
        zone_headroom = {row.candidate.zone: request.zone_headroom(row.candidate.zone) for row in machines}
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
            self._until[request.job_id] = now + REPORTS_TO_STOP * self.settings.report_s
            machines[:] = [row for index, row in enumerate(machines) if index not in used]

    def _is_due(self, request: TaskRequest, shards: list[str], ours: set[str], now: float) -> bool:
        """Whether it is for us now to stop tasks for a request.

        Every shard has had time to place it without stopping anything; after that they wait for different times before
        they stop tasks, too.
        """
        if now < self._until.get(request.job_id, 0.0):
            return False
        pending_since = self.claim_stagger.pending_since(request.job_id)
        if pending_since is None:
            return False
        order = shard_order(request.job_id, shards)
        position = min((order.index(shard) for shard in ours), default=0)
        wait_s = (2 * len(shards) + 1) * self.claim_stagger.interval_s + position * self.settings.report_s
        return now - pending_since >= wait_s

    def _machines_with_victims(self, machines: Collection[ScheduledMachine], now: float) -> list[MachineWithVictims]:
        found = []
        for candidate, machine, _ in machines:
            # while tasks are being stopped on a machine room is being made there already
            if not machine.stop_requests and candidate.reclaimed_at == math.inf:
                free, victims = self._free_and_victims(machine, candidate.type, now)
                if victims:
                    found.append(MachineWithVictims(candidate, machine, free, victims))
        return found

    def _free_and_victims(self, machine: Machine, kind: MachineType, now: float) -> tuple[Amount, list[Victim]]:
        """What a machine has free, and its tasks that may be stopped, those that lose least first."""
        free = (kind.cpus, kind.gpus, kind.memory_gb)
        victims = []
        for job, allocation in self.job_cache.allocations_on(machine.name):
            need = need_of(job.spec)
            for index in set_bits(allocation.tasks):
                free = subtract(free, need)
                if _may_be_stopped(job.spec):
                    victims.append(_victim(machine, job, allocation, index, now))
        return free, sorted(victims)

    @staticmethod
    def _stop_plans(request: TaskRequest, rank: int, machines: list[MachineWithVictims]) -> list[StopPlan]:
        """Plans for the machines on which the request may be placed and stops can make room for it."""
        need = need_of(request.spec)
        # Guards against GPU machines that are cleared for replicas that then keep off them. Kept by what decides about
        # machines alike, as many of them are.
        allowed: dict[tuple[str, str, bool], bool] = {}
        plans = []
        for index, (candidate, _, free, victims) in enumerate(machines):
            kind = (candidate.type.name, candidate.zone, candidate.spot)
            if kind not in allowed:
                allowed[kind] = allowed_on(request, candidate)
            if not allowed[kind] or request.zone_headroom(candidate.zone) < 1:
                continue
            chosen = _cheapest(free, victims, need, rank)
            if chosen:
                loss = sum(victim.loss for victim in chosen)
                stops = [(victim.key, victim.grace_s) for victim in chosen]
                plans.append(StopPlan(candidate.fetch_s(request.spec), loss, index, stops))
        return plans

    def _stop(self, machine: Machine, plan: StopPlan, request: TaskRequest) -> None:
        with self.machine_registry.lock:
            machine.stop_requests.update(plan.stops)
        log.info(
            "machine %s: %s make room for %s, %.0f s of work lost",
            machine.name,
            [key[:2] for key, _ in plan.stops],
            request.job_id,
            plan.loss,
        )


def _may_be_stopped(spec: JobSpec) -> bool:
    """A gang of several loses all its tasks' work with one of them, and isn't stopped in order yet."""
    return spec.kind == "array" or (spec.kind == "gang" and spec.tasks == 1)


def _victim(machine: Machine, job: Job, allocation: Allocation, index: int, now: float) -> Victim:
    """A task with what is lost if it is stopped now: all its work, or a save's time if it saves its state."""
    spec = job.spec
    key = (job.id, index, allocation.attempt)
    running_since = machine.running_since.get(key)
    lost_s = 0.0 if running_since is None else now - running_since
    grace_s = 0.0
    if spec.checkpoint_s > 0:
        grace_s = spec.save_s * GRACE_PER_SAVE
        lost_s = min(lost_s, spec.save_s)
    return Victim(lost_s * spec.cpus, key, grace_s, need_of(spec), PRIORITIES.index(spec.priority))


def _cheapest(free: Amount, victims: list[Victim], need: Amount, rank: int) -> list[Victim]:
    """The victims of a lower priority, in their order, that make room for one task; none if they can't or needn't."""
    chosen: list[Victim] = []
    for victim in victims:
        if fits(free, need):
            break
        if victim.priority < rank:
            chosen.append(victim)
            free = add(free, victim.amount)
    return chosen if fits(free, need) else []
