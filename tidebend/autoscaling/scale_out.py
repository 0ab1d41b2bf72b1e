"""Plans which machines to provision for waiting tasks that machines up or booting can't run in time."""

from __future__ import annotations

import math
from typing import NamedTuple

from tidebend.autoscaling.capacity import Capacity, Offer, ProvisionRequest
from tidebend.scheduling import Amount, TaskRequest, count_fitting_tasks, need_of

# Factor on estimated run times: tasks often take half as long again.
ESTIMATE_ERROR_FACTOR = 1.5
# The fraction of the time until tasks' latest start that they may wait for other tasks to end: those take longer than
# estimated as well, and further tasks arrive meanwhile.
MAX_WAIT_FRACTION = 0.5
# lower bound of estimated run times, in seconds, when counting how many tasks can run one after another
MIN_RUN_S = 0.1


def plan_provisioning(
    requests: list[TaskRequest],
    capacities: list[Capacity],
    offers: list[Offer],
    now: float,
    machines_by_zone: dict[str, int],
) -> list[ProvisionRequest]:
    """Return the machines to provision for the requests, cheapest per task, in the order in which they are needed.

    `offers` excludes those for which the cloud lately had no capacity; `now` is wall-clock time in seconds;
    `machines_by_zone`, the number of machines in each zone, spreads provisioning over the zones, fewest first. Modifies
    requests and capacities: assigned tasks are counted in the requests' zones, and provisioned machines are added to
    the capacities.
    """
    plan = _ProvisioningPlan(capacities, offers, now, machines_by_zone)
    for request in sorted(requests, key=_RequestRank.of):
        plan.add_request(request)
    return [ProvisionRequest(offer, machines) for offer, machines in plan.machines.items()]


class _RequestRank(NamedTuple):
    """Sort key of requests: services first, then by highest value, earliest deadline, and name."""

    batch: bool
    negative_value: float
    soft_deadline: float
    job: str

    @classmethod
    def of(cls, request: TaskRequest) -> _RequestRank:
        return cls(not request.is_service, -request.value.starting_value, request.value.soft_deadline, request.job_id)


class _OfferRank(NamedTuple):
    """Sort key of the offers for a request: by price per task, machines in the zone, then boot time."""

    price_per_task: float
    machines_in_zone: int
    boot_s: float
    type: str
    zone: str


class _ZoneRank(NamedTuple):
    """Sort key of the zones for a gang: whether it can run there, how many tasks need new machines, and the price."""

    impossible: bool
    missing: int
    price: float
    machines: int
    zone: str


_NO_ZONE = _ZoneRank(True, 0, math.inf, 0, "")


class _BestOffer(NamedTuple):
    """An offer for a request, and how many of the unassigned tasks fit on one such machine."""

    rank: _OfferRank
    offer: Offer
    tasks: int


class _ProvisioningPlan:
    """Assigns existing capacity to requests one after another, and provisions machines for the remaining tasks."""

    def __init__(
        self, capacities: list[Capacity], offers: list[Offer], now: float, machines_by_zone: dict[str, int]
    ) -> None:
        self.machines: dict[Offer, int] = {}  # number of machines to provision by offer
        self._capacities = capacities
        self._offers = offers
        self._now = now
        self._machines_by_zone = machines_by_zone

    def add_request(self, request: TaskRequest) -> None:
        """Assign a request's tasks to existing machines if these can run them in time, otherwise to new ones."""
        offers = self._allowed_offers(request)
        boot_s = min((offer.type.boot_s for offer in offers), default=0.0)
        ready_in = max(0.0, request.not_before - self._now)
        if ready_in > boot_s:
            return  # it waits for other jobs, and a new machine would be up before they end
        fitting_types = self._fitting_types(request)
        # counts capacity that becomes free before the tasks' latest start, or before a new machine could be up
        within_s = max(self._slack_s(request), ready_in, 0.0 if request.is_service else boot_s)
        capacities, missing = self._capacities, self._missing_tasks(request)
        if request.is_gang and not request.spec.spread:
            zone = self._zone_for_gang(request, offers, within_s, fitting_types)
            capacities = [capacity for capacity in capacities if capacity.zone == zone]
            offers = [offer for offer in offers if offer.zone == zone]
        missing = _assign_existing(request, capacities, within_s, fitting_types, missing)
        self._provision(request, offers, missing)

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
        """Return the types of existing machines on which the request's tasks may run."""
        return {
            machine_type.name
            for machine_type in {capacity.type for capacity in self._capacities}
            if machine_type.fits(request.spec) and not (request.avoids_gpus and machine_type.gpus > 0)
        }

    def _missing_tasks(self, request: TaskRequest) -> int:
        """Return how many of the waiting tasks must run concurrently for the job to meet its soft deadline."""
        concurrent = request.waiting
        if not request.is_service and request.spec.kind != "gang":
            left = request.value.soft_deadline - self._now
            rounds = max(1, math.floor(left / max(ESTIMATE_ERROR_FACTOR * request.estimate, MIN_RUN_S)))
            concurrent = math.ceil(request.waiting / rounds)
        return min(concurrent, request.headroom, request.waiting)

    def _slack_s(self, request: TaskRequest) -> float:
        """Return the seconds that a request's tasks may wait for others to end; 0 for a service's replicas."""
        if request.is_service:
            return 0.0
        until_latest_start = request.value.soft_deadline - self._now - ESTIMATE_ERROR_FACTOR * request.estimate
        return max(0.0, min(MAX_WAIT_FRACTION * until_latest_start, request.start_by - self._now))

    def _zone_for_gang(
        self, request: TaskRequest, offers: list[Offer], within_s: float, fitting_types: set[str]
    ) -> str:
        """Return the zone for a gang: where most of it fits within `within_s` and machines for the rest are offered.

        One controller places a gang, so its tasks must fit into one zone, whether the job asks for that or not.
        Otherwise a gang would wait forever while several zones had capacity for a part of it, or after its first task
        was counted in a zone where the cloud has no more machines. Returns an empty name if no zone is suitable.
        """
        occupied = [zone for zone, tasks in request.tasks_by_zone.items() if tasks]
        if occupied:
            return occupied[0]
        fitting_tasks = self._fitting_tasks_by_zone(request, offers, within_s, fitting_types)
        return min(
            (self._zone_rank(request, zone, fitting_tasks[zone], offers) for zone in fitting_tasks), default=_NO_ZONE
        ).zone

    def _fitting_tasks_by_zone(
        self, request: TaskRequest, offers: list[Offer], within_s: float, fitting_types: set[str]
    ) -> dict[str, int]:
        """Return how many of the request's tasks fit on existing machines within `within_s`, by allowed zone."""
        need = need_of(request.spec)
        zones = {*(capacity.zone for capacity in self._capacities), *(offer.zone for offer in offers)}
        fitting_tasks = {zone: 0 for zone in zones if request.spec.zone in (None, zone)}
        for capacity in self._capacities:
            if capacity.can_run(request.spec, fitting_types):
                fitting_tasks[capacity.zone] += count_fitting_tasks(capacity.free_within(within_s), need)
        return fitting_tasks

    def _zone_rank(self, request: TaskRequest, zone: str, fitting_tasks: int, offers: list[Offer]) -> _ZoneRank:
        missing = max(0, request.waiting - fitting_tasks)
        price = min((offer.price for offer in offers if offer.zone == zone), default=math.inf)
        impossible = missing > 0 and price == math.inf
        return _ZoneRank(impossible, missing, price, self._machines_by_zone.get(zone, 0), zone)

    def _provision(self, request: TaskRequest, offers: list[Offer], missing: int) -> None:
        """Provision machines until all `missing` tasks are assigned or no offer fits."""
        need = need_of(request.spec)
        while missing > 0:
            best = self._best_offer(request, offers, need, missing)
            if best is None:
                return
            _, offer, tasks = best
            self.machines[offer] = self.machines.get(offer, 0) + 1
            capacity = Capacity(offer.type, offer.zone, offer.spot, offer.whole, offer.type.boot_s)
            capacity.assign(need, tasks)
            self._capacities.append(capacity)
            request.add_to_zone(offer.zone, tasks)
            missing -= tasks

    def _best_offer(self, request: TaskRequest, offers: list[Offer], need: Amount, missing: int) -> _BestOffer | None:
        """Return the offer with the lowest price per fitting task, the first among equals; None if no task fits."""
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


def _assign_existing(
    request: TaskRequest, capacities: list[Capacity], within_s: float, fitting_types: set[str], missing: int
) -> int:
    """Assign missing tasks to machines with enough free resources within `within_s`; return how many are left."""
    need = need_of(request.spec)
    for capacity in capacities:
        if missing <= 0:
            break
        if not capacity.can_run(request.spec, fitting_types):
            continue
        tasks = min(
            missing, count_fitting_tasks(capacity.free_within(within_s), need), request.zone_headroom(capacity.zone)
        )
        if tasks > 0:
            capacity.assign(need, tasks)
            request.add_to_zone(capacity.zone, tasks)
            missing -= tasks
    return missing
