"""A mapping event of maximum value per resource with place-holders: the order in which requests are placed.

The heuristic is that of Khemka et al., "Resource Management in Heterogeneous Parallel Computing Environments with Soft
and Hard Deadlines": value functions with soft and hard deadlines (section 2), mapping events (section 3.1), ties among
machines (section 3.2), and the selection by value per resource with place-holders (section 3.3). `docs/design.md`
explains the differences from the paper.

Everything here is a pure function of its arguments: no clock, no random numbers, no I/O.
"""

from __future__ import annotations

import math

from tidebend.scheduling.event_state import EventState
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest
from tidebend.scheduling.value_per_resource import ValuePerResourcePass


def map_tasks(
    requests: list[TaskRequest],
    machines: list[CandidateMachine],
    now: float,
    horizon: float,
    unmet_guarantees: dict[str, GuaranteeBalance] | None = None,
) -> list[Placement]:
    """Place waiting tasks on machines in one mapping event, and return the placements.

    `now` is wall-clock time in seconds, as are the times of the machines' timelines; no slot starts later than
    `horizon` seconds after it. `unmet_guarantees` maps teams to the unused part of their guarantees. The function
    updates requests, machines and unmet guarantees by what it places. The result includes place-holders, which reserve
    their slots within this event only and lapse with it.
    """
    return MappingEvent(EventState(requests, machines, now, horizon, unmet_guarantees)).run()


class MappingEvent:
    """Places requests in order: services, then tasks within their team's guarantee, then tasks beyond it (borrowed)."""

    def __init__(self, state: EventState) -> None:
        """Create an event that hasn't placed anything."""
        self._state = state

    def run(self) -> list[Placement]:
        """Place services, then standing reservations, the oldest first, then other requests by value per resource.

        Tasks within their team's guarantee precede borrowed ones; each group is placed in the order above. Otherwise
        the standing reservations of a borrowing team with long-waiting work would take all capacity that becomes free.
        Borrowed tasks of a higher priority compete with the guaranteed ones on equal terms. Otherwise urgent steps of a
        pipeline would wait behind another team's arrays.

        Replicas that will be relocated from a lost zone get place-holders in the same pass as the services. In one
        pass a slot on a machine that has an image goes to the request that would otherwise have to fetch it.
        """
        self._place_by_value([request for request in self._state.requests if request.is_service])
        batch = [request for request in self._state.requests if not request.is_service]
        guaranteed = frozenset(request.job_id for request in batch if self._state.is_within_guarantee(request))
        first = self._guaranteed_or_of_higher_priority(batch, guaranteed)
        self._place_reservations_then_rest(first, guaranteed)
        # Guaranteed requests are considered only once: one that found no slot won't find one in the remaining capacity.
        done = {
            request.job_id
            for request in first
            if request.job_id not in guaranteed or self._state.is_within_guarantee(request)
        }
        rest = [request for request in batch if request.job_id not in done and request.waiting > 0]
        self._place_reservations_then_rest(rest)
        return self._state.placements

    @staticmethod
    def _guaranteed_or_of_higher_priority(batch: list[TaskRequest], guaranteed: frozenset[str]) -> list[TaskRequest]:
        """Return the guaranteed requests, and the borrowed ones with a starting value above the guaranteed minimum."""
        min_value = min(
            (request.value.starting_value for request in batch if request.job_id in guaranteed), default=math.inf
        )
        return [
            request for request in batch if request.job_id in guaranteed or request.value.starting_value > min_value
        ]

    def _place_reservations_then_rest(
        self, requests: list[TaskRequest], guaranteed: frozenset[str] = frozenset()
    ) -> None:
        """Place standing reservations one by one, the oldest first, then the other requests by value per resource."""
        reserved = [(request.reserved_since, request) for request in requests if request.reserved_since is not None]
        for _, request in sorted(reserved, key=lambda pair: (pair[0], pair[1].job_id)):
            self._place_by_value([request], guaranteed)
        self._place_by_value([request for request in requests if request.reserved_since is None], guaranteed)

    def _place_by_value(self, requests: list[TaskRequest], guaranteed: frozenset[str] = frozenset()) -> None:
        if requests and self._state.startable.names:
            ValuePerResourcePass(self._state, requests, guaranteed).run()
