"""What a job is worth and until when: the paper's value functions, and demands along pipelines.

Section 2 of Khemka et al., "Resource Management in Heterogeneous Parallel Computing Environments with Soft and Hard
Deadlines". Times are times of day in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from tidebend.protocol import PRIORITIES, JobSpec
from tidebend.scheduling.resources import EPSILON

# value left at the hard deadline, as a share of the starting value: the middle of the paper's U(0.01, 0.8)
FINAL_SHARE = 0.4
# what lies within its team's guarantee is worth this many times what is borrowed
GUARANTEE_WORTH = 2.0
# each priority is worth this many times the one below it
WORTH_PER_PRIORITY = 10.0


@dataclass(frozen=True, slots=True)
class Value:
    """The paper's value function: constant to the soft deadline, linear to the hard one, then nothing."""

    starting_value: float
    final_value: float  # at the hard deadline
    soft_deadline: float
    hard_deadline: float

    def at(self, finish: float) -> float:
        """The value of a task that ends then."""
        if finish <= self.soft_deadline:
            return self.starting_value
        if finish > self.hard_deadline:
            return 0.0
        span = self.hard_deadline - self.soft_deadline
        if span <= 0:
            return self.final_value
        return self.starting_value - (self.starting_value - self.final_value) * (finish - self.soft_deadline) / span


@dataclass(frozen=True, slots=True)
class Demand:
    """What a job, and all jobs that need it, ask of it: a priority, and by when it must end for their deadlines."""

    rank: int  # the greatest priority, as an index of `PRIORITIES`
    soft_deadline: float = math.inf
    hard_deadline: float = math.inf

    def joined_with(self, dependent: Demand, length: float) -> Demand:
        """With the demand of a job that needs this one and takes so many seconds after it."""
        return Demand(
            max(self.rank, dependent.rank),
            min(self.soft_deadline, dependent.soft_deadline - length),
            min(self.hard_deadline, dependent.hard_deadline - length),
        )


def propagate_demands(
    own: dict[str, Demand], length: dict[str, float], after: dict[str, list[str]]
) -> dict[str, Demand]:
    """Demands along the graph of jobs that need one another: the remaining critical path goes off each deadline.

    `own`: what jobs ask for by themselves; `length`: seconds that a job takes once it is ready; `after`: for each job
    those that need it, of which any that `own` doesn't have are ignored. Neither order nor depth of the graph is
    bounded, so there is no recursion. The graph must have no cycle.
    """
    joined: dict[str, Demand] = {}
    stack = list(after)
    while stack:
        name = stack[-1]
        if name in joined or name not in own:
            stack.pop()
            continue
        missing = [other for other in after.get(name, ()) if other in own and other not in joined]
        if missing:
            stack += missing
            continue
        stack.pop()
        demand = own[name]
        for other in after.get(name, ()):
            if other in joined:
                demand = demand.joined_with(joined[other], length[other])
        joined[name] = demand
    return joined


def own_demand(spec: JobSpec, submitted: float, estimate: float, late: float = 1.0) -> Demand:
    """What a job asks for by itself, `estimate` being its run time in seconds.

    Its hard deadline comes one estimate after its own deadline, or `late` times its own deadline after it was
    submitted, if its class has an objective for those that are late as well; whichever is later.
    """
    rank = PRIORITIES.index(spec.priority)
    if spec.deadline_s is None:
        return Demand(rank)
    soft = submitted + spec.deadline_s
    return Demand(rank, soft, max(soft + estimate, submitted + late * spec.deadline_s))


def value_of(demand: Demand, since: float, estimate: float, within_guarantee: bool = False) -> Value:
    """The value function of a job that could first start at `since` and runs for `estimate` seconds.

    Soft deadline: as demanded, else one estimate after the job could first start. Hard deadline: as demanded, else
    another estimate later.
    """
    start = WORTH_PER_PRIORITY**demand.rank * (GUARANTEE_WORTH if within_guarantee else 1.0)
    final = start * FINAL_SHARE
    if demand.soft_deadline == math.inf:
        return Value(start, final, since + estimate, since + estimate + max(estimate, EPSILON))
    return Value(start, final, demand.soft_deadline, max(demand.hard_deadline, demand.soft_deadline + EPSILON))


def is_reserved(value: Value, now: float) -> bool:
    """Past the soft deadline a task keeps a standing reservation, as long as it is worth anything."""
    return value.soft_deadline < now <= value.hard_deadline
