"""Maximum value per resource with place-holders (Khemka et al.): one mapping event."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from tidebend.scheduling.gang_placement import place_gang
from tidebend.scheduling.resources import EPSILON, need_of, times_fit
from tidebend.scheduling.slots import Slot, best_slot, rate_of
from tidebend.scheduling.task_requests import Owed, Place, Placement, Want, allowed_on

# busy machines that an event looks at together when a want's best slot may be on one of them
LOOK = 8


class _Startable:
    """The machines on which some waiting task could start now."""

    def __init__(self, wants: list[Want], places: list[Place], now: float) -> None:
        self._needs = [(want, need_of(want.spec)) for want in wants if want.not_before <= now or want.moving]
        # most machines are full, and seen to be so by the least that any task needs
        self._least = min((need[0] for _, need in self._needs), default=math.inf)
        self.names = {place.name for place in places if self._any(place)}

    def _any(self, place: Place) -> bool:
        free = place.timeline.free[0]
        if free[0] + EPSILON < self._least:
            return False
        return any(want.waiting > 0 and times_fit(free, need) and allowed_on(want, place) for want, need in self._needs)

    def look_again(self, place: Place) -> None:
        if place.name in self.names and not self._any(place):
            self.names.discard(place.name)


def map_tasks(
    wants: list[Want], places: list[Place], now: float, horizon: float, owed: dict[str, Owed] | None = None
) -> list[Placement]:
    """One mapping event. The place-holders in the result guard their slots within it, and lapse with it.

    `owed`: what teams still have to get of their guarantees; it shrinks by what is placed.
    """
    owed = owed or {}
    placements: list[Placement] = []
    latest = now + horizon
    wants = [want for want in wants if want.waiting > 0 and want.headroom > 0]  # teams at their limit are skipped
    # Once nothing can start anywhere the event is over: what it would still hold lapses with it.
    startable = _Startable(wants, places, now)
    open_set = {spot for spot, place in enumerate(places) if place.name in startable.names}

    def take(want: Want, tasks: int) -> None:
        if want.spec.team in owed:
            owed[want.spec.team].take(want.spec, tasks)

    def most(want: Want, owed_only: bool) -> int:
        """How many tasks of a want may be placed now; `owed_only`: no more than its team is owed."""
        return min(want.waiting, want.headroom, owed[want.spec.team].tasks(want.spec) if owed_only else want.waiting)

    def is_owed(want: Want) -> bool:
        """Whether some of its tasks, or all of a gang's, are within what its team is owed."""
        return want.spec.team in owed and most(want, True) >= (want.waiting if want.gang else 1)

    def run(entries: list[Want], owed_only: frozenset[str] = frozenset()) -> None:
        # Placing changes slots only on its machine, and mostly for the worse. So the best of all slots is the top
        # of a heap, once its machine is found unchanged since the slot was computed.
        heap: list[tuple[Slot, int, int, int]] = []

        def offer(entry: int, spot: int) -> None:
            want, place = entries[entry], places[spot]
            if want.waiting > 0 and want.headroom > 0:
                slot = best_slot(want, place, now, latest)
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
            want, at = entries[entry], looked[entry]
            if at < len(order) and want.waiting > 0:
                start = max(want.not_before, order[at][0])
                if start <= latest:
                    finish = start + want.estimate
                    bound = (-rate_of(want, finish, now), round(finish, 3), 3, 0.0, 0.0, "", start)
                    heappush(heap, (bound, entry, -1, 0))

        for entry, want in enumerate(entries):
            if want.gang:
                if most(want, want.job in owed_only) >= want.waiting > 0:
                    for placement in place_gang(want, places, now, latest) or ():
                        placements.append(placement)
                        want.waiting -= placement.tasks
                        take(want, placement.tasks)
                continue
            # Slots on other machines are computed a few at a time, once the want's best one may be among them: none
            # begins before the first task there ends.
            need = need_of(want.spec)
            offered[entry] = {
                spot
                for spot in open_set
                if times_fit(places[spot].timeline.free[0], need) and allowed_on(want, places[spot])
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
                want, at = entries[entry], looked[entry]
                looked[entry] = at + LOOK
                for _, spot in order[at : at + LOOK]:
                    place = places[spot]
                    if (
                        spot not in offered[entry]
                        and allowed_on(want, place)
                        and (not place.changes or place.name in startable.names)
                    ):
                        offer(entry, spot)
                look_later(entry)
                continue
            want, place = entries[entry], places[spot]
            if changes != place.changes:
                if place.name in startable.names:
                    offer(entry, spot)
                continue
            finish, start = slot[1], slot[6]
            need = need_of(want.spec)
            tasks = min(most(want, limited), want.zone_room(place.zone), place.timeline.room(start, finish, need))
            if tasks < 1:
                continue
            if want.service:
                tasks = 1  # replicas are told apart by where they run
            place.timeline.take(start, math.inf if want.service else finish, tuple(part * tasks for part in need))
            place.changes += 1
            starts = start <= now
            if starts and place.fetch_s(want.spec) > 0:
                place.images.add(want.spec.image)
                place.fetching += 1
            placements.append(Placement(want.job, place.name, tasks, start, finish, starts))
            want.waiting -= tasks
            want.headroom -= tasks
            take(want, tasks)
            want.zones[place.zone] = want.zones.get(place.zone, 0) + tasks
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
    run([want for want in wants if want.service])
    others = [want for want in wants if not want.service]
    promised = frozenset(want.job for want in others if is_owed(want))
    least = min((want.value.start for want in others if want.job in promised), default=math.inf)

    def in_order(entries: list[Want], owed_only: frozenset[str]) -> None:
        for want in sorted(
            (want for want in entries if want.reserved is not None), key=lambda want: (want.reserved, want.job)
        ):
            run([want], owed_only)
        run([want for want in entries if want.reserved is None], owed_only)

    first = [want for want in others if want.job in promised or want.value.start > least]
    in_order(first, promised)
    # what is owed and found no slot won't find one in what is left: an event goes over each want once
    tried = {want.job for want in first if want.job not in promised or is_owed(want)}
    in_order([want for want in others if want.job not in tried and want.waiting > 0], frozenset())
    return placements
