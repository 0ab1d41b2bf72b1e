"""Scaling in: every shard holder releases its machines that are idle, and drains those that are set aside."""

from __future__ import annotations

import math

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.controller.autoscaling.machine_releaser import MAX_NAMES, MachineReleaser
from tidebend.controller.autoscaling.machine_types import MachineTypes
from tidebend.settings import Settings

# what a machine is charged at least, in seconds; the protocol says so
MIN_CHARGE_S = 60.0
# Of the cloud's calls, all shard holders together take this share for releasing idle machines. Idle machines are
# gathered meanwhile: in a large fleet some become idle each second, and a call for each left none for scaling out.
CALLS_SHARE = 0.25
# each shard keeps so many on-demand machines, so that services can start at once
MIN_ON_DEMAND = 1
# a task that is evicted gets so many times the time that its job needs to save its state
EVICTION_GRACE_FACTOR = 1.5


class ScaleIn:
    """Releases machines that aren't worth keeping, with few calls."""

    def __init__(
        self,
        settings: Settings,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        machine_types: MachineTypes,
        releaser: MachineReleaser,
    ) -> None:
        """`releaser` releases the machines that aren't worth keeping."""
        self.interval_s = settings.controller_count / (CALLS_SHARE * settings.cloud_rps)  # between releases, at least
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._machine_types = machine_types
        self._releaser = releaser
        self._next_release_at = -math.inf  # steady time

    def surplus_machines(self, machines: list[Machine], now: float) -> list[Machine]:
        """The idle machines of one shard that aren't worth keeping; records since when machines are idle."""
        self._record_idle(machines, now)
        surplus = []
        on_demand = [machine for machine in machines if not machine.spot and not machine.draining]
        for machine in [machine for machine in machines if self._is_idle(machine)]:
            if machine.draining or machine.reclaim_at is not None:
                surplus.append(machine)
                continue
            if machine.idle_since is None or now - machine.idle_since <= self._retention_s(machine):
                continue
            if not machine.spot and len(on_demand) <= MIN_ON_DEMAND:
                continue
            if machine in on_demand:
                on_demand.remove(machine)
            surplus.append(machine)
        return surplus

    def _record_idle(self, machines: list[Machine], now: float) -> None:
        for machine in machines:
            if self._job_cache.allocations_on(machine.name):
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now

    def _is_idle(self, machine: Machine) -> bool:
        # tasks that have ended may be kept on a machine, see `Machine.can_forget`
        return (
            machine.idle_since is not None
            and not self._job_cache.allocations_on(machine.name)
            and all(task.state == "ended" for task in machine.tasks.values())
        )

    def _retention_s(self, machine: Machine) -> float:
        """For how many seconds an idle machine is worth keeping."""
        machine_type = self._machine_types.by_name.get(machine.type)
        if machine_type is None:
            return MIN_CHARGE_S
        return self._machine_types.replacement_s(machine_type, max(machine.images.values(), default=0.0))

    def release(self, surplus: list[Machine], now: float) -> None:
        """Release surplus machines of all our shards in one call, unless the last call was too short a time ago."""
        if not surplus or now < self._next_release_at:
            return
        with self._machine_registry.lock:
            # from here on no allocation can come: the scheduler passes over machines that are being released
            for machine in surplus:
                machine.releasing = True
        names = [machine.name for machine in surplus if not self._job_cache.allocations_on(machine.name)][:MAX_NAMES]
        if names and self._releaser.release(names):
            self._next_release_at = now + self.interval_s
        with self._machine_registry.lock:
            for machine in surplus:
                machine.releasing = machine.name in self._machine_registry.released_at

    def drain(self, machines: list[Machine]) -> None:
        """Evict the tasks of draining machines, with time to save their state."""
        for machine in machines:
            with self._machine_registry.lock:
                if machine.draining:
                    self._evict_tasks(machine)

    def _evict_tasks(self, machine: Machine) -> None:
        for job, allocation in self._job_cache.allocations_on(machine.name):
            for index in set_bits(allocation.tasks):
                grace_s = EVICTION_GRACE_FACTOR * job.spec.save_s
                machine.stop_requests.setdefault((job.id, index, allocation.attempt), grace_s)
