"""CPUs, GPUs and memory: what tasks need, and how often it fits."""

from __future__ import annotations

from tidebend.protocol import JobSpec, MachineType

EPSILON = 1e-6
Amount = tuple[float, float, float]  # CPUs, GPUs, memory


def need_of(spec: JobSpec) -> Amount:
    return (spec.cpus, spec.gpus, spec.memory_gb)


def times_fit(free: Amount, need: Amount) -> int:
    """How many tasks of that size fit. (Written out: a mapping event spends most of its time here.)"""
    most = 1_000_000.0
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


def largest_share(spec: JobSpec, kinds: list[MachineType]) -> float:
    """A task's largest share of the most CPUs, GPUs or memory that any machine has.

    The paper counts cores, which are alike in all its clusters. A share of the very machine at hand would make
    large machines look cheap, and tasks wait for room there while others idle.
    """
    most = [max((getattr(kind, part) for kind in kinds), default=0.0) for part in ("cpus", "gpus", "memory_gb")]
    return max([EPSILON] + [need / have for need, have in zip(need_of(spec), most, strict=True) if have > 0])
