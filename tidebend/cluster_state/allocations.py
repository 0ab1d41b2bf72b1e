"""Allocations of tasks to machines, and their form in records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.task_bitmap import format_ranges, parse_ranges

# allocations that share a session, an attempt, a time and a zone are stored as one group
_GroupKey = tuple[int, int, float, str]


@dataclass(frozen=True, slots=True)
class Allocation:
    """Tasks of a job that are allocated to a machine.

    It is recorded before the start of the tasks is sent, and stays until their end is proven.
    """

    machine: str
    session: int  # the worker's session; a later one has killed all tasks of this one
    attempt: int  # counts the allocation events of the job
    tasks: int  # bitmap
    allocated_at: float  # time of day in seconds, just before it was recorded
    zone: str


def pack_allocations(allocations: Iterable[Allocation]) -> list[list[Any]]:
    """Return the form in records: `[session, attempt, time, zone, [machine, tasks, machine, tasks, ...]]` per group.

    The allocations of one event differ only in machine and tasks. They are grouped because a job on hundreds of
    machines must fit into one value of the state service.
    """
    groups: dict[_GroupKey, list[str]] = {}
    for allocation in allocations:
        group = (allocation.session, allocation.attempt, round(allocation.allocated_at, 1), allocation.zone)
        rows = groups.setdefault(group, [])
        rows += (allocation.machine, format_ranges(allocation.tasks))
    return [[*group, rows] for group, rows in groups.items()]


def unpack_allocations(groups: Iterable[list[Any]]) -> tuple[Allocation, ...]:
    """Read what `pack_allocations` wrote; raises ValueError for a malformed group."""
    return tuple(
        Allocation(machine, session, attempt, parse_ranges(tasks), at, zone)
        for session, attempt, at, zone, rows in groups
        for machine, tasks in zip(rows[::2], rows[1::2], strict=True)
    )


def shift_tasks(allocations: Iterable[Allocation], offset: int) -> Iterator[Allocation]:
    """Yield the allocations with `offset` added to each task number; used between job and chunk numbering."""
    for allocation in allocations:
        tasks = allocation.tasks << offset if offset > 0 else allocation.tasks >> -offset
        yield _with_tasks(allocation, tasks)


def restrict_to(allocations: Iterable[Allocation], mask: int) -> tuple[Allocation, ...]:
    """Return the parts of the allocations that lie within a bitmap of tasks; empty ones are left out."""
    return tuple(
        _with_tasks(allocation, allocation.tasks & mask) for allocation in allocations if allocation.tasks & mask
    )


def _with_tasks(allocation: Allocation, tasks: int) -> Allocation:
    return Allocation(
        allocation.machine, allocation.session, allocation.attempt, tasks, allocation.allocated_at, allocation.zone
    )
