"""The best slot of a waiting task on a machine, and what it is worth."""

from __future__ import annotations

from typing import NamedTuple

from tidebend.scheduling.resources import EPSILON, need_of
from tidebend.scheduling.task_requests import CandidateMachine, TaskRequest


class Slot(NamedTuple):
    """A time on a machine at which a task could run.

    Slots compare field by field, the better one first: by value per resource, and in a tie by the earliest finish,
    then the fewest added idle gaps, the smallest gap and the tightest fit (section 3.2 of the paper).
    """

    negative_rate: float  # value per resource, negated
    finish: float  # seconds on the event's clock, rounded to milliseconds
    added_gaps: int  # change in the number of the machine's idle gaps
    gap_s: float  # length of the idle gap that the task falls into
    leftover: float  # what the machine has left: shares of its CPUs and memory, added up
    machine: str
    start: float


def rate_of(request: TaskRequest, finish: float, now: float) -> float:
    """Value per resource of a slot that ends at `finish`; it never rises with the finish."""
    if request.is_service:
        # every second that a replica isn't up is lost, so that its earliest slot is worth the most
        return request.value.starting_value - (finish - request.estimate - now)
    return request.value.at(finish) / max(request.estimate * request.resource_share, EPSILON)


def best_slot(request: TaskRequest, machine: CandidateMachine, now: float, latest: float) -> Slot | None:
    """The earliest slot on a machine that starts at `latest` or before; None if there is none.

    Whether the request may be placed on the machine at all is for the caller to check (`allowed_on`).
    """
    if request.zone_headroom(machine.zone) < 1:
        return None
    length = machine.fetch_s(request.spec) + request.estimate
    need = need_of(request.spec)
    start = machine.timeline.earliest(max(now, request.not_before), length, need, latest)
    if start is None:
        return None
    finish = start + length
    if finish > machine.reclaimed_at:
        return None
    rate = rate_of(request, finish, now)
    added_gaps, gap_s = machine.timeline.gap(start, finish, need)
    free = machine.timeline.free[0]
    leftover = free[0] / max(machine.type.cpus, EPSILON) + free[2] / max(machine.type.memory_gb, EPSILON)
    # machines that the cloud may take back are left to tasks that tolerate it
    leftover += request.spec.spot and not machine.spot
    return Slot(-rate, round(finish, 3), added_gaps, gap_s, leftover, machine.name, start)
