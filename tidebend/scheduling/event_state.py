"""The state of one mapping event: what is waiting, on which machines, and what has been placed so far."""

from __future__ import annotations

from tidebend.scheduling.startable_machines import StartableMachines
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest


class EventState:
    """What the passes of a mapping event share and change."""

    def __init__(
        self,
        requests: list[TaskRequest],
        machines: list[CandidateMachine],
        now: float,
        horizon: float,
        unmet_guarantees: dict[str, GuaranteeBalance] | None = None,
    ) -> None:
        """See `map_tasks`. Requests of teams that are at their limit are skipped."""
        self.requests = [request for request in requests if request.waiting > 0 and request.headroom > 0]
        self.machines = machines
        self.now = now
        self.latest_start = now + horizon
        self.unmet_guarantees = unmet_guarantees or {}
        self.placements: list[Placement] = []
        # once nothing can start anywhere the event is over: what it would still hold lapses with it
        self.startable = StartableMachines(self.requests, machines, now)
        self.open_machines = {index for index, machine in enumerate(machines) if machine.name in self.startable.names}

    def placeable_tasks(self, request: TaskRequest, within_guarantee: bool) -> int:
        """How many tasks of a request may be placed now, all of them or those within its team's guarantee."""
        most = min(request.waiting, request.headroom)
        if within_guarantee:
            most = min(most, self.unmet_guarantees[request.spec.team].tasks(request.spec))
        return most

    def count_toward_guarantee(self, request: TaskRequest, tasks: int) -> None:
        """Deduct placed tasks from what their team has still to get of its guarantee, if it has one."""
        balance = self.unmet_guarantees.get(request.spec.team)
        if balance is not None:
            balance.take(request.spec, tasks)

    def is_within_guarantee(self, request: TaskRequest) -> bool:
        """Whether some of its tasks, or all of a gang's, are within what its team has still to get."""
        if request.spec.team not in self.unmet_guarantees:
            return False
        least = request.waiting if request.is_gang else 1
        return self.placeable_tasks(request, within_guarantee=True) >= least
