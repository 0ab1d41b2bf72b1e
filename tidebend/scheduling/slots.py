"""The best slot for a waiting task on a machine, and its value per resource."""

from __future__ import annotations

from typing import NamedTuple

from tidebend.scheduling.resources import EPSILON, need_of
from tidebend.scheduling.task_requests import CandidateMachine, TaskRequest


class Slot(NamedTuple):
    """A time interval in which a task could run on a machine.

    Slots compare field by field, and the better one sorts first: by value per resource, then by the earliest finish,
    the fewest added idle gaps, the smallest gap, and the tightest fit (section 3.2 of the paper).
    """

    negative_value_per_resource: float
    finish: float  # seconds on the event's clock, rounded to milliseconds
    added_gaps: int  # change in the number of the machine's idle gaps
    gap_s: float  # duration of the idle gap in which the task runs
    leftover: float  # sum of the machine's free shares of CPUs and memory, see `best_slot`
    machine: str
    start: float


def value_per_resource_at(request: TaskRequest, finish: float, now: float) -> float:
    """Return the value per resource of a slot that ends at `finish`; a later finish never increases it."""
    if request.is_service:
        # every second without the replica is lost, so its earliest slot has the highest value
        return request.value.starting_value - (finish - request.estimate - now)
    return request.value.at(finish) / max(request.estimate * request.resource_share, EPSILON)


def best_slot(request: TaskRequest, machine: CandidateMachine, now: float, latest_start: float) -> Slot | None:
    """Return the earliest slot on a machine that starts at `latest_start` or before; None if there is none.

    The caller checks whether the request may be placed on the machine at all (`allowed_on`).
    """
    if request.zone_headroom(machine.zone) < 1:
        return None
    duration = machine.fetch_s(request.spec) + request.estimate
    need = need_of(request.spec)
    start = machine.timeline.earliest_start(max(now, request.not_before), duration, need, latest_start)
    if start is None:
        return None
    finish = start + duration
    if finish > machine.reclaimed_at:
        return None
    value_per_resource = value_per_resource_at(request, finish, now)
    added_gaps, gap_s = machine.timeline.idle_gap(start, finish, need)
    free = machine.timeline.free[0]
    leftover = free[0] / max(machine.type.cpus, EPSILON) + free[2] / max(machine.type.memory_gb, EPSILON)
    # prefer spot machines for tasks that tolerate them
    leftover += request.spec.spot and not machine.spot
    return Slot(-value_per_resource, round(finish, 3), added_gaps, gap_s, leftover, machine.name, start)
