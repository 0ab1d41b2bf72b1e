"""Tasks' places, and how records hold them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.task_bitmap import from_text, to_text


@dataclass(frozen=True, slots=True)
class Allocation:
    """Tasks of a job that hold a place on a machine: from before their start is sent until proof of their end."""

    machine: str
    session: int
    attempt: int
    tasks: int  # bitmap
    at: float  # time of day
    zone: str


def pack_claims(allocations: Iterable[Allocation]) -> list[list[Any]]:
    """Claims of one event are alike but for machine and tasks: a job on hundreds of machines must fit one value."""
    groups: dict[tuple[int, int, float, str], list[str]] = {}
    for allocation in allocations:
        rows = groups.setdefault((allocation.session, allocation.attempt, round(allocation.at, 1), allocation.zone), [])
        rows += (allocation.machine, to_text(allocation.tasks))
    return [[*common, rows] for common, rows in groups.items()]


def unpack_claims(groups: list[list[Any]]) -> tuple[Allocation, ...]:
    return tuple(
        Allocation(machine, session, attempt, from_text(tasks), at, zone)
        for session, attempt, at, zone, rows in groups
        for machine, tasks in zip(rows[::2], rows[1::2], strict=True)
    )
