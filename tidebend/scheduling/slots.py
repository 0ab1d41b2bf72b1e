"""The best slot of a waiting task on a machine, and what it is worth."""

from __future__ import annotations

from tidebend.scheduling.resources import EPSILON, need_of
from tidebend.scheduling.task_requests import CandidateMachine, TaskRequest

# (-value per resource, finish, added gaps, gap, what the machine has left, its name, start)
Slot = tuple[float, float, int, float, float, str, float]


def rate_of(request: TaskRequest, finish: float, now: float) -> float:
    """Value per resource of a slot that ends then; it never rises with the finish."""
    if request.service:
        # every second that a replica isn't up is lost, so that its earliest slot is worth the most
        return request.value.start - (finish - request.estimate - now)
    return request.value.at(finish) / max(request.estimate * request.share, EPSILON)


def best_slot(request: TaskRequest, place: CandidateMachine, now: float, latest: float) -> Slot | None:
    """The earliest slot on a machine. Slots compare by value per resource; ties go to the earliest finish, the
    fewest added idle gaps, the smallest gap, the tightest fit."""
    if request.zone_room(place.zone) < 1:
        return None
    length = place.fetch_s(request.spec) + request.estimate
    need = need_of(request.spec)
    start = place.timeline.earliest(max(now, request.not_before), length, need, latest)
    if start is None:
        return None
    finish = start + length
    if finish > place.until:
        return None
    rate = rate_of(request, finish, now)
    gaps, gap = place.timeline.gap(start, finish, need)
    free = place.timeline.free[0]
    left = free[0] / max(place.type.cpus, EPSILON) + free[2] / max(place.type.memory_gb, EPSILON)
    # machines that may be taken are for those that can bear it
    left += request.spec.spot and not place.spot
    return -rate, round(finish, 3), gaps, gap, left, place.name, start
