"""The state of one mapping event: waiting requests, candidate machines, and the placements made so far."""

from __future__ import annotations

from tidebend.scheduling.startable_machines import StartableMachines
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest


class EventState:
    """State that the passes of a mapping event share and modify."""

    def __init__(
        self,
        requests: list[TaskRequest],
        machines: list[CandidateMachine],
        now: float,
        horizon: float,
        unmet_guarantees: dict[str, GuaranteeBalance] | None = None,
    ) -> None:
        """For the arguments see `map_tasks`. Requests of teams that have reached their limit are skipped."""
        self.requests = [request for request in requests if request.waiting > 0 and request.headroom > 0]
        self.machines = machines
        self.now = now
        self.latest_start = now + horizon
        self.unmet_guarantees = unmet_guarantees or {}
        self.placements: list[Placement] = []
        # The event ends once nothing can start on any machine: further place-holders would only lapse with the event.
        self.startable = StartableMachines(self.requests, machines, now)
        self.startable_indexes = {
            index for index, machine in enumerate(machines) if machine.name in self.startable.names
        }

    def placeable_tasks(self, request: TaskRequest, within_guarantee: bool) -> int:
        """Return how many tasks of a request may be placed now, in total or only within its team's guarantee."""
        max_tasks = min(request.waiting, request.headroom)
        if within_guarantee:
            max_tasks = min(max_tasks, self.unmet_guarantees[request.spec.team].count_within(request.spec))
        return max_tasks

    def count_toward_guarantee(self, request: TaskRequest, tasks: int) -> None:
        """Deduct placed tasks from the unmet guarantee of their team, if it has one."""
        balance = self.unmet_guarantees.get(request.spec.team)
        if balance is not None:
            balance.deduct(request.spec, tasks)

    def is_within_guarantee(self, request: TaskRequest) -> bool:
        """Return whether one task of a request, or a whole gang, fits within its team's unmet guarantee."""
        if request.spec.team not in self.unmet_guarantees:
            return False
        min_tasks = request.waiting if request.is_gang else 1
        return self.placeable_tasks(request, within_guarantee=True) >= min_tasks
