"""The paper's value functions of jobs, and the propagation of priorities and deadlines along pipelines.

See section 2 of Khemka et al., "Resource Management in Heterogeneous Parallel Computing Environments with Soft and Hard
Deadlines". Times are wall-clock times in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from tidebend.protocol import PRIORITIES, JobSpec
from tidebend.scheduling.resources import EPSILON

# value at the hard deadline, as a share of the starting value: the mean of the paper's distribution U(0.01, 0.8)
FINAL_VALUE_SHARE = 0.4
# factor between the values of a task within its team's guarantee and of a borrowed one
GUARANTEE_VALUE_FACTOR = 2.0
# factor between the values of one priority and the next lower one
PRIORITY_VALUE_FACTOR = 10.0


@dataclass(frozen=True, slots=True)
class Value:
    """The paper's value function: constant until the soft deadline, linear until the hard one, then zero."""

    starting_value: float
    final_value: float  # value at the hard deadline
    soft_deadline: float
    hard_deadline: float

    def at(self, finish: float) -> float:
        """Return the value of a task that ends at `finish`."""
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
    """A job's effective priority and deadlines, given its own and those of the jobs that depend on it."""

    priority: int  # the highest priority among them, as an index of `PRIORITIES`
    soft_deadline: float = math.inf
    hard_deadline: float = math.inf

    def combined_with(self, dependent: Demand, duration: float) -> Demand:
        """Return the demand combined with that of a dependent job, which takes `duration` seconds after this one."""
        return Demand(
            max(self.priority, dependent.priority),
            min(self.soft_deadline, dependent.soft_deadline - duration),
            min(self.hard_deadline, dependent.hard_deadline - duration),
        )


def propagate_demands(
    own: dict[str, Demand], durations: dict[str, float], dependents: dict[str, list[str]]
) -> dict[str, Demand]:
    """Return the demands of jobs after propagation through their dependency graph.

    The duration of the remaining critical path is subtracted from each deadline.

    `own` has the demands of the jobs themselves, `durations` the seconds that each job takes once it is ready, and
    `dependents` the jobs that depend on each job; dependents that are missing in `own` are ignored. The traversal isn't
    recursive since the depth of the graph is unbounded. The graph must not have cycles.
    """
    combined: dict[str, Demand] = {}
    stack = list(dependents)
    while stack:
        name = stack[-1]
        if name in combined or name not in own:
            stack.pop()
            continue
        missing = [
            dependent for dependent in dependents.get(name, ()) if dependent in own and dependent not in combined
        ]
        if missing:
            stack += missing
            continue
        stack.pop()
        demand = own[name]
        for dependent in dependents.get(name, ()):
            if dependent in combined:
                demand = demand.combined_with(combined[dependent], durations[dependent])
        combined[name] = demand
    return combined


def own_demand(spec: JobSpec, submitted: float, estimate: float, deadline_factor: float = 1.0) -> Demand:
    """Return the demand of a job without its dependents; `estimate` is its run time in seconds.

    The hard deadline is one estimate after the job's deadline, or `deadline_factor` times its deadline after its
    submission (the objective of its class for late jobs), whichever is later.
    """
    priority = PRIORITIES.index(spec.priority)
    if spec.deadline_s is None:
        return Demand(priority)
    soft = submitted + spec.deadline_s
    return Demand(priority, soft, max(soft + estimate, submitted + deadline_factor * spec.deadline_s))


def value_of(demand: Demand, startable_since: float, estimate: float, within_guarantee: bool = False) -> Value:
    """Return the value function of a job that could first start at `startable_since` and runs for `estimate` seconds.

    A job without deadlines gets a soft deadline one estimate after `startable_since`, and a hard deadline another
    estimate later.
    """
    start = PRIORITY_VALUE_FACTOR**demand.priority * (GUARANTEE_VALUE_FACTOR if within_guarantee else 1.0)
    final = start * FINAL_VALUE_SHARE
    if demand.soft_deadline == math.inf:
        return Value(start, final, startable_since + estimate, startable_since + estimate + max(estimate, EPSILON))
    return Value(start, final, demand.soft_deadline, max(demand.hard_deadline, demand.soft_deadline + EPSILON))


def is_reserved(value: Value, now: float) -> bool:
    """Return whether a task has a standing reservation: from its soft deadline until its hard deadline."""
    return value.soft_deadline < now <= value.hard_deadline
