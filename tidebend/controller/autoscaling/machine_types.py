"""The machine types that the cloud offers."""

from __future__ import annotations

import math

from tidebend import protocol
from tidebend.controller.autoscaling.cloud_client import CloudClient
from tidebend.protocol import MachineType
from tidebend.settings import Settings

# the leader reads the types again, since their prices change, after this multiple of the workers' lease
REFRESH_LEASES = 10.0


class MachineTypes:
    """The machine types by name, as last read from the cloud; empty until they have been read once."""

    def __init__(self, settings: Settings, cloud: CloudClient) -> None:
        """Create an empty collection; `refresh` reads the types."""
        self.by_name: dict[str, MachineType] = {}
        self._settings = settings
        self._cloud = cloud
        self._read_at = -math.inf  # monotonic time

    def refresh(self, now: float, is_leader: bool) -> None:
        """Read the types if they are missing or, on the leader, out of date.

        Every controller must know the types to decide on submissions; only the leader needs current prices. Raises
        InvalidMessageError for an invalid response.
        """
        is_outdated = now - self._read_at > REFRESH_LEASES * self._settings.lease_s
        if self.by_name and not (is_leader and is_outdated):
            return
        response = self._cloud.call("GET", protocol.PATH_TYPES)
        if response is not None and response.ok:
            self.by_name = protocol.parse_types(response.body)
            self._read_at = now

    def replacement_s(self, machine_type: MachineType, image_gb: float) -> float:
        """Return the seconds for which to keep a machine: a share of a new one's time to boot and fetch the image."""
        return self._settings.knobs.keep_idle * (machine_type.boot_s + machine_type.fetch_s(image_gb))
