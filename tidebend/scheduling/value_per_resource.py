"""Maximum value per resource with place-holders (Khemka et al.): one mapping event."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from tidebend.scheduling.gang_placement import place_gang
from tidebend.scheduling.resources import EPSILON, need_of, times_fit
from tidebend.scheduling.slots import Slot, best_slot, rate_of
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest, allowed_on

# busy machines that an event looks at together when a want's best slot may be on one of them
LOOK = 8


class _Startable:
    """The machines on which some waiting task could start now."""

    def __init__(self, requests: list[TaskRequest], places: list[CandidateMachine], now: float) -> None:
        self._needs = [
            (request, need_of(request.spec)) for request in requests if request.not_before <= now or request.moving
        ]
        # most machines are full, and seen to be so by the least that any task needs
        self._least = min((need[0] for _, need in self._needs), default=math.inf)
        self.names = {place.name for place in places if self._any(place)}

    def _any(self, place: CandidateMachine) -> bool:
        free = place.timeline.free[0]
        if free[0] + EPSILON < self._least:
            return False
        return any(
            request.waiting > 0 and times_fit(free, need) and allowed_on(request, place)
            for request, need in self._needs
        )

    def look_again(self, place: CandidateMachine) -> None:
        if place.name in self.names and not self._any(place):
            self.names.discard(place.name)


def map_tasks(
    requests: list[TaskRequest],
    places: list[CandidateMachine],
    now: float,
    horizon: float,
    owed: dict[str, GuaranteeBalance] | None = None,
) -> list[Placement]:
    """One mapping event. The place-holders in the result guard their slots within it, and lapse with it.

    `owed`: what teams still have to get of their guarantees; it shrinks by what is placed.
    """
    owed = owed or {}
    placements: list[Placement] = []
    latest = now + horizon
    requests = [
        request for request in requests if request.waiting > 0 and request.headroom > 0
    ]  # teams at their limit are skipped
    # Once nothing can start anywhere the event is over: what it would still hold lapses with it.
    startable = _Startable(requests, places, now)
    open_set = {spot for spot, place in enumerate(places) if place.name in startable.names}

    def take(request: TaskRequest, tasks: int) -> None:
        if request.spec.team in owed:
            owed[request.spec.team].take(request.spec, tasks)

    def most(request: TaskRequest, owed_only: bool) -> int:
        """How many tasks of a want may be placed now; `owed_only`: no more than its team is owed."""
        return min(
            request.waiting,
            request.headroom,
            owed[request.spec.team].tasks(request.spec) if owed_only else request.waiting,
        )

    def is_within_guarantee(request: TaskRequest) -> bool:
        """Whether some of its tasks, or all of a gang's, are within what its team is owed."""
        return request.spec.team in owed and most(request, True) >= (request.waiting if request.gang else 1)

    def run(entries: list[TaskRequest], owed_only: frozenset[str] = frozenset()) -> None:
        # Placing changes slots only on its machine, and mostly for the worse. So the best of all slots is the top
        # of a heap, once its machine is found unchanged since the slot was computed.
        heap: list[tuple[Slot, int, int, int]] = []

        def offer(entry: int, spot: int) -> None:
            request, place = entries[entry], places[spot]
            if request.waiting > 0 and request.headroom > 0:
                slot = best_slot(request, place, now, latest)
                if slot is not None:
                    heappush(heap, (slot, entry, spot, place.changes))

        if not startable.names or not entries:
            return
        # the other machines in the order in which the first task on each ends
        order = sorted(
            (place.timeline.times[1], spot) for spot, place in enumerate(places) if len(place.timeline.times) > 1
        )
        offered: dict[int, set[int]] = {}
        looked: dict[int, int] = {}  # entry -> how far into that order it has looked

        def look_later(entry: int) -> None:
            request, at = entries[entry], looked[entry]
            if at < len(order) and request.waiting > 0:
                start = max(request.not_before, order[at][0])
                if start <= latest:
                    finish = start + request.estimate
                    bound = (-rate_of(request, finish, now), round(finish, 3), 3, 0.0, 0.0, "", start)
                    heappush(heap, (bound, entry, -1, 0))

        for entry, request in enumerate(entries):
            if request.gang:
                if most(request, request.job in owed_only) >= request.waiting > 0:
                    for placement in place_gang(request, places, now, latest) or ():
                        placements.append(placement)
                        request.waiting -= placement.tasks
                        take(request, placement.tasks)
                continue
            # Slots on other machines are computed a few at a time, once the want's best one may be among them: none
            # begins before the first task there ends.
            need = need_of(request.spec)
            offered[entry] = {
                spot
                for spot in open_set
                if times_fit(places[spot].timeline.free[0], need) and allowed_on(request, places[spot])
            }
            looked[entry] = 0
            for spot in offered[entry]:
                offer(entry, spot)
            look_later(entry)
        while heap and startable.names:
            slot, entry, spot, changes = heappop(heap)
            limited = entries[entry].job in owed_only
            if limited and most(entries[entry], limited) < 1:
                continue  # its team has all that it is owed
            if spot < 0:
                request, at = entries[entry], looked[entry]
                looked[entry] = at + LOOK
                for _, spot in order[at : at + LOOK]:
                    place = places[spot]
                    if (
                        spot not in offered[entry]
                        and allowed_on(request, place)
                        and (not place.changes or place.name in startable.names)
                    ):
                        offer(entry, spot)
                look_later(entry)
                continue
            request, place = entries[entry], places[spot]
            if changes != place.changes:
                if place.name in startable.names:
                    offer(entry, spot)
                continue
            finish, start = slot[1], slot[6]
            need = need_of(request.spec)
            tasks = min(most(request, limited), request.zone_room(place.zone), place.timeline.room(start, finish, need))
            if tasks < 1:
                continue
            if request.service:
                tasks = 1  # replicas are told apart by where they run
            place.timeline.take(start, math.inf if request.service else finish, tuple(part * tasks for part in need))
            place.changes += 1
            starts = start <= now
            if starts and place.fetch_s(request.spec) > 0:
                place.images.add(request.spec.image)
                place.fetching += 1
            placements.append(Placement(request.job, place.name, tasks, start, finish, starts))
            request.waiting -= tasks
            request.headroom -= tasks
            take(request, tasks)
            request.zones[place.zone] = request.zones.get(place.zone, 0) + tasks
            # A busy machine, where nobody can start now, takes one place-holder in an event: who comes later finds
            # another, and what an event costs stays in proportion to the machines, however much is waiting.
            startable.look_again(place)
            if place.name in startable.names:
                offer(entry, spot)

    # Services go first; then standing reservations, the oldest before the others; then the pick. What a
    # team is owed of its guarantee goes ahead of what is borrowed, in the same order: guards against a team that
    # borrows and has work waiting for so long that its standing reservations take all the room that comes free.
    # Borrowed work of a higher priority takes part on equal terms: guards against a pipeline's urgent steps that come
    # behind another team's arrays.
    # Room is held with them for replicas that will have to leave a lost zone, by place-holders that lapse with the
    # event as others do. Together, since the pick then gives a slot with an image at hand to whom it saves the fetch.
    run([request for request in requests if request.service])
    others = [request for request in requests if not request.service]
    promised = frozenset(request.job for request in others if is_within_guarantee(request))
    least = min((request.value.start for request in others if request.job in promised), default=math.inf)

    def in_order(entries: list[TaskRequest], owed_only: frozenset[str]) -> None:
        for request in sorted(
            (request for request in entries if request.reserved is not None),
            key=lambda request: (request.reserved, request.job),
        ):
            run([request], owed_only)
        run([request for request in entries if request.reserved is None], owed_only)

    first = [request for request in others if request.job in promised or request.value.start > least]
    in_order(first, promised)
    # what is owed and found no slot won't find one in what is left: an event goes over each want once
    tried = {request.job for request in first if request.job not in promised or is_within_guarantee(request)}
    in_order([request for request in others if request.job not in tried and request.waiting > 0], frozenset())
    return placements
