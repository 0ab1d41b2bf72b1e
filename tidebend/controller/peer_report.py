"""The frame that a controller sends to each of its peers."""

from __future__ import annotations

import time
from typing import Any

from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.autoscaler import Autoscaler
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.workers.zone_probe import ZoneProbe
from tidebend.coordination import Coordinator, shard_of
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.kvclient import WatchCache
from tidebend.settings import Settings


class PeerReport:
    """Builds the frame from the present state; its format is that of the protocol between controllers."""

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
        """Read from these parts; none of them is changed."""
        self._settings = settings
        self._cache = cache
        self._coordinator = coordinator
        self._schema_version = schema_version
        self._machine_registry = machine_registry
        self._completions = completions
        self._autoscaler = autoscaler
        self._zone_probe = zone_probe

    def build(self) -> dict[str, Any]:
        """Return the frame as it is to be sent now.

        Peers of the schema version before pipelines know no jobs that crash loop and no ages of heartbeats.
        """
        frame = {
            "from": self._settings.name,
            "state_contact": time.time() - self._cache.age_s,
            "machines": self._machine_rows(),
            "held": [grant.shard for grant in self._coordinator.grants()],
            "blocks": self._coordinator.table(),
        }
        if self._schema_version.pipelines:
            frame.update(at_fault=self._completions.crash_looping_jobs(), came=self._zone_probe.report_ages())
        return frame

    def _machine_rows(self) -> list[list[Any]]:
        """Return a row for each machine in our shards: name, type, zone, spot, released, host, port, session."""
        rows: list[list[Any]] = [
            [
                machine.name,
                machine.type,
                machine.zone,
                int(machine.spot),
                0,
                *(machine.address or ("", 0)),
                machine.session,
            ]
            for machine in self._machine_registry.all()
            if not machine.draining and not machine.releasing and self._coordinator.grant(shard_of(machine.zone))
        ]
        rows += [[name, "", "", 0, 1, "", 0, 0] for name in list(self._autoscaler.recently_released)]
        return rows
