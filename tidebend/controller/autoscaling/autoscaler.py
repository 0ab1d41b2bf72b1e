"""The autoscaler: its components, and the two loops that run them."""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.cancelled_work import CancelledWorkReaper
from tidebend.controller.autoscaling.cloud_client import CloudClient
from tidebend.controller.autoscaling.leadership import Leadership
from tidebend.controller.autoscaling.machine_inventory import MachineInventory
from tidebend.controller.autoscaling.machine_releaser import MachineReleaser
from tidebend.controller.autoscaling.machine_types import MachineTypes
from tidebend.controller.autoscaling.provisioner import OfferBackoff, Provisioner
from tidebend.controller.autoscaling.scale_in import ScaleIn
from tidebend.controller.autoscaling.scale_out import ScaleOut
from tidebend.controller.autoscaling.tracked_machines import FleetView, TrackedMachines
from tidebend.controller.autoscaling.unresponsive_machines import REDIRECT_S, UnresponsiveMachines
from tidebend.controller.autoscaling.zone_evacuation import ZoneEvacuation
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.controller.workers.peer_machines import released_by
from tidebend.controller.workers.zone_probe import ZoneProbe
from tidebend.coordination import Coordinator, PeerExchange, ShardGrant, shard_of
from tidebend.protocol import InvalidMessageError, MachineType
from tidebend.settings import Settings
from tidebend.threads import start_daemon
from tidebend.transport import HttpClient

log = logging.getLogger("autoscaling")

# maximum seconds between checks of the machines; with jitter, so that controllers don't check at the same time
MAX_CHECK_INTERVAL_S = 1.0
CHECK_JITTER = (0.8, 1.2)
# minimum seconds between scaling steps, and the minimum as a multiple of the time per call under the call budget
MIN_SCALE_INTERVAL_S = 1.0
SCALE_INTERVAL_CALLS = 1.5
SCALE_JITTER = (0.9, 1.1)
# seconds without checks after an unexpected error
ERROR_PAUSE_S = 1.0


class Autoscaler:
    """Provisions and releases machines.

    Every shard holder checks its machines (`check_machines_once`) and releases those that are unresponsive or idle. The
    leader alone lists and provisions machines (`scale_once`).
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        scheduling_loop: SchedulingLoop,
        zone_probe: ZoneProbe,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        """`connect` creates the HTTP client of the cloud's API. Starts no thread."""
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._scheduling_loop = scheduling_loop
        self._zone_probe = zone_probe
        self._check_interval_s = min(MAX_CHECK_INTERVAL_S, settings.report_s / 2.0)
        self._checked_at = -math.inf  # monotonic time of the last check of the machines
        self._leadership: Leadership | None = None
        cloud = CloudClient(settings, connect)
        self.inventory = MachineInventory(cloud.call, settings.list_lag_s, settings.cloud_rps)
        self.machine_types = MachineTypes(settings, cloud)
        tracked = TrackedMachines(settings, self.machine_types, cloud.timeout_s)
        self.releaser = MachineReleaser(
            settings, cloud, tracked, machine_registry, job_cache, job_writer, scheduling_loop.wake
        )
        self.scale_out = self._create_scale_out(cloud, tracked)
        self.scale_in = ScaleIn(settings, job_cache, machine_registry, self.machine_types, self.releaser)
        self.evacuation = self._create_evacuation()
        self.unresponsive_machines = self._create_unresponsive_machines()
        self.cancelled_work = CancelledWorkReaper(
            settings, coordinator, peer_exchange, job_cache, machine_registry, zone_probe, self.releaser
        )

    def _create_scale_out(self, cloud: CloudClient, tracked_machines: TrackedMachines) -> ScaleOut:
        backoff = OfferBackoff(self._settings.lease_s)
        return ScaleOut(
            self._settings,
            self._coordinator,
            self._job_cache,
            self._scheduling_loop,
            self.machine_types,
            tracked_machines,
            self.releaser,
            Provisioner(cloud, tracked_machines, backoff),
        )

    def _create_evacuation(self) -> ZoneEvacuation:
        return ZoneEvacuation(
            self._settings,
            self._coordinator,
            self._job_cache,
            self._machine_registry,
            self._scheduling_loop.estimates,
            self.machine_types,
            self.releaser,
            self._check_interval_s,
        )

    def _create_unresponsive_machines(self) -> UnresponsiveMachines:
        return UnresponsiveMachines(
            self._settings,
            self._coordinator,
            self._peer_exchange,
            self._job_cache,
            self.releaser,
            self.evacuation,
            self._scheduling_loop.free_capacity.suspect_after_s,
            self._scheduling_loop.send,
        )

    @property
    def types(self) -> dict[str, MachineType]:
        """The machine types by name; empty until they have been read once."""
        return self.machine_types.by_name

    @property
    def recently_released(self) -> dict[str, float]:
        """Released machines to report to peers: name -> monotonic time of the release."""
        return self.releaser.recently_released

    def start(self) -> None:
        """Start the threads of both loops."""
        start_daemon("machine-checks", self._run_checks)
        start_daemon("scaling", self._run_scaling)

    def _run_checks(self) -> None:
        while True:
            time.sleep(self._check_interval_s * random.uniform(*CHECK_JITTER))
            try:
                self.check_machines_once()
            except Exception:
                log.exception("unexpected error while checking machines")
                time.sleep(ERROR_PAUSE_S)

    def check_machines_once(self) -> None:
        """Check the machines of this controller's shards once; to be called about every `_check_interval_s`.

        Raises InvalidMessageError for an invalid response of the cloud.
        """
        now = time.monotonic()
        self.releaser.retry_clearing(now)
        released_by_peers = released_by(self._peer_exchange.peers)
        grants = self._forget_foreign_machines(released_by_peers, now)
        if now - self._checked_at > self._check_interval_s + REDIRECT_S:
            self.unresponsive_machines.reset_diversions()
        self._checked_at = now
        self._zone_probe.check_zones()
        self.cancelled_work.record_cancelled(now)
        self.cancelled_work.release_unresponsive(released_by_peers, now)
        if not self._coordinator.lease_valid:
            return
        surplus: list[Machine] = []
        for grant in grants.values():
            machines = [machine for machine in self._machine_registry.all() if shard_of(machine.zone) == grant.shard]
            self.unresponsive_machines.check(grant, machines, now)
            surplus += self.scale_in.surplus_machines(machines, now)
            self.scale_in.drain(machines)
        self.scale_in.release(surplus, now)

    def _forget_foreign_machines(self, released_by_peers: set[str], now: float) -> dict[str, ShardGrant]:
        """Forget machines that other controllers have released or hold; return this controller's grants by shard.

        Otherwise a controller that was cut off would consider machines unresponsive that others released meanwhile,
        and the zone unreachable if it knew no other machines there.
        """
        registry = self._machine_registry
        registry.forget([machine.name for machine in registry.all() if machine.name in released_by_peers])
        grants = {grant.shard: grant for grant in self._coordinator.grants()}
        registry.forget(
            [
                machine.name
                for machine in registry.all()
                if shard_of(machine.zone) not in grants and now - machine.last_heartbeat > self._settings.lease_s
            ]
        )
        return grants

    def _run_scaling(self) -> None:
        interval_s = max(MIN_SCALE_INTERVAL_S, SCALE_INTERVAL_CALLS / self._settings.cloud_rps)
        while True:
            try:
                self.scale_once()  # first step without a pause: nothing can be decided without the machine types
            except InvalidMessageError as error:
                log.error("cloud: invalid response: %s", error)
            except Exception:
                log.exception("unexpected error while scaling")
            time.sleep(interval_s * random.uniform(*SCALE_JITTER))

    def scale_once(self) -> None:
        """Read the machine types if they are due; on the leader, also read the machine list and provision machines.

        Raises InvalidMessageError for an invalid response of the cloud.
        """
        now = time.monotonic()
        term = self._coordinator.term
        self.machine_types.refresh(now, is_leader=bool(term))
        if term is None or not self.machine_types.by_name:
            self._leadership = None
            self.inventory.reset()
            return
        if self._leadership is None or self._leadership.term != term:
            self._leadership = Leadership(term, now)
        try:
            self.inventory.read(now)
        except InvalidMessageError:
            self.inventory.reset()
            raise
        if self.inventory.machines is not None:
            view = FleetView.collect(self._settings, self._coordinator, self._peer_exchange, self._machine_registry)
            self.scale_out.run(self._leadership, self.inventory, view)
