"""Cancellations confirmed after the holder of the zone in which the last tasks end is gone, and before a failover.

The holder of the south is killed before it hears of the tasks' ends. Another controller confirms the cancellations, and
whoever takes the zone over records the ends. The version in production records such jobs as done. This version must
prevent that in every order in which it takes part: by confirming, by taking over or by answering.
"""

import itertools
import random

import pytest

from simulation.checker import breaches, contradicted
from simulation.versions import production
from simulation.world import NEW, World
from tests.test_guards import TYPES
from tests.test_scenarios import JOB

ZONES = ["north", "south", "west"]
TEAM = {"name": "team", "cpus": 40.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0}
BOX = {**TYPES[0], "harbors": ZONES}
JOBS = {
    "array": {"pieces": 3, "vcpus": 1.0},
    "one": {"pieces": 1, "vcpus": 1.0},
    "gang": {"shape": "group", "pieces": 2, "vcpus": 1.0, "samePlace": True},
}
JOBS_OF_EACH_KIND = 8
RUN_S = 6.0
# the holder of the south; the controllers that take the south over, confirm the cancellations and answer users
KILLED, TAKES_OVER, CONFIRMS, ANSWERS = "n1", "n0", "n2", "n3"
SEEDS = (1, 2, 3)


def run_s(world, seconds):
    until = world.now + seconds
    while world.now < until:
        world.step()


def ask_one_by_one(world, node):
    """Ask a controller about each job within two seconds, which its share of the store's rate allows."""
    names = list(world.jobs)
    for step in range(20):
        run_s(world, 0.1)
        if node in world.nodes and step % 4 == 0:
            world.user("poll", names[step % len(names)], node)


def play_failover(seed, versions, confirms=CONFIRMS):
    """Kill the holder of the south before its tasks end, and cancel their jobs; return the world and the new holder.

    `versions`: the controllers and their versions. The killed controller comes back with this version after 6 s. If
    there is a controller that only answers, it is asked about all jobs between their cancellation and the failover.
    """
    random.seed(seed)
    world = World(seed, ZONES, [TEAM], [BOX], controllers=len(versions))
    world.versions.update(versions)
    world.cloud.capacity.update({("box", zone, spot): 0 for zone in ZONES for spot in (False, True)})
    for _ in range(8):
        world.cloud.add("box", "south", False, -50.0)
    world.cancelled_through = confirms
    with world.clock():
        run_s(world, 8.0)
        assert world.holder("south") == KILLED
        for number in range(JOBS_OF_EACH_KIND):
            for kind, job in JOBS.items():
                world.submit(f"req-{kind}-{number}", **{**JOB, "harbor": "south", "run_s": RUN_S, **job})
        run_s(world, 0.9 * RUN_S)
        assert not world.completed
        world.upgrade(KILLED, 6.0)
        world.cancelled_at_end.append((world.now + 30.0, 1.0))
        run_s(world, 2.0)
        ask_one_by_one(world, ANSWERS)
        run_s(world, 1.0)
        holder = world.holder("south")
        run_s(world, 25.0)
        for name in world.jobs:
            for node in world.nodes:
                world.user("poll", name, node)
    confirmed = {row[3] for row in world.log if row[1] == "told" and row[5] == "withdrawn"}
    done = {name for name, job in world.jobs.items() if world.done_tasks.get(name) == job["pieces"]}
    # otherwise the case hasn't occurred: the cancellations are confirmed though all tasks have ended well
    assert len(confirmed & done) >= len(JOBS) * JOBS_OF_EACH_KIND // 2
    return world, holder


def found_breaches(world):
    return breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)


def roles(confirms, takes_over, answers):
    """Return the versions of four controllers, one for each role."""
    versions = {CONFIRMS: confirms, TAKES_OVER: takes_over, ANSWERS: answers}
    # the new schema version is in force only if the killed controller ran this version as well
    return {**versions, KILLED: NEW if set(versions.values()) == {NEW} else production()}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("confirms", "takes_over", "answers"),
    [order for order in itertools.product(("old", "new"), repeat=3) if "new" in order[:2]],
)
def test_a_cancellation_that_this_version_confirms_or_takes_over_holds(former, seed, confirms, takes_over, answers):
    """Guards against `went_back`: the new holder records the job as done by the ends that it hears of."""
    by_name = {"old": former, "new": NEW}
    versions = roles(by_name[confirms], by_name[takes_over], by_name[answers])
    world, holder = play_failover(seed, versions)
    assert holder == TAKES_OVER or set(versions.values()) == {NEW}  # any of them runs the same version then
    found = found_breaches(world)
    assert not found, found[:5]
    assert not contradicted(world.log)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_cancellation_that_this_version_only_answers_holds(former, seed):
    """Guards against `went_back` by a holder of the version in production, after an answer of this version."""
    world, holder = play_failover(seed, roles(former, former, NEW))
    assert holder == TAKES_OVER
    answered = {row[3] for row in world.log if row[1] == "told" and row[5] == "withdrawn" and row[7] == ANSWERS}
    assert answered & {row[3] for row in world.log if row[1] == "told" and row[2] == "cancel"}
    assert not contradicted(world.log, by_new_only=True)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("confirms", ["n0", "n2"])
@pytest.mark.parametrize("new", ["n0", "n2"])
def test_a_cancellation_holds_if_one_of_the_two_controllers_left_runs_this_version(former, seed, confirms, new):
    """Guards against `went_back` with three controllers, of which the one that confirms may also take over."""
    world, holder = play_failover(seed, {**dict.fromkeys(("n0", "n1", "n2"), former), new: NEW}, confirms)
    assert holder in ("n0", "n2")
    assert not contradicted(world.log, by_new_only=True)
    if new in (confirms, holder):
        found = found_breaches(world)
        assert not found, found[:5]


def test_processes_of_the_version_in_production_alone_take_a_confirmed_cancellation_back(former):
    """Shows that the failover is the incident's; nothing in this version can prevent it."""
    taken_back = []
    for seed in SEEDS:
        world, holder = play_failover(seed, dict.fromkeys(("n0", "n1", "n2"), former))
        assert holder == TAKES_OVER
        assert not contradicted(world.log, by_new_only=True)
        taken_back.append(len(contradicted(world.log)))
    assert all(taken_back), taken_back
