"""Allocations of tasks to machines, and their stored form."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.task_bitmap import format_ranges, parse_ranges

# (session, attempt, time, zone): allocations that agree in all four are stored as one group
_GroupKey = tuple[int, int, float, str]


@dataclass(frozen=True, slots=True)
class Allocation:
    """Tasks of one job that are allocated to one machine.

    An allocation is recorded before the start commands of its tasks are sent, and removed only once the tasks are
    known to have ended.
    """

    machine: str
    session: int  # the worker's session; at the start of a later session all tasks of this one have been killed
    attempt: int  # number of the job's allocation event, counted from 1
    tasks: int  # bitmap of task indexes
    allocated_at: float  # wall clock in seconds, read just before the allocation was recorded
    zone: str


def pack_allocations(allocations: Iterable[Allocation]) -> list[list[Any]]:
    """Return the stored form: `[session, attempt, time, zone, [machine, tasks, machine, tasks, ...]]` per group.

    The allocations of one event mostly differ only in machine and tasks. Grouping them lets a job on hundreds of
    machines fit into one value of the key-value store.
    """
    groups: dict[_GroupKey, list[str]] = {}
    for allocation in allocations:
        group = (allocation.session, allocation.attempt, round(allocation.allocated_at, 1), allocation.zone)
        rows = groups.setdefault(group, [])
        rows += (allocation.machine, format_ranges(allocation.tasks))
    return [[*group, rows] for group, rows in groups.items()]


def unpack_allocations(groups: Iterable[list[Any]]) -> tuple[Allocation, ...]:
    """Parse the stored form; raises ValueError for a malformed group."""
    return tuple(
        Allocation(machine, session, attempt, parse_ranges(tasks), at, zone)
        for session, attempt, at, zone, rows in groups
        for machine, tasks in zip(rows[::2], rows[1::2], strict=True)
    )


def shift_tasks(allocations: Iterable[Allocation], offset: int) -> Iterator[Allocation]:
    """Yield the allocations with `offset` added to each task index, to convert between job and chunk indexes."""
    for allocation in allocations:
        tasks = allocation.tasks << offset if offset > 0 else allocation.tasks >> -offset
        yield _with_tasks(allocation, tasks)


def restrict_to(allocations: Iterable[Allocation], mask: int) -> tuple[Allocation, ...]:
    """Return the allocations reduced to the tasks in a bitmap; allocations without such tasks are left out."""
    return tuple(
        _with_tasks(allocation, allocation.tasks & mask) for allocation in allocations if allocation.tasks & mask
    )


def _with_tasks(allocation: Allocation, tasks: int) -> Allocation:
    return Allocation(
        allocation.machine, allocation.session, allocation.attempt, tasks, allocation.allocated_at, allocation.zone
    )
