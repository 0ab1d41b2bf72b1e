"""What to rent for the waiting tasks that machines which are up or booting can't serve in time."""

from __future__ import annotations

import math
from typing import NamedTuple

from tidebend.autoscaling.capacity import Capacity, Offer, ProvisionRequest
from tidebend.scheduling import Amount, TaskRequest, count_fitting_tasks, need_of

# estimates are often wrong by half: count on tasks that take that much longer
WRONG_BY = 1.5
# of the time until tasks must begin at the latest, this share may pass while they wait for others to end: these, too,
# take longer than estimated, and further tasks arrive meanwhile
SPARE = 0.5
# the shortest run time that is reckoned with when tasks follow one another, in seconds
LEAST_RUN_S = 0.1


def plan_provisioning(
    requests: list[TaskRequest],
    capacities: list[Capacity],
    offers: list[Offer],
    now: float,
    machines_by_zone: dict[str, int],
) -> list[ProvisionRequest]:
    """Machines to rent for the requests, those that cost least for each task, in the order of first need.

    `offers` leaves out what the cloud lately had none of; `now` is the time of day in seconds; `machines_by_zone`
    spreads rentals over the zones (fewest first): the machines that each zone has. Requests and capacities are changed:
    the tasks that find room are counted in the requests' zones, and rented machines are added to the capacities.
    """
    plan = _RentalPlan(capacities, offers, now, machines_by_zone)
    for request in sorted(requests, key=_RequestRank.of):
        plan.serve(request)
    return [ProvisionRequest(offer, machines) for offer, machines in plan.machines.items()]


class _RequestRank(NamedTuple):
    """The order in which requests are served: services first, then by value, the earliest deadline, and name."""

    batch: bool
    negative_value: float
    soft_deadline: float
    job: str

    @classmethod
    def of(cls, request: TaskRequest) -> _RequestRank:
        return cls(not request.is_service, -request.value.starting_value, request.value.soft_deadline, request.job_id)


class _OfferRank(NamedTuple):
    """Offers for a request compare by cost, then by how few machines the zone has, and how soon they are up."""

    price_per_task: float
    machines_in_zone: int
    boot_s: float
    type: str
    zone: str


class _ZoneRank(NamedTuple):
    """Zones for a gang compare by whether it can be had there at all, by what has to be rented, and its price."""

    impossible: bool
    missing: int
    price: float
    machines: int
    zone: str


_NO_ZONE = _ZoneRank(True, 0, math.inf, 0, "")


class _BestOffer(NamedTuple):
    """An offer for a request, and how many of the missing tasks fit on one such machine."""

    rank: _OfferRank
    offer: Offer
    tasks: int


class _RentalPlan:
    """Promises existing capacity to requests one after the other, and rents for what is missing."""

    def __init__(
        self, capacities: list[Capacity], offers: list[Offer], now: float, machines_by_zone: dict[str, int]
    ) -> None:
        self.machines: dict[Offer, int] = {}  # to rent
        self._capacities = capacities
        self._offers = offers
        self._now = now
        self._machines_by_zone = machines_by_zone

    def serve(self, request: TaskRequest) -> None:
        """Find room for a request's tasks, on existing machines as far as these serve it in time."""
        offers = self._allowed_offers(request)
        boot_s = min((offer.type.boot_s for offer in offers), default=0.0)
        ready_in = max(0.0, request.not_before - self._now)
        if ready_in > boot_s:
            return  # it waits for others, and a machine would be up before they are done
        fitting_types = self._fitting_types(request)
        # what becomes free before the tasks must begin at the latest, or before a new machine could be up
        by = max(self._slack_s(request), ready_in, 0.0 if request.is_service else boot_s)
        capacities, missing = self._capacities, self._missing_tasks(request)
        if request.is_gang and not request.spec.spread:
            zone = self._zone_for_gang(request, offers, by, fitting_types)
            capacities = [capacity for capacity in capacities if capacity.zone == zone]
            offers = [offer for offer in offers if offer.zone == zone]
        missing = _promise(request, capacities, by, fitting_types, missing)
        self._rent(request, offers, missing)

    def _allowed_offers(self, request: TaskRequest) -> list[Offer]:
        spec = request.spec
        return [
            offer
            for offer in self._offers
            if offer.type.fits(spec)
            and (spec.spot or not offer.spot)
            and offer.zone in offer.type.zones
            and spec.zone in (None, offer.zone)
            and request.zone_headroom(offer.zone) > 0
            and not (request.avoids_gpus and offer.type.gpus > 0)
        ]

    def _fitting_types(self, request: TaskRequest) -> set[str]:
        """The types of existing machines on which the request's tasks may run."""
        return {
            kind.name
            for kind in {capacity.type for capacity in self._capacities}
            if kind.fits(request.spec) and not (request.avoids_gpus and kind.gpus > 0)
        }

    def _missing_tasks(self, request: TaskRequest) -> int:
        """How many of the waiting tasks must run side by side for the job to make its soft deadline."""
        side_by_side = request.waiting
        if not request.is_service and request.spec.kind != "gang":
            left = request.value.soft_deadline - self._now
            rounds = max(1, math.floor(left / max(WRONG_BY * request.estimate, LEAST_RUN_S)))
            side_by_side = math.ceil(request.waiting / rounds)
        return min(side_by_side, request.headroom, request.waiting)

    def _slack_s(self, request: TaskRequest) -> float:
        """Seconds that a request's tasks may wait for others to end; a service's replicas don't wait."""
        if request.is_service:
            return 0.0
        until_latest_start = request.value.soft_deadline - self._now - WRONG_BY * request.estimate
        return max(0.0, min(SPARE * until_latest_start, request.start_by - self._now))

    def _zone_for_gang(self, request: TaskRequest, offers: list[Offer], by: float, fitting_types: set[str]) -> str:
        """The zone in which a gang is placed: where most of it fits by then and the rest can be rented.

        One controller places a gang, so that its tasks need room in one zone whether the job asks for that or not.
        Guards against a gang that waits for ever beside room in several zones, and one whose first task was counted in
        a zone where the cloud has no more machines. Empty if there is no zone for it.
        """
        occupied = [zone for zone, tasks in request.tasks_by_zone.items() if tasks]
        if occupied:
            return occupied[0]
        room = self._room_by_zone(request, offers, by, fitting_types)
        return min((self._zone_rank(request, zone, room[zone], offers) for zone in room), default=_NO_ZONE).zone

    def _room_by_zone(
        self, request: TaskRequest, offers: list[Offer], by: float, fitting_types: set[str]
    ) -> dict[str, int]:
        """How many of the request's tasks fit by then on existing machines, in each zone where it may run."""
        need = need_of(request.spec)
        zones = {*(capacity.zone for capacity in self._capacities), *(offer.zone for offer in offers)}
        room = {zone: 0 for zone in zones if request.spec.zone in (None, zone)}
        for capacity in self._capacities:
            if capacity.allowed(request.spec, fitting_types):
                room[capacity.zone] += count_fitting_tasks(capacity.room_by(by), need)
        return room

    def _zone_rank(self, request: TaskRequest, zone: str, room: int, offers: list[Offer]) -> _ZoneRank:
        missing = max(0, request.waiting - room)
        price = min((offer.price for offer in offers if offer.zone == zone), default=math.inf)
        impossible = missing > 0 and price == math.inf
        return _ZoneRank(impossible, missing, price, self._machines_by_zone.get(zone, 0), zone)

    def _rent(self, request: TaskRequest, offers: list[Offer], missing: int) -> None:
        """Rent machines until no task is missing or none can be had."""
        need = need_of(request.spec)
        while missing > 0:
            best = self._best_offer(request, offers, need, missing)
            if best is None:
                return
            _, offer, tasks = best
            self.machines[offer] = self.machines.get(offer, 0) + 1
            capacity = Capacity(offer.type, offer.zone, offer.spot, offer.whole, offer.type.boot_s)
            capacity.take(need, tasks)
            self._capacities.append(capacity)
            request.add_to_zone(offer.zone, tasks)
            missing -= tasks

    def _best_offer(self, request: TaskRequest, offers: list[Offer], need: Amount, missing: int) -> _BestOffer | None:
        """The offer that costs least for each task that fits; of equals the first. None if no task fits on any."""
        best: _BestOffer | None = None
        for offer in offers:
            tasks = min(missing, count_fitting_tasks(offer.whole, need), request.zone_headroom(offer.zone))
            if tasks < 1:
                continue
            machines = self._machines_by_zone.get(offer.zone, 0) + self.machines.get(offer, 0)
            rank = _OfferRank(offer.price / tasks, machines, offer.type.boot_s, offer.type.name, offer.zone)
            if best is None or rank < best.rank:
                best = _BestOffer(rank, offer, tasks)
        return best


def _promise(request: TaskRequest, capacities: list[Capacity], by: float, fitting_types: set[str], missing: int) -> int:
    """Promise room on existing machines, by then, to a request's missing tasks; returns how many are left."""
    need = need_of(request.spec)
    for capacity in capacities:
        if missing <= 0:
            break
        if not capacity.allowed(request.spec, fitting_types):
            continue
        tasks = min(missing, count_fitting_tasks(capacity.room_by(by), need), request.zone_headroom(capacity.zone))
        if tasks > 0:
            capacity.take(need, tasks)
            request.add_to_zone(capacity.zone, tasks)
            missing -= tasks
    return missing
