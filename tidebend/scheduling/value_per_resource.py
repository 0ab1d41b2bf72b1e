"""Greedy placement by value per resource, with place-holders (section 3.3 of Khemka et al.; see `mapping_event`)."""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import NamedTuple

from tidebend.scheduling.event_state import EventState
from tidebend.scheduling.gang_placement import place_gang
from tidebend.scheduling.resources import fits, multiply, need_of
from tidebend.scheduling.slots import Slot, best_slot, value_per_resource_at
from tidebend.scheduling.task_requests import CandidateMachine, Placement, TaskRequest, allowed_on

# number of busy machines whose slots are computed at once when a request's best slot may be on one of them
BUSY_MACHINES_BATCH = 8
# machine index of a heap entry that bounds the slots on all busy machines not yet on the heap for a request
_NEXT_BUSY_MACHINES = -1
# `added_gaps` of a bound: no task adds that many idle gaps, so in a tie of value and finish a bound sorts after slots
_BOUND_ADDED_GAPS = 3


class _HeapEntry(NamedTuple):
    """A request's slot on a machine, or a bound on its slots on the next busy machines."""

    slot: Slot
    request_index: int
    machine_index: int  # or _NEXT_BUSY_MACHINES
    placements_made: int  # the machine's `placements_made` when the slot was computed


class ValuePerResourcePass:
    """One pass over some requests: repeatedly places the slot with the highest value per resource.

    A placement changes only the slots on its machine, and mostly makes them worse. The best slot is therefore the top
    of a heap if nothing was placed on its machine since the slot was computed; otherwise the slot is recomputed.

    Slots on startable machines, where a task can start now, are computed up front. Those on busy machines are computed
    in small batches, in the order in which the first task on each machine ends. No slot there starts earlier than that,
    so a bound on the heap represents them until a request's best slot may be among them.
    """

    def __init__(self, state: EventState, requests: list[TaskRequest], guaranteed: frozenset[str]) -> None:
        """`guaranteed` names the jobs of which this pass places only tasks within their team's guarantee."""
        self._state = state
        self._requests = requests
        self._guaranteed = guaranteed
        self._heap: list[_HeapEntry] = []
        # (end of the first task, machine index) of busy machines, the earliest first
        self._busy_machines = sorted(
            (machine.timeline.times[1], index)
            for index, machine in enumerate(state.machines)
            if len(machine.timeline.times) > 1
        )
        self._pushed: dict[int, set[int]] = {}  # request index -> startable machines whose slots are on the heap
        self._next_busy: dict[int, int] = {}  # request index -> position of its next busy machine

    def run(self) -> None:
        """Place gangs, then other tasks until no slot is left or nothing can start any more."""
        for request_index, request in enumerate(self._requests):
            if request.is_gang:
                self._place_gang(request)
            else:
                self._push_startable_machines(request_index)
                self._push_bound(request_index)
        startable_names = self._state.startable.names
        while self._heap and startable_names:
            self._process_best()

    def _place_gang(self, request: TaskRequest) -> None:
        state = self._state
        if not state.placeable_tasks(request, request.job_id in self._guaranteed) >= request.waiting > 0:
            return
        for placement in place_gang(request, state.machines, state.now, state.latest_start) or ():
            state.placements.append(placement)
            request.waiting -= placement.tasks
            state.count_toward_guarantee(request, placement.tasks)

    def _push_startable_machines(self, request_index: int) -> None:
        request = self._requests[request_index]
        machines = self._state.machines
        need = need_of(request.spec)
        pushed = {
            index
            for index in self._state.startable_indexes
            if fits(machines[index].timeline.free[0], need) and allowed_on(request, machines[index])
        }
        self._pushed[request_index] = pushed
        self._next_busy[request_index] = 0
        for machine_index in pushed:
            self._push_slot(request_index, machine_index)

    def _push_slot(self, request_index: int, machine_index: int) -> None:
        """Push a request's best slot on a machine onto the heap, if there is one."""
        request = self._requests[request_index]
        if request.waiting < 1 or request.headroom < 1:
            return
        machine = self._state.machines[machine_index]
        slot = best_slot(request, machine, self._state.now, self._state.latest_start)
        if slot is not None:
            heappush(self._heap, _HeapEntry(slot, request_index, machine_index, machine.placements_made))

    def _push_bound(self, request_index: int) -> None:
        """Push an upper bound on the request's slots on its next busy machines onto the heap."""
        request = self._requests[request_index]
        position = self._next_busy[request_index]
        if position >= len(self._busy_machines) or request.waiting < 1:
            return
        start = max(request.not_before, self._busy_machines[position][0])
        if start > self._state.latest_start:
            return
        finish = start + request.estimate
        value_per_resource = value_per_resource_at(request, finish, self._state.now)
        bound = Slot(-value_per_resource, round(finish, 3), _BOUND_ADDED_GAPS, 0.0, 0.0, "", start)
        heappush(self._heap, _HeapEntry(bound, request_index, _NEXT_BUSY_MACHINES, 0))

    def _process_best(self) -> None:
        """Pop the top of the heap: place it, recompute it, or compute slots on the next busy machines."""
        slot, request_index, machine_index, placements_made = heappop(self._heap)
        request = self._requests[request_index]
        within_guarantee = request.job_id in self._guaranteed
        if within_guarantee and self._state.placeable_tasks(request, within_guarantee) < 1:
            return  # the team's guarantee is used up
        if machine_index == _NEXT_BUSY_MACHINES:
            self._push_busy_machines(request_index)
            self._push_bound(request_index)
            return
        machine = self._state.machines[machine_index]
        if placements_made == machine.placements_made:
            placed = self._place(request, machine, slot, within_guarantee)
            if not placed:
                return
        # A busy machine, where nothing can start now, gets one place-holder per event; later requests use others. This
        # keeps the cost of an event proportional to the number of machines, however many tasks are waiting.
        if machine.name in self._state.startable.names:
            self._push_slot(request_index, machine_index)

    def _push_busy_machines(self, request_index: int) -> None:
        """Push a request's slots on its next batch of busy machines onto the heap."""
        request = self._requests[request_index]
        pushed = self._pushed[request_index]
        startable_names = self._state.startable.names
        position = self._next_busy[request_index]
        self._next_busy[request_index] = position + BUSY_MACHINES_BATCH
        for _, machine_index in self._busy_machines[position : position + BUSY_MACHINES_BATCH]:
            if machine_index in pushed:
                continue
            machine = self._state.machines[machine_index]
            if not allowed_on(request, machine):
                continue
            if not machine.placements_made or machine.name in startable_names:
                self._push_slot(request_index, machine_index)

    def _place(self, request: TaskRequest, machine: CandidateMachine, slot: Slot, within_guarantee: bool) -> bool:
        """Place as many tasks as fit into the slot; return False if none may be placed."""
        need = need_of(request.spec)
        tasks = min(
            self._state.placeable_tasks(request, within_guarantee),
            request.zone_headroom(machine.zone),
            machine.timeline.count_fitting(slot.start, slot.finish, need),
        )
        if tasks < 1:
            return False
        end = slot.finish
        if request.is_service:
            tasks = 1  # replicas are placed one at a time, since it matters on which machine each runs
            end = math.inf
        machine.timeline.reserve(slot.start, end, multiply(need, tasks))
        machine.placements_made += 1
        self._record(request, machine, slot, tasks)
        self._state.startable.recheck(machine)
        return True

    def _record(self, request: TaskRequest, machine: CandidateMachine, slot: Slot, tasks: int) -> None:
        """Record a placement, and update the machine's images, the request's counts and the team's guarantee."""
        starts_now = slot.start <= self._state.now
        if starts_now and machine.fetch_s(request.spec) > 0:
            machine.images.add(request.spec.image)
            machine.fetches_in_progress += 1
        placement = Placement(request.job_id, machine.name, tasks, slot.start, slot.finish, starts_now)
        self._state.placements.append(placement)
        request.waiting -= tasks
        request.headroom -= tasks
        request.add_to_zone(machine.zone, tasks)
        self._state.count_toward_guarantee(request, tasks)
