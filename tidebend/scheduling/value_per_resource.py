"""The pick by value per resource, with place-holders (section 3.3 of Khemka et al.; see `mapping_event`)."""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import NamedTuple

from tidebend.scheduling.event_state import EventState
from tidebend.scheduling.gang_placement import place_gang
from tidebend.scheduling.resources import fits, multiply, need_of
from tidebend.scheduling.slots import Slot, best_slot, rate_of
from tidebend.scheduling.task_requests import CandidateMachine, Placement, TaskRequest, allowed_on

# busy machines whose slots are computed together, once a request's best slot may be on one of them
BUSY_MACHINES_BATCH = 8
# stands for the busy machines of a request that have no slots on the heap yet
_NEXT_BUSY_MACHINES = -1
# in a tie of value and finish, a bound comes after every slot: no task adds as many idle gaps
_GAPS_OF_BOUND = 3


class _HeapEntry(NamedTuple):
    """A slot of a request on a machine, or a bound for the slots on its next busy machines."""

    slot: Slot
    request_index: int
    machine_index: int  # or _NEXT_BUSY_MACHINES
    machine_changes: int  # the machine's changes when the slot was computed


class Pick:
    """The pick among some requests: the slot with the highest value per resource, and after placing it, again.

    Placing changes slots on its machine only, and mostly for the worse. So the best of all slots is the top of a heap,
    once its machine is found unchanged since the slot was computed; otherwise the slot is computed again.

    Slots on open machines, where something can start now, are computed at once. Those on busy machines are computed a
    few at a time, in the order in which the first task on each ends: no slot there begins before that, so that a bound
    on the heap stands for them until a request's best slot may be among them.
    """

    def __init__(self, state: EventState, requests: list[TaskRequest], guaranteed: frozenset[str]) -> None:
        """`guaranteed`: jobs of which only what is within their team's guarantee is placed in this pick."""
        self._state = state
        self._requests = requests
        self._guaranteed = guaranteed
        self._heap: list[_HeapEntry] = []
        # (end of the first task, index) of busy machines, the earliest first
        self._busy_machines = sorted(
            (machine.timeline.times[1], index)
            for index, machine in enumerate(state.machines)
            if len(machine.timeline.times) > 1
        )
        self._offered: dict[int, set[int]] = {}  # request -> open machines that it was offered at the start
        self._next_busy: dict[int, int] = {}  # request -> position of its next busy machine

    def run(self) -> None:
        """Place tasks until no slot is left or nothing can start any more. Gangs are placed before any other task."""
        for request_index, request in enumerate(self._requests):
            if request.is_gang:
                self._place_gang(request)
            else:
                self._offer_open_machines(request_index)
                self._push_bound(request_index)
        startable_names = self._state.startable.names
        while self._heap and startable_names:
            self._take_best()

    def _place_gang(self, request: TaskRequest) -> None:
        state = self._state
        if not state.placeable_tasks(request, request.job_id in self._guaranteed) >= request.waiting > 0:
            return
        for placement in place_gang(request, state.machines, state.now, state.latest_start) or ():
            state.placements.append(placement)
            request.waiting -= placement.tasks
            state.count_toward_guarantee(request, placement.tasks)

    def _offer_open_machines(self, request_index: int) -> None:
        request = self._requests[request_index]
        machines = self._state.machines
        need = need_of(request.spec)
        offered = {
            index
            for index in self._state.open_machines
            if fits(machines[index].timeline.free[0], need) and allowed_on(request, machines[index])
        }
        self._offered[request_index] = offered
        self._next_busy[request_index] = 0
        for machine_index in offered:
            self._push_slot(request_index, machine_index)

    def _push_slot(self, request_index: int, machine_index: int) -> None:
        """Put a request's best slot on a machine on the heap, if there is one."""
        request = self._requests[request_index]
        if request.waiting < 1 or request.headroom < 1:
            return
        machine = self._state.machines[machine_index]
        slot = best_slot(request, machine, self._state.now, self._state.latest_start)
        if slot is not None:
            heappush(self._heap, _HeapEntry(slot, request_index, machine_index, machine.changes))

    def _push_bound(self, request_index: int) -> None:
        """Put the best that a slot on the next busy machines can be on the heap."""
        request = self._requests[request_index]
        position = self._next_busy[request_index]
        if position >= len(self._busy_machines) or request.waiting < 1:
            return
        start = max(request.not_before, self._busy_machines[position][0])
        if start > self._state.latest_start:
            return
        finish = start + request.estimate
        rate = rate_of(request, finish, self._state.now)
        bound = Slot(-rate, round(finish, 3), _GAPS_OF_BOUND, 0.0, 0.0, "", start)
        heappush(self._heap, _HeapEntry(bound, request_index, _NEXT_BUSY_MACHINES, 0))

    def _take_best(self) -> None:
        """Take the top of the heap: place it, compute it again, or look at the next busy machines."""
        slot, request_index, machine_index, machine_changes = heappop(self._heap)
        request = self._requests[request_index]
        within_guarantee = request.job_id in self._guaranteed
        if within_guarantee and self._state.placeable_tasks(request, within_guarantee) < 1:
            return  # its team has all of its guarantee
        if machine_index == _NEXT_BUSY_MACHINES:
            self._offer_busy_machines(request_index)
            self._push_bound(request_index)
            return
        machine = self._state.machines[machine_index]
        if machine_changes == machine.changes:
            placed = self._place(request, machine, slot, within_guarantee)
            if not placed:
                return
        # A busy machine, where nothing can start now, takes one place-holder in an event, and later requests find
        # another: what an event costs stays in proportion to the machines, however many tasks are waiting.
        if machine.name in self._state.startable.names:
            self._push_slot(request_index, machine_index)

    def _offer_busy_machines(self, request_index: int) -> None:
        """Compute a request's slots on its next busy machines."""
        request = self._requests[request_index]
        offered = self._offered[request_index]
        startable_names = self._state.startable.names
        position = self._next_busy[request_index]
        self._next_busy[request_index] = position + BUSY_MACHINES_BATCH
        for _, machine_index in self._busy_machines[position : position + BUSY_MACHINES_BATCH]:
            if machine_index in offered:
                continue
            machine = self._state.machines[machine_index]
            if not allowed_on(request, machine):
                continue
            if not machine.changes or machine.name in startable_names:
                self._push_slot(request_index, machine_index)

    def _place(self, request: TaskRequest, machine: CandidateMachine, slot: Slot, within_guarantee: bool) -> bool:
        """Place as many tasks as the slot has room for; false if none may be placed any more."""
        need = need_of(request.spec)
        tasks = min(
            self._state.placeable_tasks(request, within_guarantee),
            request.zone_headroom(machine.zone),
            machine.timeline.room(slot.start, slot.finish, need),
        )
        if tasks < 1:
            return False
        end = slot.finish
        if request.is_service:
            tasks = 1  # replicas are told apart by where they run
            end = math.inf
        machine.timeline.take(slot.start, end, multiply(need, tasks))
        machine.changes += 1
        self._record(request, machine, slot, tasks)
        self._state.startable.recheck(machine)
        return True

    def _record(self, request: TaskRequest, machine: CandidateMachine, slot: Slot, tasks: int) -> None:
        """Account for a placement: the image that is fetched for it, the request's tasks, its team's guarantee."""
        starts_now = slot.start <= self._state.now
        if starts_now and machine.fetch_s(request.spec) > 0:
            machine.images.add(request.spec.image)
            machine.fetching += 1
        placement = Placement(request.job_id, machine.name, tasks, slot.start, slot.finish, starts_now)
        self._state.placements.append(placement)
        request.waiting -= tasks
        request.headroom -= tasks
        request.add_to_zone(machine.zone, tasks)
        self._state.count_toward_guarantee(request, tasks)
