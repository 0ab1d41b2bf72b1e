"""Machines that the leader counts on: provisioned ones, listed ones, and those whose workers report."""

from __future__ import annotations

import time
from dataclasses import dataclass

from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.machine_inventory import MachineInventory
from tidebend.controller.autoscaling.machine_types import MachineTypes
from tidebend.controller.workers.peer_machines import machines_of
from tidebend.coordination import Coordinator, PeerExchange, shard_of
from tidebend.protocol import ListedMachine
from tidebend.settings import Settings

# a machine must be up within so many times its type's boot time
BOOT_FACTOR = 3.0
# the list of machines may be late by so many times its nominal lag
LAG_FACTOR = 2.0
# a listed machine whose worker reports to nobody is released after so many of the workers' leases
UNREPORTED_LEASES = 2.0
# a peer's news count as current for so many intervals of the peer exchange
FRESH_EXCHANGES = 3.0


@dataclass
class TrackedMachine:
    """A machine that was provisioned, is listed, or reports to some controller."""

    type: str
    zone: str
    spot: bool
    since: float  # steady time at which it was provisioned, or first known


@dataclass(frozen=True)
class FleetView:
    """What all controllers together know of the fleet."""

    reporting: dict[str, TrackedMachine]  # machines that report to some shard holder, by name
    released: set[str]  # names of machines that some controller has released
    monitored_shards: set[str]  # shards of whose holders we have current news

    @classmethod
    def collect(
        cls,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        machine_registry: MachineRegistry,
    ) -> FleetView:
        """The view from our own registry and the peers' latest news."""
        now = time.monotonic()
        reporting: dict[str, TrackedMachine] = {}
        released = set(machine_registry.released_at)
        monitored_shards = {grant.shard for grant in coordinator.grants()}
        for machine in machine_registry.all():
            if not machine.draining and not machine.releasing:
                reporting[machine.name] = TrackedMachine(
                    machine.type, machine.zone, machine.spot, machine.first_heartbeat
                )
        for peer in peer_exchange.peers.values():
            if now - peer.received_at < FRESH_EXCHANGES * peer_exchange.send_interval_s:
                monitored_shards.update(peer.shards)
            if now - peer.received_at > settings.lease_s:
                continue
            for row in machines_of(peer):
                if row.released:
                    released.add(row.name)
                else:
                    reporting[row.name] = TrackedMachine(row.type, row.zone, bool(row.spot), now)
        return cls(reporting, released, monitored_shards)


class TrackedMachines:
    """The machines that exist or are on their way as far as the leader knows, by name."""

    def __init__(self, settings: Settings, machine_types: MachineTypes, cloud_timeout_s: float) -> None:
        """`cloud_timeout_s`: a call that provisions machines may be executed so many seconds after it was made."""
        self._settings = settings
        self._machine_types = machine_types
        self._max_lag_s = LAG_FACTOR * settings.list_lag_s
        self._cloud_timeout_s = cloud_timeout_s
        self._machines: dict[str, TrackedMachine] = {}
        self._unreported_since: dict[str, float] = {}  # name -> steady time since which it is up and reports to nobody

    def add(self, name: str, machine: TrackedMachine) -> None:
        """Track a machine that was just provisioned."""
        self._machines[name] = machine

    def discard(self, name: str) -> None:
        """Stop tracking a machine that was released; unknown names are ignored."""
        self._machines.pop(name, None)

    def merged_with(self, reporting: dict[str, TrackedMachine]) -> list[tuple[str, TrackedMachine]]:
        """All machines by name in alphabetical order; what reports is taken as reported."""
        return sorted({**self._machines, **reporting}.items())

    def update(self, inventory: MachineInventory, view: FleetView, now: float) -> list[str]:
        """Take over a complete list of machines; returns the machines that should report by now and don't."""
        listed = inventory.machines or {}
        for name, row in listed.items():
            if name not in view.released and row.state != "failed":
                self._machines.setdefault(name, TrackedMachine(row.type, row.zone, row.spot, now - row.age_s))
        self._forget_gone(listed, inventory.as_of, view)
        return [
            name
            for name, machine in list(self._machines.items())
            if self._is_overdue(name, machine, listed.get(name), view, now)
        ]

    def _forget_gone(self, listed: dict[str, ListedMachine], as_of: float, view: FleetView) -> None:
        max_unlisted_s = self._max_lag_s + self._cloud_timeout_s
        for name, machine in list(self._machines.items()):
            is_known = name in listed or name in view.reporting
            if name in view.released or (not is_known and as_of - machine.since > max_unlisted_s):
                del self._machines[name]

    def _is_overdue(
        self, name: str, machine: TrackedMachine, row: ListedMachine | None, view: FleetView, now: float
    ) -> bool:
        if name in view.reporting:
            self._unreported_since.pop(name, None)
            return False
        if row is None or row.state != "running":
            machine_type = self._machine_types.by_name.get(machine.type)
            boot_s = machine_type.boot_s if machine_type else self._settings.lease_s
            return now - machine.since > BOOT_FACTOR * boot_s + self._max_lag_s
        # Up by the list, but it reports to nobody we know of. Only its shard's holder can tell whether that is so:
        # without current news of the holder nothing follows from our not knowing.
        if shard_of(machine.zone) not in view.monitored_shards:
            self._unreported_since.pop(name, None)
            return False
        since = self._unreported_since.setdefault(name, now)
        return now - since > UNREPORTED_LEASES * self._settings.lease_s
