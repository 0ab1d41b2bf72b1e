"""The frame that a controller sends to each of its peers."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.autoscaler import Autoscaler
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.workers.zone_probe import ZoneProbe
from tidebend.coordination import Coordinator, PeerFrame, PeerMachine, shard_of
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.kvclient import WatchCache
from tidebend.settings import Settings


class PeerFrameBuilder:
    """Builds the frame from the controller's current state."""

    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        coordinator: Coordinator,
        schema_version: SchemaVersion,
        machine_registry: MachineRegistry,
        completions: CompletionTracker,
        autoscaler: Autoscaler,
        zone_probe: ZoneProbe,
    ) -> None:
        """Take the components that frames are built from; they are only read."""
        self._settings = settings
        self._cache = cache
        self._coordinator = coordinator
        self._schema_version = schema_version
        self._machine_registry = machine_registry
        self._completions = completions
        self._autoscaler = autoscaler
        self._zone_probe = zone_probe

    def build(self) -> dict[str, Any]:
        """Return the frame to be sent now.

        Peers of the schema version before pipelines don't support its fields for crash-looping jobs and report ages.
        """
        frame = PeerFrame(
            sender=self._settings.name,
            state_as_of=time.time() - self._cache.age_s,
            machines=self._machines(),
            held_shards=[grant.shard for grant in self._coordinator.grants()],
            holders=self._coordinator.holders(),
        )
        if self._schema_version.supports_pipelines:
            frame = replace(
                frame,
                crash_looping_jobs=self._completions.crash_looping_jobs(),
                report_ages_s=self._zone_probe.report_ages(),
            )
        return frame.pack()

    def _machines(self) -> list[PeerMachine]:
        """Return the machines in our shards that accept tasks, then the recently released ones."""
        machines = [
            PeerMachine(
                machine.name,
                machine.type,
                machine.zone,
                int(machine.spot),
                0,
                *(machine.address or ("", 0)),
                machine.session,
            )
            for machine in self._machine_registry.all()
            if not machine.draining and not machine.releasing and self._coordinator.grant(shard_of(machine.zone))
        ]
        machines += [PeerMachine.of_released(name) for name in list(self._autoscaler.recently_released)]
        return machines
