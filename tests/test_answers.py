"""No answer grows older: users ask everywhere, repeat and cancel while requests to the state are under way."""

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
ODD = {
    "lacks a field": {"vcpus": None},
    "fits no machine": {"vcpus": 900.0},
    "no such team": {"crew": "nobody"},
    "beyond the limit": {"shape": "group", "pieces": 5000},
    "no such shape": {"shape": "heap"},
}


def small(seed, teams=TEAMS, prepare=lambda world: None, **named):
    """Two machines in each of three zones, and a first job; its clock runs until the test is over."""
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
    """Each action at one controller, each at another while the first one's n-th request to the state is under way, and
    questions to all afterwards."""
    number = 0
    for first, second, known, when, carried in itertools.product(
        ACTIONS, ACTIONS, (False, True), range(3), (False, True)
    ):
        name, left, number = f"req-{number}", [when], number + 1
        if known:
            ask(world, "submit", name, "n2")

        def meanwhile(node, method, path, body, carried_out, left=left, name=name, second=second, carried=carried):
            if node == "n0" and carried_out == carried and left:
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
    """The guard of the test above taken out."""
    monkeypatch.setattr(JobApi, "find", JobApi._answer_from_cache)
    for world in small(1):
        pairs(world)
        assert breaches(world.log, world.jobs, TEAMS, world.cancel_s, world.completed)


@pytest.mark.parametrize("seed", range(4))
def test_what_meets_the_end_of_a_jobs_last_task_is_answered_once_and_for_all(seed):
    """Done or withdrawn, one of them, everywhere: asked at all instants around the end, also while it is recorded."""
    for world in small(seed):
        chance, shapes = random.Random(seed), ({"pieces": 1}, {"pieces": 3}, {"shape": "group", "pieces": 2})
        for number in range(9):
            world.submit(f"req-{number}", **{**JOB, **shapes[number % 3], "run_s": 4.0 + 0.4 * number, "vcpus": 1.0})
        asking = []

        def meanwhile(*_, world=world, asking=asking, chance=chance):
            ending = [
                name
                for name in world.jobs
                if world.done_tasks.get(name) == world.jobs[name]["pieces"]
                and world.now - world.last_done[name] < 2.5
                and name in world.polls
            ]
            if asking or not ending or chance.random() < 0.7:
                return
            asking.append(True)
            ask(
                world,
                chance.choice(("poll", "submit", "poll", "cancel")),
                chance.choice(ending),
                chance.choice(world.nodes),
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


@pytest.mark.parametrize("odd", ODD)
def test_what_was_accepted_is_known_whatever_a_repeats_body_says(odd):
    """A repeat that lacked a field was answered 400 by controllers that hadn't read of the job yet."""
    for world in busy_world(1, 1.0, 10.0):
        world.jobs["req-b"] = {"id": "req-b", **JOB}
        world.log.append((world.now, "asked", "submit", "req-b", {}))
        assert world.user("submit", "req-b", "n0")[0] == 201
        body = {key: value for key, value in {**world.jobs["req-b"], **ODD[odd]}.items() if value is not None}
        for node in world.nodes:
            if node == "n2":
                world.controllers[node].autoscaler.machine_types.by_name = {}
            assert world.user("submit", "req-b", node, body)[0] in (200, *[503] * (node == "n2"))
        assert world.user("submit", "req-c", "n1", {**body, "id": "req-c"})[0] in (400, 422)
        world.state.refuses["n1"] = world.now + 5.0  # it can't know whether it was accepted
        assert world.user("submit", "req-c", "n1", {**body, "id": "req-c"})[0] == 503


def test_a_first_submission_is_answered_by_what_is_known_by_then():
    """It was called queued, whatever others had made of it while its transaction was under way."""
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
    """A whole read tells of no deletions: a job that had been submitted meanwhile, and was over, came back for good."""
    known = {}

    class State:
        def transact(self, conditions, writes, kind, retry_for_s):
            cache.catch_up(0.0, "claim")  # as of 9: the job was written at 5 and deleted at 7
            return 5

        def items(self, prefix, after):
            return [], False, 9

    cache = WatchCache(State(), lambda key, value, version: known.update({key: value}), threading.RLock(), 1.0, 1.0)
    cache.write({}, [("tidebend/live/job/req-a", {"spec": 1}, None)])
    assert cache.get("tidebend/live/job/req-a") == (None, 0)
    assert not known
