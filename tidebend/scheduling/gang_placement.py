"""Placement of a gang: all its tasks start at the same time."""

from __future__ import annotations

import math
from typing import NamedTuple

from tidebend.scheduling.resources import Amount, multiply, need_of
from tidebend.scheduling.task_requests import CandidateMachine, Placement, TaskRequest, allowed_on


class _GangShare(NamedTuple):
    """The tasks of a gang that are placed on one machine."""

    machine: CandidateMachine
    tasks: int
    duration: float  # seconds from the gang's start to the end of these tasks, including the image fetch


def place_gang(
    request: TaskRequest, machines: list[CandidateMachine], now: float, latest_start: float
) -> list[Placement] | None:
    """Place all waiting tasks of a gang at the earliest common start up to `latest_start`, and reserve their capacity.

    Returns None and reserves nothing if there is no time at which the whole gang fits.
    """
    usable = [machine for machine in machines if allowed_on(request, machine) and machine.reclaimed_at == math.inf]
    starts = _possible_starts(usable, now, latest_start)
    usable.sort(key=lambda machine: (machine.fetch_s(request.spec), machine.name))
    groups = _groups_of_machines(request, usable)
    need = need_of(request.spec)
    for start in starts:
        for group in groups:
            shares = _fit_gang(request, group, start, need)
            if shares is not None:
                return _reserve(request, shares, start, now)
    return None


def _possible_starts(machines: list[CandidateMachine], now: float, latest_start: float) -> list[float]:
    """Return the times at which a start is tried: now and whenever the free capacity of a machine changes, in order."""
    changes = {max(now, time) for machine in machines for time in machine.timeline.times if time <= latest_start}
    return sorted(changes | {now})


def _groups_of_machines(request: TaskRequest, machines: list[CandidateMachine]) -> list[list[CandidateMachine]]:
    """Return the sets of machines on which the whole gang may run: one per zone if it needs a single zone, else all."""
    if not request.spec.one_zone:
        return [machines]
    return [
        [machine for machine in machines if machine.zone == zone]
        for zone in sorted({machine.zone for machine in machines})
        if request.zone_headroom(zone) > 0
    ]


def _fit_gang(
    request: TaskRequest, machines: list[CandidateMachine], start: float, need: Amount
) -> list[_GangShare] | None:
    """Return shares on these machines that add up to the whole gang; None if it doesn't fit."""
    shares: list[_GangShare] = []
    unplaced = request.waiting
    tasks_by_zone = dict(request.tasks_by_zone)
    max_per_zone = (request.spec.tasks + 1) // 2
    for machine in machines:
        duration = machine.fetch_s(request.spec) + request.estimate
        allowed = unplaced
        if request.spec.spread:
            allowed = min(allowed, max_per_zone - tasks_by_zone.get(machine.zone, 0))
        tasks = min(allowed, machine.timeline.count_fitting(start, start + duration, need))
        if tasks > 0:
            shares.append(_GangShare(machine, tasks, duration))
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + tasks
            unplaced -= tasks
        if not unplaced:
            return shares
    return None


def _reserve(request: TaskRequest, shares: list[_GangShare], start: float, now: float) -> list[Placement]:
    """Reserve the gang's capacity on each of its machines until the last of its tasks ends."""
    need = need_of(request.spec)
    finish = start + max(share.duration for share in shares)
    for share in shares:
        share.machine.timeline.reserve(start, finish, multiply(need, share.tasks))
    return [Placement(request.job_id, share.machine.name, share.tasks, start, finish, start <= now) for share in shares]
