"""Copies of direct commands that were executed before, after a controller or a machine came back within a second.

Each cell of a table is a test: what became of the attempt, by who came back, by when the copies arrive. In each world
the team of each job is at its limit, and other work of the team takes every place that comes free.
"""

import functools
import random
from collections import Counter

import pytest

from simulation.checker import breaches
from simulation.world import World
from tests.test_guards import TYPES
from tests.test_scenarios import JOB

ZONES = ["north", "south", "west"]
BOX = {**TYPES[0], "harbors": ZONES}
MACHINES = 6
TASKS = 2
SERVICE = {"shape": "service", "rank": "critical", "reckonS": 0.0, "driftwood": False}
# what becomes of the first attempt -> fields of its job
OUTCOMES = {
    "runs": {"run_s": 30.0},
    "moved": {"run_s": 60.0},
    "done": {"run_s": 4.0},
    "failed": {"run_s": 60.0, "fails_s": 1.0},
    "full": {"run_s": 60.0},
    "in_use": {"run_s": 60.0},
    "no_such": {"run_s": 60.0},
    "gang": {"shape": "group", "run_s": 4.0, "samePlace": True},
    "service": SERVICE,
    "cancelled": {"run_s": 60.0},
}
REFUSED = ("full", "in_use", "no_such")
MOVED = ("moved", "service")
OTHERS_RUN_S = 4.0

SUBMITTED_S, STOPPED_S, BACK_S, END_S = 8.0, 14.0, 17.0, 150.0
# a copy arrives at the moment of the cell, and again these seconds later
REPEATED_AFTER_S = (0.0, 3.0, 25.0)


def holder_returns(world):
    world.crash("n1", 0.4)


def another_holder_and_back(world):
    world.crash("n1", 6.0)


def machines_return_from_a_cut(world):
    for name in world.workers:
        world.deaf[name] = world.mute[name] = world.now + 0.9


def machines_hang_and_go_on(world):
    for worker in world.workers.values():
        worker.hung_until = world.now + 0.9


def machines_return_in_a_new_session(world):
    for worker in world.workers.values():
        worker.hung_until = world.now + 1.1 * world.lease_s


def nobody(world):
    pass


RETURNS = (
    holder_returns,
    another_holder_and_back,
    machines_return_from_a_cut,
    machines_hang_and_go_on,
    machines_return_in_a_new_session,
    nobody,
)


class CopyingWorld(World):
    """A world that keeps the first direct commands with a start of each task, and delivers copies of them."""

    def __init__(self, is_due, teams):
        super().__init__(1, ZONES, teams, [BOX])
        self.is_due = is_due  # whether the copy for a task arrives now, by the world, worker, token, task and attempt
        self.executed = []  # [worker, path, body, tasks whose copies haven't arrived]
        self.copied = Counter()  # job -> copies of its starts that arrived

    def execute_direct(self, worker, method, path, body):
        answer = super().execute_direct(worker, method, path, body)
        if method == "POST" and answer is not None and answer[0] == 200:
            starts = [(row["piece"], row["launch"]) for row in body["orders"] if row["order"] == "start"]
            first = {key for key in starts if key[0].startswith("req-copied")}
            if first:
                self.executed.append([worker, path, body, first])
        return answer

    def deliver_copies(self):
        for row in self.executed:
            worker, path, body, left = row
            due = {key for key in left if self.is_due(self, worker, body["helm"], *key)}
            if due and self.now >= worker.hung_until and self.now >= self.deaf.get(worker.name, -1.0):
                left -= due
                for task, _ in due:
                    self.copied[task.partition("/")[0]] += 1
                for late_s in REPEATED_AFTER_S:
                    self.scheduled_actions.append(
                        (self.now + late_s, functools.partial(worker.direct, "POST", path, body))
                    )


def since_return_s(world):
    return world.now - 100.0 - BACK_S


def is_late(world):
    """Whether no other moment will come any more in which the case could occur."""
    return world.now - 100.0 > END_S - 30.0


def before_the_new_token(world, worker, token, task, attempt):
    return since_return_s(world) > 0.2


def after_the_new_token(world, worker, token, task, attempt):
    return (since_return_s(world) > 0.2 and worker.token > token) or is_late(world)


def after_it_was_forgotten(world, worker, token, task, attempt):
    known = worker.tasks.get(task)
    is_known = (known is not None and known.attempt == attempt) or (task, attempt) in worker.superseded
    return (since_return_s(world) > 0.2 and not is_known) or is_late(world)


MOMENTS = (before_the_new_token, after_the_new_token, after_it_was_forgotten)


def stop_first_attempts(world):
    """Let the holder stop the tasks that are to be moved, as preemption does, and cancel the job to be cancelled."""
    for controller in world.controllers.values():
        registry = controller.machine_registry
        for machine in registry.all():
            for job, index, attempt in machine.tasks:
                if job in [f"req-copied-{outcome}" for outcome in MOVED] and attempt == 1:
                    machine.stop_requests[job, index, attempt] = 0.0
                    controller.command_dispatcher.send({machine.name})
    world.cancel("req-copied-cancelled")


@functools.cache
def play_copies(returns, moment):
    """Play all outcomes with one kind of return and one moment; return the world and the broken rules."""
    random.seed(1)
    teams = [
        {"name": f"team-{outcome}", "cpus": 1.0 * TASKS, "cpus_max": 1.0 * TASKS, "gpus": 0.0, "gpus_max": 0.0}
        for outcome in OUTCOMES
    ]
    world = CopyingWorld(moment, teams)
    world.cloud.capacity.update({("box", zone, spot): 0 for zone in ZONES for spot in (False, True)})
    for _ in range(MACHINES):
        world.cloud.add("box", "south", False, -50.0)
    world.refusals = {f"req-copied-{outcome}": outcome for outcome in REFUSED}
    job = {**JOB, "vcpus": 1.0, "memoryGb": 1.0, "harbor": "south"}
    for outcome, fields in OUTCOMES.items():
        own = {**job, "crew": f"team-{outcome}", "pieces": TASKS, "rank": "urgent", **fields}
        others = {**job, "crew": f"team-{outcome}", "pieces": 40, "rank": "best_effort", "run_s": OTHERS_RUN_S}
        world.scheduled_actions += [
            (100.0 + SUBMITTED_S, functools.partial(world.submit, f"req-copied-{outcome}", **own)),
            (100.0 + SUBMITTED_S + 3.0, functools.partial(world.submit, f"req-others-{outcome}", **others)),
        ]
    world.scheduled_actions += [
        (100.0 + STOPPED_S, functools.partial(stop_first_attempts, world)),
        (100.0 + BACK_S, functools.partial(returns, world)),
        (100.0 + END_S - 25.0, functools.partial(world.cancel, "req-copied-failed")),
    ]
    with world.clock():
        while world.now < 100.0 + END_S:
            world.step()
            world.deliver_copies()
    return world, breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)


@pytest.mark.parametrize("outcome", OUTCOMES)
@pytest.mark.parametrize("moment", MOMENTS, ids=lambda moment: moment.__name__)
@pytest.mark.parametrize("returns", RETURNS, ids=lambda returns: returns.__name__)
def test_late_copies_of_commands_break_no_rule(returns, moment, outcome):
    """Guards against `ran_twice`, `quota`, `ran_cancelled`: a copy starts an attempt that the worker has forgotten."""
    world, found = play_copies(returns, moment)
    assert world.copied[f"req-copied-{outcome}"] >= TASKS  # otherwise the case hasn't occurred
    of_this_job = [row for row in found if f"-{outcome}/" in row[2] or f"team-{outcome} " in row[2]]
    assert not of_this_job, of_this_job[:5]


@pytest.mark.parametrize("moment", MOMENTS, ids=lambda moment: moment.__name__)
@pytest.mark.parametrize("returns", RETURNS, ids=lambda returns: returns.__name__)
def test_late_copies_of_commands_break_no_rule_of_any_other_job(returns, moment):
    """Guards against a broken rule that no cell of the table counts as its own."""
    assert not play_copies(returns, moment)[1]
