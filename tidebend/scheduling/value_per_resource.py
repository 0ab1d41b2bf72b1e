"""Maximum value per resource with place-holders: one mapping event.

The heuristic is that of Khemka et al., "Resource Management in Heterogeneous Parallel Computing Environments with Soft
and Hard Deadlines": value functions with soft and hard deadlines (section 2), mapping events (section 3.1), ties among
machines (section 3.2), and the pick by value per resource with place-holders (section 3.3). `docs/design.md` says what
differs from the paper, and why.

Everything here is a pure function of its arguments: no clock, no random numbers, no I/O.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import NamedTuple

from tidebend.scheduling.gang_placement import place_gang
from tidebend.scheduling.resources import fits, multiply, need_of
from tidebend.scheduling.slots import Slot, best_slot, rate_of
from tidebend.scheduling.startable_machines import StartableMachines
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest, allowed_on

# busy machines whose slots are computed together, once a request's best slot may be on one of them
BUSY_MACHINES_BATCH = 8
# stands for the busy machines of a request that have no slots on the heap yet
_NEXT_BUSY_MACHINES = -1
# in a tie of value and finish, a bound comes after every slot: no task adds as many idle gaps
_GAPS_OF_BOUND = 3


def map_tasks(
    requests: list[TaskRequest],
    machines: list[CandidateMachine],
    now: float,
    horizon: float,
    unmet_guarantees: dict[str, GuaranteeBalance] | None = None,
) -> list[Placement]:
    """Place waiting tasks on machines, in one mapping event.

    `now` is the time of day in seconds, as are the machines' timelines; no slot starts later than `horizon` seconds
    after it. `unmet_guarantees` are what teams have still to get of their guarantees, by team. Requests, machines and
    unmet guarantees are changed by what is placed. Place-holders are among the result; they guard their slots within
    the event only, and lapse with it.
    """
    return MappingEvent(requests, machines, now, horizon, unmet_guarantees).run()


class MappingEvent:
    """The order in which requests are placed: services, then guarantees, then what is borrowed from other teams."""

    def __init__(
        self,
        requests: list[TaskRequest],
        machines: list[CandidateMachine],
        now: float,
        horizon: float,
        unmet_guarantees: dict[str, GuaranteeBalance] | None = None,
    ) -> None:
        """See `map_tasks`. Requests of teams that are at their limit are skipped."""
        self.requests = [request for request in requests if request.waiting > 0 and request.headroom > 0]
        self.machines = machines
        self.now = now
        self.latest_start = now + horizon
        self.unmet_guarantees = unmet_guarantees or {}
        self.placements: list[Placement] = []
        # once nothing can start anywhere the event is over: what it would still hold lapses with it
        self.startable = StartableMachines(self.requests, machines, now)
        self.open_machines = {index for index, machine in enumerate(machines) if machine.name in self.startable.names}

    def run(self) -> list[Placement]:
        """Place services, then standing reservations, the oldest first, then the pick by value per resource.

        Tasks within their team's guarantee go ahead of borrowed ones, in the same order. Guards against a team that
        borrows and has work waiting for so long that its standing reservations take all the room that comes free.
        Borrowed tasks of a higher priority take part on equal terms. Guards against a pipeline's urgent steps that
        wait behind another team's arrays.

        Room for replicas that will have to leave a lost zone is held along with the services, by place-holders that
        lapse with the event as others do. They go together since the pick then gives a slot on a machine that has the
        image to the request that it saves the fetch.
        """
        self._pick([request for request in self.requests if request.service])
        batch = [request for request in self.requests if not request.service]
        guaranteed = frozenset(request.job for request in batch if self._is_within_guarantee(request))
        first = self._guaranteed_or_of_higher_priority(batch, guaranteed)
        self._reservations_then_pick(first, guaranteed)
        # a guaranteed task that found no slot won't find one in what is left: an event goes over each request once
        done = {request.job for request in first if request.job not in guaranteed or self._is_within_guarantee(request)}
        rest = [request for request in batch if request.job not in done and request.waiting > 0]
        self._reservations_then_pick(rest)
        return self.placements

    def placeable_tasks(self, request: TaskRequest, within_guarantee: bool) -> int:
        """How many tasks of a request may be placed now, all of them or those within its team's guarantee."""
        most = min(request.waiting, request.headroom)
        if within_guarantee:
            most = min(most, self.unmet_guarantees[request.spec.team].tasks(request.spec))
        return most

    def count_toward_guarantee(self, request: TaskRequest, tasks: int) -> None:
        """Deduct placed tasks from what their team has still to get of its guarantee, if it has one."""
        balance = self.unmet_guarantees.get(request.spec.team)
        if balance is not None:
            balance.take(request.spec, tasks)

    def _is_within_guarantee(self, request: TaskRequest) -> bool:
        """Whether some of its tasks, or all of a gang's, are within what its team has still to get."""
        if request.spec.team not in self.unmet_guarantees:
            return False
        least = request.waiting if request.gang else 1
        return self.placeable_tasks(request, within_guarantee=True) >= least

    @staticmethod
    def _guaranteed_or_of_higher_priority(batch: list[TaskRequest], guaranteed: frozenset[str]) -> list[TaskRequest]:
        """Guaranteed requests, and borrowed ones whose starting value is above the least of the guaranteed."""
        least_value = min((request.value.start for request in batch if request.job in guaranteed), default=math.inf)
        return [request for request in batch if request.job in guaranteed or request.value.start > least_value]

    def _reservations_then_pick(self, requests: list[TaskRequest], guaranteed: frozenset[str] = frozenset()) -> None:
        """Place standing reservations one by one, the oldest first; then pick among the others."""
        reserved = [(request.reserved_since, request) for request in requests if request.reserved_since is not None]
        for _, request in sorted(reserved, key=lambda pair: (pair[0], pair[1].job)):
            self._pick([request], guaranteed)
        self._pick([request for request in requests if request.reserved_since is None], guaranteed)

    def _pick(self, requests: list[TaskRequest], guaranteed: frozenset[str] = frozenset()) -> None:
        if requests and self.startable.names:
            _Pick(self, requests, guaranteed).run()


class _HeapEntry(NamedTuple):
    """A slot of a request on a machine, or a bound for the slots on its next busy machines."""

    slot: Slot
    request_index: int
    machine_index: int  # or _NEXT_BUSY_MACHINES
    machine_changes: int  # the machine's changes when the slot was computed


class _Pick:
    """The pick among some requests: the slot with the highest value per resource, and after placing it, again.

    Placing changes slots on its machine only, and mostly for the worse. So the best of all slots is the top of a heap,
    once its machine is found unchanged since the slot was computed; otherwise the slot is computed again.

    Slots on open machines, where something can start now, are computed at once. Those on busy machines are computed a
    few at a time, in the order in which the first task on each ends: no slot there begins before that, so that a bound
    on the heap stands for them until a request's best slot may be among them.
    """

    def __init__(self, event: MappingEvent, requests: list[TaskRequest], guaranteed: frozenset[str]) -> None:
        """`guaranteed`: jobs of which only what is within their team's guarantee is placed in this pick."""
        self._event = event
        self._requests = requests
        self._guaranteed = guaranteed
        self._heap: list[_HeapEntry] = []
        # (end of the first task, index) of busy machines, the earliest first
        self._busy_machines = sorted(
            (machine.timeline.times[1], index)
            for index, machine in enumerate(event.machines)
            if len(machine.timeline.times) > 1
        )
        self._offered: dict[int, set[int]] = {}  # request -> open machines that it was offered at the start
        self._next_busy: dict[int, int] = {}  # request -> position of its next busy machine

    def run(self) -> None:
        """Place tasks until no slot is left or nothing can start any more. Gangs are placed first come first."""
        for request_index, request in enumerate(self._requests):
            if request.gang:
                self._place_gang(request)
            else:
                self._offer_open_machines(request_index)
                self._push_bound(request_index)
        startable_names = self._event.startable.names
        while self._heap and startable_names:
            self._take_best()

    def _place_gang(self, request: TaskRequest) -> None:
        event = self._event
        if not event.placeable_tasks(request, request.job in self._guaranteed) >= request.waiting > 0:
            return
        for placement in place_gang(request, event.machines, event.now, event.latest_start) or ():
            event.placements.append(placement)
            request.waiting -= placement.tasks
            event.count_toward_guarantee(request, placement.tasks)

    def _offer_open_machines(self, request_index: int) -> None:
        request = self._requests[request_index]
        machines = self._event.machines
        need = need_of(request.spec)
        offered = {
            index
            for index in self._event.open_machines
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
        machine = self._event.machines[machine_index]
        slot = best_slot(request, machine, self._event.now, self._event.latest_start)
        if slot is not None:
            heappush(self._heap, _HeapEntry(slot, request_index, machine_index, machine.changes))

    def _push_bound(self, request_index: int) -> None:
        """Put the best that a slot on the next busy machines can be on the heap."""
        request = self._requests[request_index]
        position = self._next_busy[request_index]
        if position >= len(self._busy_machines) or request.waiting < 1:
            return
        start = max(request.not_before, self._busy_machines[position][0])
        if start > self._event.latest_start:
            return
        finish = start + request.estimate
        rate = rate_of(request, finish, self._event.now)
        bound = Slot(-rate, round(finish, 3), _GAPS_OF_BOUND, 0.0, 0.0, "", start)
        heappush(self._heap, _HeapEntry(bound, request_index, _NEXT_BUSY_MACHINES, 0))

    def _take_best(self) -> None:
        """Take the top of the heap: place it, compute it again, or look at the next busy machines."""
        slot, request_index, machine_index, machine_changes = heappop(self._heap)
        request = self._requests[request_index]
        within_guarantee = request.job in self._guaranteed
        if within_guarantee and self._event.placeable_tasks(request, within_guarantee) < 1:
            return  # its team has all of its guarantee
        if machine_index == _NEXT_BUSY_MACHINES:
            self._offer_busy_machines(request_index)
            self._push_bound(request_index)
            return
        machine = self._event.machines[machine_index]
        if machine_changes == machine.changes:
            placed = self._place(request, machine, slot, within_guarantee)
            if not placed:
                return
        # A busy machine, where nobody can start now, takes one place-holder in an event: who comes later finds another,
        # and what an event costs stays in proportion to the machines, however much is waiting.
        if machine.name in self._event.startable.names:
            self._push_slot(request_index, machine_index)

    def _offer_busy_machines(self, request_index: int) -> None:
        """Compute a request's slots on its next busy machines."""
        request = self._requests[request_index]
        offered = self._offered[request_index]
        startable_names = self._event.startable.names
        position = self._next_busy[request_index]
        self._next_busy[request_index] = position + BUSY_MACHINES_BATCH
        for _, machine_index in self._busy_machines[position : position + BUSY_MACHINES_BATCH]:
            if machine_index in offered:
                continue
            machine = self._event.machines[machine_index]
            if not allowed_on(request, machine):
                continue
            if not machine.changes or machine.name in startable_names:
                self._push_slot(request_index, machine_index)

    def _place(self, request: TaskRequest, machine: CandidateMachine, slot: Slot, within_guarantee: bool) -> bool:
        """Place as many tasks as the slot has room for; false if none may be placed any more."""
        need = need_of(request.spec)
        tasks = min(
            self._event.placeable_tasks(request, within_guarantee),
            request.zone_room(machine.zone),
            machine.timeline.room(slot.start, slot.finish, need),
        )
        if tasks < 1:
            return False
        end = slot.finish
        if request.service:
            tasks = 1  # replicas are told apart by where they run
            end = math.inf
        machine.timeline.take(slot.start, end, multiply(need, tasks))
        machine.changes += 1
        self._record(request, machine, slot, tasks)
        self._event.startable.recheck(machine)
        return True

    def _record(self, request: TaskRequest, machine: CandidateMachine, slot: Slot, tasks: int) -> None:
        """Account for a placement: the image that is fetched for it, the request's tasks, its team's guarantee."""
        starts_now = slot.start <= self._event.now
        if starts_now and machine.fetch_s(request.spec) > 0:
            machine.images.add(request.spec.image)
            machine.fetching += 1
        placement = Placement(request.job, machine.name, tasks, slot.start, slot.finish, starts_now)
        self._event.placements.append(placement)
        request.waiting -= tasks
        request.headroom -= tasks
        request.add_to_zone(machine.zone, tasks)
        self._event.count_toward_guarantee(request, tasks)
