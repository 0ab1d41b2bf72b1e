"""Placing all tasks of a gang at one time."""

from __future__ import annotations

import math
from typing import NamedTuple

from tidebend.scheduling.resources import Amount, multiply, need_of
from tidebend.scheduling.task_requests import CandidateMachine, Placement, TaskRequest, allowed_on


class _GangShare(NamedTuple):
    """The tasks of a gang that fit on one machine."""

    machine: CandidateMachine
    tasks: int
    length: float  # seconds from the gang's start to the end of these tasks, their image's fetch included


def place_gang(
    request: TaskRequest, machines: list[CandidateMachine], now: float, latest: float
) -> list[Placement] | None:
    """Place all waiting tasks of a gang at the earliest common start up to `latest`, and reserve their room.

    None, and nothing reserved, if there is no start at which the whole gang fits.
    """
    usable = [machine for machine in machines if allowed_on(request, machine) and machine.reclaimed_at == math.inf]
    starts = _possible_starts(usable, now, latest)
    usable.sort(key=lambda machine: (machine.fetch_s(request.spec), machine.name))
    groups = _groups_of_machines(request, usable)
    need = need_of(request.spec)
    for start in starts:
        for group in groups:
            shares = _fit(request, group, start, need)
            if shares is not None:
                return _reserve(request, shares, start, now)
    return None


def _possible_starts(machines: list[CandidateMachine], now: float, latest: float) -> list[float]:
    """Now and the times at which the free amount of some machine changes, in order."""
    changes = {max(now, time) for machine in machines for time in machine.timeline.times if time <= latest}
    return sorted(changes | {now})


def _groups_of_machines(request: TaskRequest, machines: list[CandidateMachine]) -> list[list[CandidateMachine]]:
    """The machines on which the whole gang may run together: those of one zone if it asks for that, else all."""
    if not request.spec.one_zone:
        return [machines]
    return [
        [machine for machine in machines if machine.zone == zone]
        for zone in sorted({machine.zone for machine in machines})
        if request.zone_headroom(zone) > 0
    ]


def _fit(request: TaskRequest, machines: list[CandidateMachine], start: float, need: Amount) -> list[_GangShare] | None:
    """Shares on these machines that add up to the whole gang; None if it doesn't fit."""
    shares: list[_GangShare] = []
    missing = request.waiting
    tasks_by_zone = dict(request.tasks_by_zone)
    most_per_zone = (request.spec.tasks + 1) // 2
    for machine in machines:
        length = machine.fetch_s(request.spec) + request.estimate
        allowed = missing
        if request.spec.spread:
            allowed = min(allowed, most_per_zone - tasks_by_zone.get(machine.zone, 0))
        tasks = min(allowed, machine.timeline.room(start, start + length, need))
        if tasks > 0:
            shares.append(_GangShare(machine, tasks, length))
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + tasks
            missing -= tasks
        if not missing:
            return shares
    return None


def _reserve(request: TaskRequest, shares: list[_GangShare], start: float, now: float) -> list[Placement]:
    """Hold the room of a gang on all its machines until the slowest of its tasks ends."""
    need = need_of(request.spec)
    finish = start + max(share.length for share in shares)
    for share in shares:
        share.machine.timeline.take(start, finish, multiply(need, share.tasks))
    return [Placement(request.job_id, share.machine.name, share.tasks, start, finish, start <= now) for share in shares]
