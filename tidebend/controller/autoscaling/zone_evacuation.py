"""Evacuating an isolated zone: its machines are released in an order that loses the least."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable

from tidebend.autoscaling import WRONG_BY
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.cancelled_work import has_cancelled_work
from tidebend.controller.autoscaling.machine_releaser import MAX_NAMES, MachineReleaser
from tidebend.controller.autoscaling.machine_types import MachineTypes
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator
from tidebend.settings import Settings
from tidebend.zone_failover import IsolationWindow, MachineContents, evacuation_order, machines_to_evacuate

# an isolated zone's machines are released in turns that take no more than this share of the calls
CALLS_SHARE = 0.25
# replicas begin to move out this share of the time for which the isolated controller may act ahead of its end
MOVE_AHEAD_SHARE = 0.25
# The last answered report was sent up to this many report intervals before the isolated controller's last answer, and
# a worker's lease counts from there.
REPORT_MARGIN = 1.25


class ZoneEvacuation:
    """Decides when machines of a zone are released whose controller may go on working without us."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        estimates: RunTimeEstimates,
        machine_types: MachineTypes,
        releaser: MachineReleaser,
        check_interval_s: float,
    ) -> None:
        """`check_interval_s`: how often the caller checks its machines."""
        self._settings = settings
        self._coordinator = coordinator
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._estimates = estimates
        self._machine_types = machine_types
        self._releaser = releaser
        self._turn_s = max(check_interval_s, 1.0 / (CALLS_SHARE * settings.cloud_rps))
        self._next_step_at = -math.inf  # steady time

    def isolated_until(self, shard: str) -> float | None:
        """Until when (steady time) an isolated zone's controller may act at the latest; None if none does.

        A grant alone doesn't show it: a controller that was cut off before it learnt of its grant refuses its
        workers' reports, and their tasks end with their leases. Its own last news says which shards it holds.
        """
        isolated = self._coordinator.isolated_holder(shard)
        if isolated is None:
            return None
        if not self._coordinator.is_unreachable_by_all(shard) or not self._coordinator.isolated_holder_may_act(shard):
            return None
        _, since = isolated
        return since + self._settings.staleness_bound_s

    def evacuate(self, unresponsive: dict[str, float], until: float, now: float) -> None:
        """Release what is due of an isolated zone's machines.

        `unresponsive`: machine -> steady time of its last contact; `until`: as `isolated_until` has it. The order and
        the times are those of `zone_failover.machines_to_evacuate`. Raises InvalidMessageError for a response of the
        cloud that can't be read.
        """
        due = [
            name
            for name, since in unresponsive.items()
            if now - since > self._settings.lease_s and has_cancelled_work(self._job_cache, name)
        ]
        if now >= self._next_step_at:
            self._next_step_at = now + self._turn_s
            contents = [self._contents(name, now) for name in unresponsive]
            due += machines_to_evacuate(contents, self._isolation_window(until), now, self._turn_s)
        if due:
            self._releaser.release(list(dict.fromkeys(due))[:MAX_NAMES])

    def _isolation_window(self, until: float) -> IsolationWindow:
        begin = until - MOVE_AHEAD_SHARE * self._settings.staleness_bound_s
        end = until + self._settings.lease_s - REPORT_MARGIN * self._settings.report_s
        return IsolationWindow(begin, until, end)

    def by_priority(self, machines: Iterable[str], now: float) -> list[str]:
        """Machines in the order in which they should be released: first those whose replicas are missed most."""
        contents = sorted((self._contents(name, now) for name in machines), key=evacuation_order)
        return [row.machine for row in contents]

    def _contents(self, name: str, now: float) -> MachineContents:
        """What a machine holds: service replicas, and the steady times at which its batch tasks should end."""
        clock = time.time()
        replicas = 0
        completions = []
        with self._machine_registry.lock:
            machine = self._machine_registry.machines.get(name)
        machine_type = self._machine_types.by_name.get(machine.type) if machine is not None else None
        for job, allocation in self._job_cache.allocations_on(name):
            if job.spec.kind == "service":
                replicas += allocation.tasks.bit_count()
                continue
            fetch_s = machine_type.fetch_s(job.spec.image_gb) if machine_type is not None else 0.0
            run_s = WRONG_BY * self._estimates.corrected(job.spec)
            completions.append(now - (clock - allocation.allocated_at) + fetch_s + run_s)
        return MachineContents(name, replicas, tuple(completions), self._gang_wait_s(name))

    def _gang_wait_s(self, name: str) -> float:
        """How much longer a machine of gangs is waited for, by what others would take to boot and fetch the image."""
        jobs = [job for job, _ in self._job_cache.allocations_on(name)]
        if not jobs or any(job.spec.kind != "gang" for job in jobs):
            return 0.0
        machine_types = self._machine_types.by_name.values()
        return max(
            min(
                (
                    self._machine_types.replacement_s(machine_type, job.spec.image_gb)
                    for machine_type in machine_types
                    if machine_type.fits(job.spec)
                ),
                default=0.0,
            )
            for job in jobs
        )
