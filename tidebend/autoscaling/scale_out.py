"""What to rent for the waiting work."""

from __future__ import annotations

import math

from tidebend.autoscaling.capacity import Capacity, Offer, Rental
from tidebend.scheduling import EPSILON, TaskRequest, need_of, times_fit

# estimates are often wrong by half: count on tasks that take that much longer
WRONG_BY = 1.5
# of the time until tasks must begin at the latest, this share may pass while they wait for others to end: these, too,
# take longer than estimated, and others come meanwhile
SPARE = 0.5


def _side_by_side(request: TaskRequest, now: float) -> int:
    """How many of the waiting tasks must run at a time for the job to make its soft deadline."""
    if request.service or request.spec.kind == "gang":
        return request.waiting
    left = request.value.soft - now
    turns = max(1, math.floor(left / max(WRONG_BY * request.estimate, 0.1)))
    return math.ceil(request.waiting / turns)


def _zone_for(
    request: TaskRequest,
    capacities: list[Capacity],
    offers: list[Offer],
    by: float,
    fitting: set[str],
    machines: dict[str, int],
) -> str:
    """The zone in which a gang's places are to be had: where most of it fits by then and the rest can be rented.

    One holder places a gang, so that its tasks need room in one zone whether the job asks for that or not. Guards
    against a gang that waits for ever beside room in several zones, and one whose first place was counted in a zone
    where the cloud has no more.
    """
    need = need_of(request.spec)
    room = {
        zone: 0
        for zone in {*(capacity.zone for capacity in capacities), *(offer.zone for offer in offers)}
        if request.spec.zone in (None, zone)
    }
    for capacity in capacities:
        if (
            capacity.zone in room
            and capacity.type.name in fitting
            and (request.spec.spot or not capacity.spot)
            and capacity.most_cpus + EPSILON >= need[0]
        ):
            room[capacity.zone] += times_fit(capacity.room_by(by), need)
    price = {zone: min((offer.price for offer in offers if offer.zone == zone), default=math.inf) for zone in room}

    def rank(zone: str) -> tuple:
        missing = max(0, request.waiting - room[zone])
        return (missing > 0 and price[zone] == math.inf, missing, price[zone], machines.get(zone, 0), zone)

    held = [zone for zone, count in request.tasks_by_zone.items() if count]
    return held[0] if held else min(room, key=rank, default="")


def to_rent(
    requests: list[TaskRequest], capacities: list[Capacity], offers: list[Offer], now: float, rank: dict[str, int]
) -> list[Rental]:
    """Machines for the waiting work that those at hand can't serve in time, by cost for each task.

    `offers` leaves out what the cloud lately had none of; `rank` spreads rentals over the zones (fewest first).
    """
    counts: dict[Offer, int] = {}
    order = sorted(
        requests, key=lambda request: (not request.service, -request.value.start, request.value.soft, request.job)
    )
    for request in order:
        need = need_of(request.spec)
        allowed = [
            offer
            for offer in offers
            if offer.type.fits(request.spec)
            and (request.spec.spot or not offer.spot)
            and offer.zone in offer.type.zones
            and request.spec.zone in (None, offer.zone)
            and request.zone_room(offer.zone) > 0
            and not (request.avoids_gpus and offer.type.gpus > 0)
        ]
        boot_s = min((offer.type.boot_s for offer in allowed), default=0.0)
        ready_in = max(0.0, request.not_before - now)
        if ready_in > boot_s:
            continue  # it waits for others, and a machine would be up before they are done
        missing = min(_side_by_side(request, now), request.headroom, request.waiting)
        slack = 0.0
        if not request.service:
            slack = max(
                0.0, min(SPARE * (request.value.soft - now - WRONG_BY * request.estimate), request.start_by - now)
            )
        fitting = {
            kind.name
            for kind in {capacity.type for capacity in capacities}
            if kind.fits(request.spec) and not (request.avoids_gpus and kind.gpus > 0)
        }
        # what becomes free before the tasks must begin at the latest, or before a new machine could be up
        by = max(slack, ready_in, boot_s if not request.service else 0.0)
        only = (
            _zone_for(request, capacities, allowed, by, fitting, rank)
            if request.gang and not request.spec.spread
            else None
        )
        for capacity in capacities:
            if missing <= 0:
                break
            if only not in (None, capacity.zone):
                continue
            # most machines are promised to others already, and passed over by this comparison alone
            if capacity.most_cpus + EPSILON < need[0] or capacity.type.name not in fitting:
                continue
            if (capacity.spot and not request.spec.spot) or request.spec.zone not in (None, capacity.zone):
                continue
            room = capacity.room_by(by)
            tasks = min(missing, times_fit(room, need), request.zone_room(capacity.zone))
            if tasks > 0:
                capacity.take(need, tasks)
                request.tasks_by_zone[capacity.zone] = request.tasks_by_zone.get(capacity.zone, 0) + tasks
                missing -= tasks
        while missing > 0:
            best = None
            for offer in allowed:
                if only not in (None, offer.zone):
                    continue
                whole = (offer.type.cpus, offer.type.gpus, offer.type.memory_gb)
                tasks = min(missing, times_fit(whole, need), request.zone_room(offer.zone))
                if tasks < 1:
                    continue
                key = (
                    offer.price / tasks,
                    rank.get(offer.zone, 0) + counts.get(offer, 0),
                    offer.type.boot_s,
                    offer.type.name,
                    offer.zone,
                )
                if best is None or key < best[0]:
                    best = (key, offer, tasks, whole)
            if best is None:
                break
            _, offer, tasks, whole = best
            counts[offer] = counts.get(offer, 0) + 1
            capacity = Capacity(offer.type, offer.zone, offer.spot, whole, offer.type.boot_s)
            capacity.take(need, tasks)
            capacities.append(capacity)
            request.tasks_by_zone[offer.zone] = request.tasks_by_zone.get(offer.zone, 0) + tasks
            missing -= tasks
    return [Rental(offer, machines) for offer, machines in counts.items()]
