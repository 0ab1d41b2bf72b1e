"""Resource amounts (CPUs, GPUs, memory): arithmetic, and how many tasks fit."""

from __future__ import annotations

from tidebend.protocol import JobSpec, MachineType

# amounts are sums of floating-point numbers: smaller differences are treated as rounding errors
EPSILON = 1e-6
# stands for "no limit" in a number of tasks; more than any machine can run
UNLIMITED_TASKS = 1_000_000
# An amount of resources: CPUs, GPUs, gigabytes of memory. A plain tuple for speed: a mapping event creates and reads
# thousands of them.
Amount = tuple[float, float, float]


def need_of(spec: JobSpec) -> Amount:
    """Return the resources that one task of the job needs."""
    return (spec.cpus, spec.gpus, spec.memory_gb)


def add(amount: Amount, other: Amount) -> Amount:
    """Return the sum of two amounts."""
    return (amount[0] + other[0], amount[1] + other[1], amount[2] + other[2])


def subtract(amount: Amount, other: Amount) -> Amount:
    """Return the difference of two amounts; its components may be negative."""
    return (amount[0] - other[0], amount[1] - other[1], amount[2] - other[2])


def multiply(amount: Amount, tasks: int) -> Amount:
    """Return the amount that this many tasks need if each needs `amount`."""
    return (amount[0] * tasks, amount[1] * tasks, amount[2] * tasks)


def fits(free: Amount, need: Amount) -> bool:
    """Return whether a task with this need fits. Unrolled for speed: a mapping event spends most of its time here."""
    return (
        (need[0] <= EPSILON or free[0] + EPSILON >= need[0])
        and (need[1] <= EPSILON or free[1] + EPSILON >= need[1])
        and (need[2] <= EPSILON or free[2] + EPSILON >= need[2])
    )


def count_fitting_tasks(free: Amount, need: Amount) -> int:
    """Return how many tasks with this need fit; `UNLIMITED_TASKS` if the need is zero."""
    count = float(UNLIMITED_TASKS)
    amount = need[0]
    if amount > EPSILON:
        count = (free[0] + EPSILON) // amount
    amount = need[1]
    if amount > EPSILON:
        count = min(count, (free[1] + EPSILON) // amount)
    amount = need[2]
    if amount > EPSILON:
        count = min(count, (free[2] + EPSILON) // amount)
    return int(count) if count > 0 else 0


def largest_share(spec: JobSpec, machine_types: list[MachineType]) -> float:
    """Return the largest of a task's shares of CPUs, GPUs and memory; at least `EPSILON`.

    Each share is relative to the machine type that has the most of that resource. The paper counts cores, which are
    identical in all its clusters. With shares of the machine that a task is placed on, large machines would look cheap,
    and tasks would wait for capacity there while other machines are idle.
    """
    largest = [
        max((getattr(machine_type, component) for machine_type in machine_types), default=0.0)
        for component in ("cpus", "gpus", "memory_gb")
    ]
    return max([EPSILON] + [need / have for need, have in zip(need_of(spec), largest, strict=True) if have > 0])
