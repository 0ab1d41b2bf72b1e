"""The machines on which a waiting task could start now."""

from __future__ import annotations

import math

from tidebend.scheduling.resources import EPSILON, fits, need_of
from tidebend.scheduling.task_requests import CandidateMachine, TaskRequest, allowed_on


class StartableMachines:
    """The names of machines on which a waiting task could start now; within an event names are only removed."""

    def __init__(self, requests: list[TaskRequest], machines: list[CandidateMachine], now: float) -> None:
        """Check all machines. Requests that may not start yet are ignored, except relocations."""
        self._requests = [
            (request, need_of(request.spec)) for request in requests if request.not_before <= now or request.relocating
        ]
        # the smallest CPU need of all requests: a cheap check that rules out most machines, which are full
        self._fewest_cpus = min((need[0] for _, need in self._requests), default=math.inf)
        self.names = {machine.name for machine in machines if self._can_start_any(machine)}

    def recheck(self, machine: CandidateMachine) -> None:
        """Remove a machine after a placement on it if nothing else can start there now."""
        if machine.name in self.names and not self._can_start_any(machine):
            self.names.discard(machine.name)

    def _can_start_any(self, machine: CandidateMachine) -> bool:
        free = machine.timeline.free[0]
        if free[0] + EPSILON < self._fewest_cpus:
            return False
        return any(
            request.waiting > 0 and fits(free, need) and allowed_on(request, machine)
            for request, need in self._requests
        )
