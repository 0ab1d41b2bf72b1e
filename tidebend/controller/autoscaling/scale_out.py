"""Scaling out: the leader provisions machines for the waiting work, and releases those that never came up."""

from __future__ import annotations

import time

from tidebend.autoscaling import Capacity, Offer, plan_provisioning
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.autoscaling.leadership import Leadership
from tidebend.controller.autoscaling.machine_inventory import MachineInventory
from tidebend.controller.autoscaling.machine_releaser import MAX_NAMES, MachineReleaser
from tidebend.controller.autoscaling.machine_types import MachineTypes
from tidebend.controller.autoscaling.provisioner import Provisioner
from tidebend.controller.autoscaling.tracked_machines import FleetView, TrackedMachine, TrackedMachines
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.coordination import Coordinator, shard_of
from tidebend.protocol import MachineType
from tidebend.scheduling import Amount, TaskRequest, need_of
from tidebend.settings import Settings

# a new leader provisions nothing for so many seconds, until it has read the list and its peers' frames
SETTLE_S = 1.5
# machines in one request; the most that the protocol allows
MAX_PER_REQUEST = 50
# of running tasks, half are taken to have had to fetch their image first
FETCH_SHARE = 0.5
# a task that overruns its estimate is expected to go on for this share of it
OVERRUN_SHARE = 0.3
# a machine that boots for longer than its type should is expected within so many seconds
MIN_READY_S = 1.0


class ScaleOut:
    """One step of the leader: compare the waiting work with the machines at hand and on their way, and provision."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        scheduling_loop: SchedulingLoop,
        machine_types: MachineTypes,
        tracked_machines: TrackedMachines,
        releaser: MachineReleaser,
        provisioner: Provisioner,
    ) -> None:
        """`scheduling_loop` tells what work waits and for how long tasks run."""
        self.provisioner = provisioner
        self._settings = settings
        self._coordinator = coordinator
        self._job_cache = job_cache
        self._estimates = scheduling_loop.estimates
        self._pending_jobs = scheduling_loop.pending_jobs
        self._machine_types = machine_types
        self._tracked_machines = tracked_machines
        self._releaser = releaser

    def run(self, leadership: Leadership, inventory: MachineInventory, view: FleetView) -> None:
        """Release machines that can't be used, and provision what is missing; `inventory` holds a complete list.

        Raises InvalidMessageError for a response of the cloud that can't be read.
        """
        now, clock = time.monotonic(), time.time()
        overdue = self._release_unusable(inventory, view, now)
        if now - leadership.since < SETTLE_S:
            return
        # what is provisioned in a zone that nobody can reach can't be used, nor what is there already
        unreachable = {zone for zone in self._settings.zones if self._coordinator.is_unreachable_by_all(shard_of(zone))}
        excluded = view.released.union(overdue)
        capacities = self._capacities(view.reporting, excluded, unreachable, now, clock)
        requests = self._requests(now, clock)
        offers = self._offers(unreachable, now)
        per_zone: dict[str, int] = {}
        for capacity in capacities:
            per_zone[capacity.zone] = per_zone.get(capacity.zone, 0) + 1
        capacities.sort(key=lambda capacity: (capacity.ready_in, capacity.spot))
        needed = plan_provisioning(requests, capacities, offers, now=clock, machines_by_zone=per_zone)
        # Few calls are available, and each of them that finds no capacity is one less: what failed least goes first,
        # so that offers without capacity don't delay those that have some.
        for rental in sorted(needed, key=lambda rental: self.provisioner.backoff.shortages(rental.offer)):
            self.provisioner.provision(leadership.term, rental.offer, min(MAX_PER_REQUEST, rental.count))

    def _release_unusable(self, inventory: MachineInventory, view: FleetView, now: float) -> list[str]:
        """Release machines that failed to boot, or that should report by now; returns the latter."""
        listed = inventory.machines or {}
        failed = [name for name, row in listed.items() if row.state == "failed" and name not in view.released]
        overdue = self._tracked_machines.update(inventory, view, now)
        if failed or overdue:
            self._releaser.release((failed + overdue)[:MAX_NAMES])
        return overdue

    def _capacities(
        self,
        reporting: dict[str, TrackedMachine],
        excluded: set[str],
        unreachable_zones: set[str],
        now: float,
        clock: float,
    ) -> list[Capacity]:
        """The machines at hand and on their way, with what is free on them and when the rest becomes free."""
        capacities = []
        for name, machine in self._tracked_machines.merged_with(reporting):
            machine_type = self._machine_types.by_name.get(machine.type)
            if machine_type is None or name in excluded or machine.zone in unreachable_zones:
                continue
            ready_in = 0.0
            if name not in reporting:
                ready_in = max(MIN_READY_S, machine_type.boot_s - (now - machine.since))
            capacities.append(self._capacity(name, machine, machine_type, ready_in, clock))
        return capacities

    def _capacity(
        self, name: str, machine: TrackedMachine, machine_type: MachineType, ready_in: float, clock: float
    ) -> Capacity:
        free: Amount = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        returns = []
        for job, allocation in self._job_cache.allocations_on(name):
            amount = _times(need_of(job.spec), allocation.tasks.bit_count())
            free = _minus(free, amount)
            if job.spec.kind != "service":
                returns.append((self._remaining_s(job, allocation, machine_type, clock), amount))
        return Capacity(machine_type, machine.zone, machine.spot, free, ready_in, returns)

    def _remaining_s(self, job: Job, allocation: Allocation, machine_type: MachineType, clock: float) -> float:
        """In how many seconds the tasks of an allocation are expected to end."""
        estimate = self._estimates.corrected(job.spec)
        remaining_s = (
            estimate + FETCH_SHARE * machine_type.fetch_s(job.spec.image_gb) - (clock - allocation.allocated_at)
        )
        return max(remaining_s, OVERRUN_SHARE * estimate)

    def _requests(self, now: float, clock: float) -> list[TaskRequest]:
        """The waiting work, and what will be ready by the time a machine could be up."""
        requests = [
            request
            for job in self._job_cache.live_jobs()
            if (request := self._pending_jobs.request(job, now, clock)) is not None
        ]
        return requests + self._pending_jobs.requests_soon_ready(now, clock)

    def _offers(self, unreachable_zones: set[str], now: float) -> list[Offer]:
        """What may be provisioned: nothing in unreachable zones, nor what the cloud lately had too few of."""
        return [
            offer
            for machine_type in self._machine_types.by_name.values()
            for zone in machine_type.zones
            if zone not in unreachable_zones
            for spot in (True, False)
            if self.provisioner.backoff.is_available(offer := Offer(machine_type, zone, spot), now)
        ]


def _times(amount: Amount, count: int) -> Amount:
    cpus, gpus, memory_gb = amount
    return cpus * count, gpus * count, memory_gb * count


def _minus(amount: Amount, other: Amount) -> Amount:
    return amount[0] - other[0], amount[1] - other[1], amount[2] - other[2]
