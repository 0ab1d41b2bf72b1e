"""Room for what may preempt: tasks of a lower priority are stopped, those that lose least."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine_registry import Machine, MachineRegistry
from tidebend.cluster_state.task_bitmap import members
from tidebend.controller.records.completions import Key
from tidebend.controller.scheduler.free_capacity import Found
from tidebend.controller.scheduler.staggered_claims import ClaimStagger, order_of
from tidebend.coordination import Coordinator, shard_of
from tidebend.protocol import PRIORITIES, MachineType
from tidebend.scheduling import Amount, CandidateMachine, TaskRequest, allowed_on, need_of, times_fit
from tidebend.settings import Settings

log = logging.getLogger("planner")

_Victim = tuple[float, Key, float, Amount, int]  # loss, task, grace, amounts, priority
_Candidate = tuple[CandidateMachine, Machine, Amount, list[_Victim]]


class Preemptor:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        turns: ClaimStagger,
        send: Callable[[set[str]], None],
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.claim_stagger = turns
        self.send = send
        self._until: dict[str, float] = {}  # job -> steady time until which stopped tasks may take to end

    def forget(self, name: str) -> None:
        self._until.pop(name, None)

    def make(self, waiting: list[TaskRequest], places: Found, now: float, clock: float) -> None:
        """Stop what loses least, for waiting work of a higher priority that finds no room now."""
        shards = sorted(self.coordinator.table())
        mine = {shard_of(place.zone) for place, _, _ in places.values()}
        candidates: list[_Candidate] | None = None
        for request in waiting:
            rank = PRIORITIES.index(request.spec.priority)
            if rank == 0 or request.gang or not request.service or request.headroom < 1:
                continue
            seen = self.claim_stagger.waits_since(request.job)
            # every holder has had its turn to place it without stopping anything; they take turns at that, too
            order = order_of(request.job, shards)
            rank_of = min((order.index(shard) for shard in mine), default=0)
            wait = (2 * len(shards) + 1) * self.claim_stagger.turn_s + rank_of * self.settings.report_s
            if now < self._until.get(request.job, 0.0):
                continue
            if seen is None or now - seen < wait or request.not_before > clock:
                continue
            if candidates is None:
                candidates = []
                for place, machine, _ in places.values():
                    if not machine.stops and place.reclaimed_at == math.inf:  # else room is being made here already
                        free, victims = self._victims(machine, place.type, now)
                        if victims:
                            candidates.append((place, machine, free, victims))
            self.for_want(request, rank, candidates, now)

    def for_want(self, request: TaskRequest, rank: int, candidates: list[_Candidate], now: float) -> None:
        """Stop tasks for as many replicas as wait: one after the other they would be missed for long."""
        need = need_of(request.spec)
        rooms = {place.zone: request.zone_room(place.zone) for place, *_ in candidates}
        allowed: dict[tuple[str, str, bool], bool] = {}
        found = []
        for number, (place, _, free, victims) in enumerate(candidates):
            kind = (place.type.name, place.zone, place.spot)
            if kind not in allowed:
                # where it may be placed, no other: GPU machines were cleared for replicas that then kept off them
                allowed[kind] = allowed_on(request, place)
            if allowed[kind] and rooms[place.zone] > 0:
                cost = self._cheapest(free, victims, need, rank)
                if cost is not None:
                    # room where the image is at hand is used at once; a fetch often takes longer than the aim allows
                    found.append((place.fetch_s(request.spec), cost[0], number, cost[1]))
        used = set()
        for _, lost, number, keys in sorted(found):
            place, machine, *_ = candidates[number]
            if len(used) >= min(request.waiting, request.headroom):
                break
            if rooms[place.zone] < 1:
                continue
            rooms[place.zone] -= 1
            used.add(number)
            with self.machine_registry.lock:
                machine.stops.update(keys)
            log.info(
                "machine %s: %s make room for %s, %.0f s of work lost",
                machine.name,
                [key[:2] for key, _ in keys],
                request.job,
                lost,
            )
        if used:
            self.send({candidates[number][1].name for number in used})
            self._until[request.job] = now + 2.0 * self.settings.report_s
            candidates[:] = [row for number, row in enumerate(candidates) if number not in used]

    def _victims(self, machine: Machine, kind: MachineType, now: float) -> tuple[Amount, list[_Victim]]:
        """What a machine has free, and its tasks that may be stopped, those that lose least first."""
        free = [kind.cpus, kind.gpus, kind.memory_gb]
        victims = []
        for job, allocation in self.job_cache.on_machine(machine.name):
            amount = need_of(job.spec)
            for index in members(allocation.tasks):
                for dimension in range(3):
                    free[dimension] -= amount[dimension]
                # a gang of several loses all its tasks' work with one of them, and isn't stopped in order yet
                if job.spec.kind == "array" or (job.spec.kind == "gang" and job.spec.tasks == 1):
                    key = (job.id, index, allocation.attempt)
                    since = machine.running_since.get(key)
                    ran = 0.0 if since is None else now - since
                    grace = 0.0
                    if job.spec.checkpoint_s > 0:
                        grace, ran = job.spec.save_s * 1.5, min(ran, job.spec.save_s)
                    victims.append((ran * amount[0], key, grace, amount, PRIORITIES.index(job.spec.priority)))
        return tuple(free), sorted(victims)

    @staticmethod
    def _cheapest(
        free: Amount, victims: list[_Victim], need: Amount, rank: int
    ) -> tuple[float, list[tuple[Key, float]]] | None:
        """The stops that make room for one task on a machine, with what they lose."""
        lost = 0.0
        keys: list[tuple[Key, float]] = []
        for cost, key, grace, amount, priority in victims:
            if times_fit(free, need):
                break
            if priority < rank:
                lost += cost
                keys.append((key, grace))
                free = (free[0] + amount[0], free[1] + amount[1], free[2] + amount[2])
        return (lost, keys) if keys and times_fit(free, need) else None
