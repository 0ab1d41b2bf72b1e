"""What a job is worth and until when: the paper's value functions, and demands along pipelines."""

from __future__ import annotations

import math
from dataclasses import dataclass

from tidebend.protocol import PRIORITIES, JobSpec
from tidebend.scheduling.resources import EPSILON

# value left at the hard deadline, as a share of the starting value: the middle of the paper's U(0.01, 0.8)
FINAL_SHARE = 0.4
# what lies within its team's guarantee is worth this many times what is borrowed
GUARANTEE_WORTH = 2.0


@dataclass(frozen=True, slots=True)
class Value:
    """The paper's value function: constant to the soft deadline, linear to the hard one, then nothing."""

    start: float
    final: float
    soft: float
    hard: float

    def at(self, finish: float) -> float:
        if finish <= self.soft:
            return self.start
        if finish > self.hard:
            return 0.0
        span = self.hard - self.soft
        return self.start - (self.start - self.final) * (finish - self.soft) / span if span > 0 else self.final


@dataclass(frozen=True, slots=True)
class Demand:
    """What a job, and all that need it, ask of it: the greatest priority, and by when it must be over for their
    deadlines to be met."""

    rank: int
    soft: float = math.inf
    hard: float = math.inf


def demands(own: dict[str, Demand], length: dict[str, float], after: dict[str, list[str]]) -> dict[str, Demand]:
    """Demands along the graph of jobs that need one another: the remaining critical path goes off each deadline.

    `length`: how long a job takes once it is ready; `after`: for each job those that need it. Neither order nor depth
    of the graph is bounded, so there is no recursion.
    """
    found: dict[str, Demand] = {}
    left = list(after)
    while left:
        name = left[-1]
        if name in found or name not in own:
            left.pop()
            continue
        missing = [other for other in after.get(name, ()) if other in own and other not in found]
        if missing:
            left += missing
            continue
        left.pop()
        demand = own[name]
        for other in after.get(name, ()):
            if other in found:
                ask, takes = found[other], length[other]
                demand = Demand(
                    max(demand.rank, ask.rank), min(demand.soft, ask.soft - takes), min(demand.hard, ask.hard - takes)
                )
        found[name] = demand
    return found


def own_demand(spec: JobSpec, submitted: float, estimate: float, late: float = 1.0) -> Demand:
    """What a job asks for by itself; a deadline that is aimed at `late` times over as well is a hard one."""
    rank = PRIORITIES.index(spec.priority)
    if spec.deadline_s is None:
        return Demand(rank)
    soft = submitted + spec.deadline_s
    return Demand(rank, soft, max(soft + estimate, submitted + late * spec.deadline_s))


def value_of(demand: Demand, since: float, estimate: float, within_guarantee: bool = False) -> Value:
    """Soft deadline: the job's own or what is left of a later one's, else one estimate after it could first start;
    the hard one is an estimate later, or as demanded."""
    # priority sets the starting value (DESIGN); each step is worth ten of the one below
    start = 10.0**demand.rank * (GUARANTEE_WORTH if within_guarantee else 1.0)
    if demand.soft == math.inf:
        return Value(start, start * FINAL_SHARE, since + estimate, since + estimate + max(estimate, EPSILON))
    return Value(start, start * FINAL_SHARE, demand.soft, max(demand.hard, demand.soft + EPSILON))


def is_reserved(value: Value, now: float) -> bool:
    """Past the soft deadline a task keeps a standing reservation, as long as it is worth anything."""
    return value.soft < now <= value.hard
