"""Places for all tasks of a gang at one time."""

from __future__ import annotations

import math

from tidebend.scheduling.resources import need_of
from tidebend.scheduling.task_requests import CandidateMachine, Placement, TaskRequest, allowed_on


def place_gang(
    request: TaskRequest, places: list[CandidateMachine], now: float, latest: float
) -> list[Placement] | None:
    """Places for all tasks at one time, the earliest there is; nothing if the whole gang doesn't fit."""
    need = need_of(request.spec)
    usable = [place for place in places if allowed_on(request, place) and place.until == math.inf]
    starts = sorted({max(now, time) for place in usable for time in place.timeline.times if time <= latest} | {now})
    usable.sort(key=lambda place: (place.fetch_s(request.spec), place.name))
    groups: list[list[CandidateMachine]] = [usable]
    if request.spec.one_zone:
        groups = [
            [place for place in usable if place.zone == zone]
            for zone in sorted({p.zone for p in usable})
            if request.zone_room(zone) > 0
        ]
    for start in starts:
        for group in groups:
            found: list[tuple[CandidateMachine, int, float]] = []
            missing = request.waiting
            zones = dict(request.zones)
            for place in group:
                length = place.fetch_s(request.spec) + request.estimate
                allowed = missing
                if request.spec.spread:
                    allowed = min(allowed, (request.spec.tasks + 1) // 2 - zones.get(place.zone, 0))
                fitting = min(allowed, place.timeline.room(start, start + length, need))
                if fitting > 0:
                    found.append((place, fitting, length))
                    zones[place.zone] = zones.get(place.zone, 0) + fitting
                    missing -= fitting
                if not missing:
                    break
            if not missing:
                finish = start + max(length for _, _, length in found)
                for place, tasks, _ in found:
                    place.timeline.take(start, finish, tuple(part * tasks for part in need))
                return [
                    Placement(request.job, place.name, tasks, start, finish, start <= now) for place, tasks, _ in found
                ]
    return None
