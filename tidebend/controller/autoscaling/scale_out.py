"""Scaling out: the leader provisions machines for waiting work, and releases those that failed to come up."""

from __future__ import annotations

import time

from tidebend.autoscaling import Capacity, Offer, plan_provisioning
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.autoscaling.leadership import Leadership
from tidebend.controller.autoscaling.machine_inventory import MachineInventory
from tidebend.controller.autoscaling.machine_releaser import MAX_MACHINES_PER_RELEASE, MachineReleaser
from tidebend.controller.autoscaling.machine_types import MachineTypes
from tidebend.controller.autoscaling.provisioner import Provisioner
from tidebend.controller.autoscaling.tracked_machines import FleetView, TrackedMachine, TrackedMachines
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.coordination import Coordinator, shard_of
from tidebend.protocol import MachineType
from tidebend.scheduling import Amount, TaskRequest, need_of
from tidebend.settings import Settings

# seconds in which a new leader provisions nothing, so that it reads the machine list and its peers' frames first
NEW_LEADER_DELAY_S = 1.5
# maximum number of machines in one request, defined by the protocol
MAX_MACHINES_PER_REQUEST = 50
# share of running tasks that are assumed to have fetched their image first
FETCH_SHARE = 0.5
# expected remaining run time of a task that overruns its estimate, as a share of the estimate
OVERRUN_SHARE = 0.3
# expected seconds until a machine is up that takes longer to boot than its type should
MIN_READY_S = 1.0


class ScaleOut:
    """Scaling out on the leader: provisions machines for waiting work that machines up or booting can't run in time."""

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
        """`scheduling_loop` provides the pending jobs and the estimates of run times."""
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
        """Release unusable machines, and provision missing ones; `inventory` holds a complete list.

        Raises InvalidMessageError for an invalid response of the cloud.
        """
        now, clock = time.monotonic(), time.time()
        overdue = self._release_unusable(inventory, view, now)
        if now - leadership.since < NEW_LEADER_DELAY_S:
            return
        # machines in a zone that no controller can reach can't be used, neither new nor existing ones
        unreachable = {zone for zone in self._settings.zones if self._coordinator.is_unreachable_by_all(shard_of(zone))}
        excluded = view.released.union(overdue)
        capacities = self._capacities(view.reporting, excluded, unreachable, now, clock)
        requests = self._requests(now, clock)
        offers = self._offers(unreachable, now)
        machines_by_zone: dict[str, int] = {}
        for capacity in capacities:
            machines_by_zone[capacity.zone] = machines_by_zone.get(capacity.zone, 0) + 1
        capacities.sort(key=lambda capacity: (capacity.ready_in, capacity.spot))
        needed = plan_provisioning(requests, capacities, offers, now=clock, machines_by_zone=machines_by_zone)
        # Calls are few, and each one that finds no capacity uses up the budget: offers with the fewest shortages go
        # first, so that offers without capacity don't delay the others.
        for provision_request in sorted(
            needed, key=lambda provision_request: self.provisioner.backoff.shortages(provision_request.offer)
        ):
            self.provisioner.provision(
                leadership.term, provision_request.offer, min(MAX_MACHINES_PER_REQUEST, provision_request.count)
            )

    def _release_unusable(self, inventory: MachineInventory, view: FleetView, now: float) -> list[str]:
        """Release machines that failed to boot or are overdue to report; return the overdue ones."""
        listed = inventory.machines or {}
        failed = [name for name, row in listed.items() if row.state == "failed" and name not in view.released]
        overdue = self._tracked_machines.update(inventory, view, now)
        if failed or overdue:
            self._releaser.release((failed + overdue)[:MAX_MACHINES_PER_RELEASE])
        return overdue

    def _capacities(
        self,
        reporting: dict[str, TrackedMachine],
        excluded: set[str],
        unreachable_zones: set[str],
        now: float,
        clock: float,
    ) -> list[Capacity]:
        """Return the machines that are up or booting, with their free resources now and later."""
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
        freed_later = []
        for job, allocation in self._job_cache.allocations_on(name):
            amount = _times(need_of(job.spec), allocation.tasks.bit_count())
            free = _minus(free, amount)
            if job.spec.kind != "service":
                freed_later.append((self._remaining_s(job, allocation, machine_type, clock), amount))
        return Capacity(machine_type, machine.zone, machine.spot, free, ready_in, freed_later)

    def _remaining_s(self, job: Job, allocation: Allocation, machine_type: MachineType, clock: float) -> float:
        """Return the seconds after which the tasks of an allocation are expected to end."""
        estimate = self._estimates.corrected(job.spec)
        remaining_s = (
            estimate + FETCH_SHARE * machine_type.fetch_s(job.spec.image_gb) - (clock - allocation.allocated_at)
        )
        return max(remaining_s, OVERRUN_SHARE * estimate)

    def _requests(self, now: float, clock: float) -> list[TaskRequest]:
        """Return the requests of waiting jobs, and of those that become ready by the time a new machine could be up."""
        requests = [
            request
            for job in self._job_cache.live_jobs()
            if (request := self._pending_jobs.request(job, now, clock)) is not None
        ]
        return requests + self._pending_jobs.requests_soon_ready(now, clock)

    def _offers(self, unreachable_zones: set[str], now: float) -> list[Offer]:
        """Return the offers outside unreachable zones, without those in backoff for lack of capacity."""
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
