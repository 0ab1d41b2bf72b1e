"""Machines that the leader knows of: provisioned ones, listed ones, and those whose workers report."""

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

# a machine must be up within this multiple of its type's boot time
BOOT_FACTOR = 3.0
# the list of machines may lag by this multiple of its nominal lag
LAG_FACTOR = 2.0
# a listed machine whose worker reports to no controller is released after this multiple of the workers' lease
UNREPORTED_LEASES = 2.0
# a peer's frame counts as current for this many intervals of the peer exchange
FRESH_EXCHANGE_INTERVALS = 3.0


@dataclass
class TrackedMachine:
    """A machine that was provisioned, is listed, or reports to some controller."""

    type: str
    zone: str
    spot: bool
    since: float  # monotonic time at which the machine was provisioned, or first known


@dataclass(frozen=True)
class FleetView:
    """The fleet as known to all controllers together."""

    reporting: dict[str, TrackedMachine]  # machines that report to some shard holder, by name
    released: set[str]  # names of machines that some controller has released
    monitored_shards: set[str]  # shards whose holder is this controller or a peer with a current frame

    @classmethod
    def collect(
        cls,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        machine_registry: MachineRegistry,
    ) -> FleetView:
        """Return the view from this controller's registry and the peers' latest frames."""
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
            if now - peer.received_at < FRESH_EXCHANGE_INTERVALS * peer_exchange.send_interval_s:
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
    """The machines that are up or booting as far as the leader knows, by name."""

    def __init__(self, settings: Settings, machine_types: MachineTypes, cloud_timeout_s: float) -> None:
        """`cloud_timeout_s`: the maximum seconds after which a provisioning call may still be executed."""
        self._settings = settings
        self._machine_types = machine_types
        self._max_lag_s = LAG_FACTOR * settings.list_lag_s
        self._cloud_timeout_s = cloud_timeout_s
        self._machines: dict[str, TrackedMachine] = {}
        self._unreported_since: dict[str, float] = {}  # name -> monotonic time since which it is up without reports

    def add(self, name: str, machine: TrackedMachine) -> None:
        """Track a machine that was just provisioned."""
        self._machines[name] = machine

    def discard(self, name: str) -> None:
        """Stop tracking a released machine; ignore unknown names."""
        self._machines.pop(name, None)

    def merged_with(self, reporting: dict[str, TrackedMachine]) -> list[tuple[str, TrackedMachine]]:
        """Return the tracked and the reporting machines, sorted by name; reported data takes precedence."""
        return sorted({**self._machines, **reporting}.items())

    def update(self, inventory: MachineInventory, view: FleetView, now: float) -> list[str]:
        """Update from a complete list of machines; return the names of those that are overdue to report."""
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
        # The list says that the machine is up, but no known report came from it. Only its shard's holder can confirm
        # that: without a current frame of the holder, a missing report proves nothing.
        if shard_of(machine.zone) not in view.monitored_shards:
            self._unreported_since.pop(name, None)
            return False
        since = self._unreported_since.setdefault(name, now)
        return now - since > UNREPORTED_LEASES * self._settings.lease_s
