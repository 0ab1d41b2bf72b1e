"""The machines of the shards that this controller holds, and recently released machines."""

from __future__ import annotations

import itertools
import threading
import time
from collections import OrderedDict

from tidebend.cluster_state.machine import Machine
from tidebend.protocol import Report


class MachineRegistry:
    """Machines by name, from heartbeats. Names of released machines are kept to ignore their late heartbeats.

    `lock` guards `machines` including the state of each machine, and `released_at`.
    """

    def __init__(self) -> None:
        """Create an empty registry: machines are added by their heartbeats."""
        self.lock = threading.RLock()
        self.machines: dict[str, Machine] = {}
        self.released_at: OrderedDict[str, float] = OrderedDict()  # name -> monotonic time, oldest first

    def record_heartbeat(self, report: Report, direct: bool = False, token: int = 0) -> Machine | None:
        """Apply a heartbeat, or with `direct` an answer to direct commands, and return its machine.

        `token` is the fencing token with which the heartbeat will be answered, 0 if there is none. Returns None for a
        released machine and for an outdated heartbeat.
        """
        now = time.monotonic()
        with self.lock:
            if report.machine in self.released_at:
                return None
            machine = self.machines.get(report.machine)
            if machine is None:
                machine = Machine(
                    report.machine, report.type, report.zone, report.spot, first_heartbeat=now, last_heartbeat=now
                )
                self.machines[report.machine] = machine
            if not machine.apply_heartbeat(report, now, direct):
                return None
            machine.answered_token = max(machine.answered_token, token)
            return machine

    def mark_released(self, names: list[str]) -> None:
        """Remove machines that were returned to the cloud provider; their heartbeats are ignored from now on."""
        with self.lock:
            for name in names:
                self.machines.pop(name, None)
                self.released_at[name] = time.monotonic()
                self.released_at.move_to_end(name)

    def forget_released(self, before: float, needed: set[str]) -> None:
        """Forget machines that were released before a monotonic time, except those in `needed`.

        Names are limited by age and not by count: thousands of machines may be released at once, and a late heartbeat
        of a forgotten one would add it again.
        """
        with self.lock:
            old = list(itertools.takewhile(lambda row: row[1] < before, self.released_at.items()))
            for name, _ in old:
                if name not in needed:
                    del self.released_at[name]

    def forget(self, names: list[str]) -> None:
        """Remove machines; a later heartbeat adds them again."""
        with self.lock:
            for name in names:
                self.machines.pop(name, None)

    def all(self) -> list[Machine]:
        """Return a snapshot of the machines."""
        with self.lock:
            return list(self.machines.values())
