"""CPUs, GPUs and memory: what tasks need, and how many of them fit."""

from __future__ import annotations

from tidebend.protocol import JobSpec, MachineType

# amounts are sums of floating-point numbers: differences below this are taken for rounding errors
EPSILON = 1e-6
# "no limit" where a number of tasks is counted: more than any machine can hold
UNLIMITED_TASKS = 1_000_000
# An amount of resources: CPUs, GPUs, gigabytes of memory. A bare tuple, since a mapping event builds and reads
# thousands of them.
Amount = tuple[float, float, float]


def need_of(spec: JobSpec) -> Amount:
    """What one task of the job needs."""
    return (spec.cpus, spec.gpus, spec.memory_gb)


def add(amount: Amount, other: Amount) -> Amount:
    """The sum of two amounts."""
    return (amount[0] + other[0], amount[1] + other[1], amount[2] + other[2])


def subtract(amount: Amount, other: Amount) -> Amount:
    """What is left of an amount; parts may become negative."""
    return (amount[0] - other[0], amount[1] - other[1], amount[2] - other[2])


def multiply(amount: Amount, tasks: int) -> Amount:
    """What so many tasks need that need this amount each."""
    return (amount[0] * tasks, amount[1] * tasks, amount[2] * tasks)


def fits(free: Amount, need: Amount) -> bool:
    """Whether a task of that size fits. (Written out: a mapping event spends most of its time here.)"""
    return (
        (need[0] <= EPSILON or free[0] + EPSILON >= need[0])
        and (need[1] <= EPSILON or free[1] + EPSILON >= need[1])
        and (need[2] <= EPSILON or free[2] + EPSILON >= need[2])
    )


def count_fitting_tasks(free: Amount, need: Amount) -> int:
    """How many tasks of that size fit; `UNLIMITED_TASKS` if they need nothing."""
    most = float(UNLIMITED_TASKS)
    amount = need[0]
    if amount > EPSILON:
        most = (free[0] + EPSILON) // amount
    amount = need[1]
    if amount > EPSILON:
        most = min(most, (free[1] + EPSILON) // amount)
    amount = need[2]
    if amount > EPSILON:
        most = min(most, (free[2] + EPSILON) // amount)
    return int(most) if most > 0 else 0


def largest_share(spec: JobSpec, types: list[MachineType]) -> float:
    """A task's largest share of the most CPUs, GPUs or memory that any machine type has; at least `EPSILON`.

    The paper counts cores, which are alike in all its clusters. A share of the very machine that a task is placed on
    would make large machines look cheap, and tasks would wait for room there while others idle.
    """
    largest = [max((getattr(kind, part) for kind in types), default=0.0) for part in ("cpus", "gpus", "memory_gb")]
    return max([EPSILON] + [need / have for need, have in zip(need_of(spec), largest, strict=True) if have > 0])
