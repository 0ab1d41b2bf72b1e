"""Monotonic answers: users poll, resubmit and cancel at every controller while requests to the store are in flight."""

import itertools
import random
import threading

import pytest

from simulation.checker import StarvationDetector, all_breaches, breaches
from simulation.world import World
from tests.test_guards import TYPES
from tests.test_scenarios import JOB
from tests.test_troubles import TEAMS, ZONES, busy_world
from tidebend.controller.api.job_api import JobApi
from tidebend.kvclient import WatchCache

ACTIONS = ("submit", "poll", "cancel")
INVALID_FIELDS = {
    "lacks a field": {"vcpus": None},
    "fits no machine": {"vcpus": 900.0},
    "no such team": {"crew": "nobody"},
    "beyond the limit": {"shape": "group", "pieces": 5000},
    "no such shape": {"shape": "heap"},
}


def small(seed, teams=TEAMS, prepare=lambda world: None, **named):
    """Yield a world with two machines in each of three zones and a first job; its clock runs until the test ends."""
    random.seed(seed)
    world = World(seed, ZONES, teams, [{**TYPES[0], "harbors": ZONES}], **named)
    for zone in ZONES:
        world.cloud.capacity["box", zone, False] = 4
        for _ in range(2):
            world.cloud.add("box", zone, False, -50.0)
    prepare(world)
    world.submit("req-first", **{**JOB, "crew": teams[0]["name"], "run_s": 2.0})
    with world.clock():
        for _ in range(150):
            world.step()
        yield world


def ask(world, action, name, node):
    if action == "cancel":
        world.log.append((world.now, "asked", "cancel", name, None))
    elif action == "submit" and name not in world.jobs:
        world.jobs[name] = {"id": name, **JOB}
        world.log.append((world.now, "asked", "submit", name, dict(world.jobs[name])))
    return world.user(action, name, node)


def pairs(world):
    """Run each pair of actions: one at n0, the other at n1 while n0's n-th request to the store is in flight.

    Afterwards poll and resubmit the job at every controller.
    """
    number = 0
    for first, second, known, when, committed in itertools.product(
        ACTIONS, ACTIONS, (False, True), range(3), (False, True)
    ):
        name, left, number = f"req-{number}", [when], number + 1
        if known:
            ask(world, "submit", name, "n2")

        def meanwhile(node, method, path, body, carried_out, left=left, name=name, second=second, committed=committed):
            if node == "n0" and carried_out == committed and left:
                left[0] -= 1
                if left[0] < 0:
                    left.clear()
                    ask(world, second, name, "n1")

        world.during_store_request = meanwhile
        ask(world, first, name, "n0")
        del world.during_store_request
        for node in world.nodes:
            ask(world, "poll", name, node)
            ask(world, "submit", name, node)


def test_no_pair_of_requests_at_two_controllers_is_answered_by_something_older():
    for world in small(1):
        pairs(world)
        assert len(world.log) > 500
        assert not breaches(world.log, world.jobs, TEAMS, world.cancel_s, world.completed)


def test_answers_from_the_cache_without_a_read_are_older(monkeypatch):
    """Without the read barrier, the scenario of the test above breaks a rule."""
    monkeypatch.setattr(JobApi, "find", JobApi._answer_from_cache)
    for world in small(1):
        pairs(world)
        assert breaches(world.log, world.jobs, TEAMS, world.cancel_s, world.completed)


@pytest.mark.parametrize("seed", range(4))
def test_what_meets_the_end_of_a_jobs_last_task_is_answered_once_and_for_all(seed):
    """All controllers give the same final answer, done or withdrawn, around the end and while it is recorded."""
    for world in small(seed):
        rng, shapes = random.Random(seed), ({"pieces": 1}, {"pieces": 3}, {"shape": "group", "pieces": 2})
        for number in range(9):
            world.submit(f"req-{number}", **{**JOB, **shapes[number % 3], "run_s": 4.0 + 0.4 * number, "vcpus": 1.0})
        asking = []

        def meanwhile(*_, world=world, asking=asking, rng=rng):
            ending = [
                name
                for name in world.jobs
                if world.done_tasks.get(name) == world.jobs[name]["pieces"]
                and world.now - world.last_done[name] < 2.5
                and name in world.polls
            ]
            if asking or not ending or rng.random() < 0.7:
                return
            asking.append(True)
            ask(
                world,
                rng.choice(("poll", "submit", "poll", "cancel")),
                rng.choice(ending),
                rng.choice(world.nodes),
            )
            asking.clear()

        world.during_store_request = meanwhile
        starvation = StarvationDetector(world)
        for number in range(1200):
            world.step()
            if number % 10 == 0:
                starvation.check()
        del world.during_store_request
        assert not all_breaches(world, starvation)
        assert {world.user("poll", name)[1] for name in world.jobs} <= {"done", "withdrawn"}


@pytest.mark.parametrize("odd", INVALID_FIELDS)
def test_what_was_accepted_is_known_whatever_a_repeats_body_says(odd):
    """A controller that has not read the job yet must not answer 400 to a resubmission that lacks a field."""
    for world in busy_world(1, 1.0, 10.0):
        world.jobs["req-b"] = {"id": "req-b", **JOB}
        world.log.append((world.now, "asked", "submit", "req-b", {}))
        assert world.user("submit", "req-b", "n0")[0] == 201
        body = {
            key: value for key, value in {**world.jobs["req-b"], **INVALID_FIELDS[odd]}.items() if value is not None
        }
        for node in world.nodes:
            if node == "n2":
                world.controllers[node].autoscaler.machine_types.by_name = {}
            assert world.user("submit", "req-b", node, body)[0] in (200, *[503] * (node == "n2"))
        assert world.user("submit", "req-c", "n1", {**body, "id": "req-c"})[0] in (400, 422)
        world.state.refuses["n1"] = world.now + 5.0  # n1 cannot know whether the job was accepted
        assert world.user("submit", "req-c", "n1", {**body, "id": "req-c"})[0] == 503


def test_a_first_submission_is_answered_by_what_is_known_by_then():
    """The answer shows what other controllers did to the job while the transaction was in flight, not always queued."""
    for world in busy_world(1, 1.0, 10.0):
        first = world.controllers["n0"]

        def meanwhile(node, method, path, body, carried_out, first=first, world=world):
            if carried_out and node == "n0" and path == "/multi" and "req-b" in str(body):
                del world.during_store_request
                ask(world, "cancel", "req-b", "n1")
                first.cache.catch_up(0.0, "claim")

        world.during_store_request = meanwhile
        assert ask(world, "submit", "req-b", "n0") == (201, "withdrawn")


def test_a_write_whose_answer_a_read_has_overtaken_does_not_come_back():
    """A full read reports no deletions: a job written and deleted during it must not reappear in the cache."""
    known = {}

    class State:
        def transact(self, conditions, writes, kind, retry_for_s):
            cache.catch_up(0.0, "claim")  # at revision 9: the job was written at 5 and deleted at 7
            return 5

        def items(self, prefix, after):
            return [], False, 9

    cache = WatchCache(State(), lambda key, value, version: known.update({key: value}), threading.RLock(), 1.0, 1.0)
    cache.write({}, [("tidebend/live/job/req-a", {"spec": 1}, None)])
    assert cache.get("tidebend/live/job/req-a") == (None, 0)
    assert not known
