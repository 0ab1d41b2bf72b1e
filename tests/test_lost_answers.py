"""Transactions that are committed while only their answers are lost, and a stream of single-task jobs."""

import json
from collections import Counter
from functools import partial

import pytest

from simulation.checker import StarvationDetector, all_breaches, starts_after_cancellation
from simulation.world import World
from tests.test_answers import ask, small
from tests.test_hand_overs import GANG, LONG, SERVICE, run
from tests.test_scenarios import JOB
from tests.test_troubles import ZONES

LIVE = "tidebend/live/"
WRITTEN_AT_START = ("team/", "format", "reads/")  # written when a controller starts
KINDS = ("job/", "head/", "part/", "block/", "leader", "node/", "quota/", "team/", "format", "reads/", "zone/")


def lose_answers(world, wanted):
    """Lose the answers to the changes of the key-value store for which `wanted` is true; return their counter."""
    lost, original = Counter(), World.from_controller

    def from_controller(node, version, address, method, path, body):
        answer = original(world, node, version, address, method, path, body)
        if address == ("state", 1) and method == "POST" and answer[0] == 200 and wanted(path, body):
            lost["all"] += 1
            raise version.no_answer("only the answer is lost")
        return answer

    world.from_controller = from_controller
    return lost


def writes(kind):
    if kind == "leases":
        return lambda path, body: path.startswith("/grants")
    start = "tidebend/final/" if kind == "finals" else LIVE + kind
    return lambda path, body: (
        path == "/multi" and any((row.get("put") or row["delete"]).startswith(start) for row in body["writes"])
    )


def submit_mixed_jobs(world):
    world.submit("req-a", **{**JOB, "pieces": 12, "run_s": 6.0, "vcpus": 1.0})
    world.submit("req-large", **{**JOB, "pieces": 3000, "vcpus": 0.01, "memoryGb": 0.01, "run_s": 3.0})
    world.submit("req-b", **{**JOB, "awaits": ["req-a"], "run_s": 3.0})
    world.submit("req-g", **{**JOB, **GANG, "run_s": 10.0})
    world.submit("req-v", **{**JOB, **SERVICE})
    world.submit("req-l", **{**JOB, **LONG})


@pytest.mark.parametrize("kind", [*KINDS, "finals", "leases"])
def test_only_the_answers_are_lost_while_others_read_what_was_written(kind):
    """The retry finds its own write, neither undoes it nor claims anything twice, while users poll every controller."""
    lost = []

    def prepare(world):
        lost.append(lose_answers(world, writes(kind)))
        world.scheduled_actions.append(
            (world.now + (8.0 if kind in WRITTEN_AT_START else 0.0), lambda: vars(world).pop("from_controller"))
        )

    for world in small(1, prepare=prepare):
        world.concurrent_requests_until = world.now + 40.0
        starvation = StarvationDetector(world)
        submit_mixed_jobs(world)
        for number in range(5):
            run(world, (0.0, 0.5, 3.0, 3.0, 3.0)[number])
            if kind in ("block/", "leader", "node/", "zone/", "leases", "reads/"):
                world.crash(world.nodes[number % 3], (0.3, 6.0)[number % 2])
            lost.append(lose_answers(world, writes(kind)))
            run(world, (2.0, 6.0)[number % 2])
            del world.from_controller
            if number == 2:
                world.cancel("req-l")
        run(world, 100.0, starvation)
        assert not all_breaches(world, starvation)
        cancelled = {row[3] for row in world.log if row[1:3] == ("asked", "cancel")}  # also by users who poll closely
        expected = {"req-a": "done", "req-large": "done", "req-g": "done", "req-v": "running"}
        for name in expected.keys() - cancelled:
            assert world.user("poll", name)[1] == expected[name], name
        for name in cancelled:
            assert world.user("poll", name)[1] in ("withdrawn", "done")
        assert "req-b" in cancelled or world.user("poll", "req-b")[1] == world.user("poll", "req-a")[1]
        assert sum(row["all"] for row in lost) > 0


@pytest.mark.parametrize("action", ["submit", "cancel"])
def test_a_users_request_whose_answer_from_the_state_is_lost_is_answered_by_what_was_written(action):
    for world in small(2):
        if action == "cancel":
            ask(world, "submit", "req-x", "n1")
        lost = lose_answers(world, lambda path, body: path == "/multi" and "req-x" in json.dumps(body))
        status, state = ask(world, action, "req-x", "n0")
        del world.from_controller
        assert lost["all"] == 1
        assert (status, state) in (((200, "queued"),) if action == "submit" else ((503, None), (200, "withdrawn")))
        expected = "queued" if action == "submit" else "withdrawn"
        for node in world.nodes:
            assert ask(world, "poll", "req-x", node) == (200, expected)
            assert ask(world, action, "req-x", node) == (200, expected)


def test_jobs_of_one_task_four_a_second_for_minutes():
    """A quarter of them is cancelled, at any stage. The changes to the key-value store per job are bounded, and so is
    what controllers keep about finished jobs."""
    for world in small(3, limits={"rps": 120.0, "write_rps": 30.0, "txn_ops": 16}):
        for zone in ZONES:
            world.cloud.capacity["box", zone, False] = 12
            for _ in range(6):
                world.cloud.add("box", zone, False, -50.0)
        run(world, 10.0)
        starvation, asked = StarvationDetector(world), 0
        before, began = Counter(world.state.counts), world.now
        for _ in range(150):
            for number in range(asked, asked + 4):
                world.submit(f"req-{number}", **{**JOB, "vcpus": 1.0, "run_s": 5.0})
                if number % 4 == 0:
                    name = f"req-{number}"
                    delay = (0.3, 2.0, 5.0, 8.0)[number // 4 % 4]
                    world.scheduled_actions.append((world.now + delay, partial(world.cancel, name)))
            asked += 4
            run(world, 1.0, starvation)
            # Users stop polling finished jobs.
            for name in [name for name in world.polls if world.answers[name][1] in ("done", "withdrawn")]:
                del world.polls[name]
        changes = (world.state.counts["changes"] - before["changes"]) / asked
        conflicts = (world.state.counts["conflicts"] - before["conflicts"]) / asked
        run(world, 60.0, starvation)
        answers = Counter(world.answers[f"req-{n}"][1] for n in range(asked))
        assert set(answers) == {"done", "withdrawn"}
        assert answers["done"] > 0.6 * asked
        polls = [row[4] for row in world.log if row[1:3] == ("told", "poll")]
        assert polls.count(200) > 0.97 * len(polls)
        assert changes < 4.5, (changes, conflicts)
        assert conflicts < 0.3, (changes, conflicts)
        for controller in world.controllers.values():
            assert len(controller.job_cache.jobs) < 3
            assert not controller.job_cache.machines_with_allocations() - world.workers.keys()
            # No request is in flight between steps, so that only tombstones of the newest read are kept.
            assert len(controller.cache._tombstones) <= 20, len(controller.cache._tombstones)
            assert len(controller.scheduling_loop.claim_stagger._since) < 3
            assert len(controller.scheduling_loop.allocator.last_allocation) < 3
            assert len(controller.autoscaler.cancelled_work._cancellations) < 3
            assert len(controller.autoscaler.cancelled_work._locations) < 3
            assert len(controller.scheduling_loop.completions.recorder._waiting_since) < 3
        late_starts_s = [after for _, after in starts_after_cancellation(world.log)]
        assert len(late_starts_s) <= 0.02 * asked, late_starts_s
        assert max(late_starts_s, default=0.0) < 2.0, late_starts_s
        assert world.now - began > 200.0
        assert not all_breaches(world, starvation)
