"""One mapping event of maximum value per resource with place-holders: the order in which requests are placed.

The heuristic is that of Khemka et al., "Resource Management in Heterogeneous Parallel Computing Environments with Soft
and Hard Deadlines": value functions with soft and hard deadlines (section 2), mapping events (section 3.1), ties among
machines (section 3.2), and the pick by value per resource with place-holders (section 3.3). `docs/design.md` says what
differs from the paper, and why.

Everything here is a pure function of its arguments: no clock, no random numbers, no I/O.
"""

from __future__ import annotations

import math

from tidebend.scheduling.event_state import EventState
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest
from tidebend.scheduling.value_per_resource import Pick


def map_tasks(
    requests: list[TaskRequest],
    machines: list[CandidateMachine],
    now: float,
    horizon: float,
    unmet_guarantees: dict[str, GuaranteeBalance] | None = None,
) -> list[Placement]:
    """Place waiting tasks on machines, in one mapping event.

    `now` is the time of day in seconds, as are the machines' timelines; no slot starts later than `horizon` seconds
    after it. `unmet_guarantees` are what teams have still to get of their guarantees, by team. Requests, machines and
    unmet guarantees are changed by what is placed. Place-holders are among the result; they guard their slots within
    the event only, and lapse with it.
    """
    return MappingEvent(EventState(requests, machines, now, horizon, unmet_guarantees)).run()


class MappingEvent:
    """The order in which requests are placed: services, then guarantees, then what is borrowed from other teams."""

    def __init__(self, state: EventState) -> None:
        """An event that has placed nothing yet."""
        self._state = state

    def run(self) -> list[Placement]:
        """Place services, then standing reservations, the oldest first, then the pick by value per resource.

        Tasks within their team's guarantee go ahead of borrowed ones, in the same order. Guards against a team that
        borrows and has work waiting for so long that its standing reservations take all the room that comes free.
        Borrowed tasks of a higher priority take part on equal terms. Guards against a pipeline's urgent steps that
        wait behind another team's arrays.

        Room for replicas that will have to leave a lost zone is held along with the services, by place-holders that
        lapse with the event as others do. They go together since the pick then gives a slot on a machine that has the
        image to the request that it saves the fetch.
        """
        self._pick([request for request in self._state.requests if request.is_service])
        batch = [request for request in self._state.requests if not request.is_service]
        guaranteed = frozenset(request.job_id for request in batch if self._state.is_within_guarantee(request))
        first = self._guaranteed_or_of_higher_priority(batch, guaranteed)
        self._reservations_then_pick(first, guaranteed)
        # a guaranteed task that found no slot won't find one in what is left: an event goes over each request once
        done = {
            request.job_id
            for request in first
            if request.job_id not in guaranteed or self._state.is_within_guarantee(request)
        }
        rest = [request for request in batch if request.job_id not in done and request.waiting > 0]
        self._reservations_then_pick(rest)
        return self._state.placements

    @staticmethod
    def _guaranteed_or_of_higher_priority(batch: list[TaskRequest], guaranteed: frozenset[str]) -> list[TaskRequest]:
        """Guaranteed requests, and borrowed ones whose starting value is above the least of the guaranteed."""
        least_value = min(
            (request.value.starting_value for request in batch if request.job_id in guaranteed), default=math.inf
        )
        return [
            request for request in batch if request.job_id in guaranteed or request.value.starting_value > least_value
        ]

    def _reservations_then_pick(self, requests: list[TaskRequest], guaranteed: frozenset[str] = frozenset()) -> None:
        """Place standing reservations one by one, the oldest first; then pick among the others."""
        reserved = [(request.reserved_since, request) for request in requests if request.reserved_since is not None]
        for _, request in sorted(reserved, key=lambda pair: (pair[0], pair[1].job_id)):
            self._pick([request], guaranteed)
        self._pick([request for request in requests if request.reserved_since is None], guaranteed)

    def _pick(self, requests: list[TaskRequest], guaranteed: frozenset[str] = frozenset()) -> None:
        if requests and self._state.startable.names:
            Pick(self._state, requests, guaranteed).run()
