"""Cancellations, quota limits, old reports and new machines during a change of shard holder or leader."""

import random

import pytest

from simulation.checker import StarvationDetector, all_breaches
from simulation.links import Cut
from simulation.play import cut_zone
from simulation.search import TIMES
from tests.test_answers import small
from tests.test_meetings import leader_of
from tests.test_scenarios import JOB
from tidebend.controller.autoscaling.cancelled_work import CancelledWorkReaper

SERVICE = {"shape": "service", "pieces": 2, "reckonS": 0.0, "driftwood": False, "vcpus": 1.0}
LONG = {"pieces": 4, "run_s": 300.0, "vcpus": 1.0}
GANG = {"shape": "group", "pieces": 2, "run_s": 200.0, "vcpus": 1.0, "markS": 5.0, "stowS": 2.0}


def run(world, seconds, starvation=None, on_step=lambda: None):
    until = world.now + seconds
    while world.now < until:
        on_step()
        world.step()
        if starvation is not None and world.ticks % 10 == 0:
            starvation.check()


def times(row):
    return dict(zip(("report_s", "lease_s", "cancel_s"), row, strict=True))


def outage(world, seconds):
    world.state.down(world.now + seconds)


def refused(world, seconds):
    world.state.refuses[leader_of(world)] = world.now + min(seconds, 14.0)
    world.hang_watch(leader_of(world))


def refused_then_outage(world, seconds):
    refused(world, seconds)
    world.scheduled_actions.append((world.now + 1.0, lambda: outage(world, seconds)))


def alone(world, seconds):
    node = leader_of(world)
    world.cuts += [Cut(node, side, world.now + seconds, True) for side in ("state", "peers")]


def ends(world, seconds):
    world.crash(leader_of(world), 3.0)


def end_one_after_the_other(world, seconds):
    """Crash each new holder shortly before it declares lost the machines that never reported to it."""
    for number in range(3):
        world.scheduled_actions.append(
            (
                world.now + 0.5 + number * 0.85 * world.lease_s,
                lambda: world.crash(world.holder("west"), 0.3 * world.lease_s),
            )
        )


TROUBLES = {
    trouble.__name__: trouble
    for trouble in (outage, refused, refused_then_outage, alone, ends, end_one_after_the_other)
}


def cancelled_and_hanging(row, share, trouble, seed=1):
    """Return the broken rules if jobs are cancelled as their machines hang for `share` times `cancel_s`."""
    for world in small(seed, **times(row)):
        for number in range(6):
            world.submit(f"req-{number}", **{**JOB, **(SERVICE, LONG, GANG)[number % 3], "crew": "team"})
        starvation = StarvationDetector(world)
        run(world, 25.0)
        hang_s = share * world.cancel_s
        assert len(world.cancel_now(4, hang_s)) == 4
        run(world, 0.5)  # confirmed
        TROUBLES[trouble](world, hang_s + 8.0)
        run(world, hang_s + 8.0 + 100.0, starvation)
        return all_breaches(world, starvation)
    return None


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("share", [0.2, 0.5, 1.5])
@pytest.mark.parametrize("row", TIMES, ids=lambda row: f"{row[1]:g} s")
def test_what_is_cancelled_on_a_machine_that_hangs_is_gone_in_time(row, share, trouble):
    """A cancelled task ends by a stop command, its lease or its machine's release, also during an outage, in which no
    controller holds a lease."""
    assert not cancelled_and_hanging(row, share, trouble)


def test_without_a_release_in_the_outage_it_goes_on(monkeypatch):
    monkeypatch.setattr(CancelledWorkReaper, "release_unresponsive", lambda *_: None)
    assert {found[0] for found in cancelled_and_hanging(TIMES[0], 1.5, "outage")} == {"ran_cancelled"}


def test_a_machine_is_released_once_though_its_claims_cannot_be_recorded():
    """While the store is down, repeated releases would use up the cloud calls that scale-out needs."""
    for world in small(1):
        world.submit("req-0", **{**JOB, **SERVICE})
        run(world, 20.0)
        world.cancel_now(1, 100.0)
        run(world, 0.5)
        outage(world, 70.0)
        asked, original = [], world.cloud.call

        def call(node, method, path, body, asked=asked, original=original):
            asked.extend(body["fleet"] if path == "/machines/release" else ())
            return original(node, method, path, body)

        world.cloud.call = call
        hung = {worker.name for worker in world.workers.values() if worker.hung_until > world.now}
        run(world, 65.0)
        assert hung
        assert set(asked) >= hung
        assert len(asked) <= 2 * len(set(asked))


TWO = [
    {"name": "team", "cpus": 8.0, "cpus_max": 12.0, "gpus": 0.0, "gpus_max": 0.0},
    {"name": "other", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0},
]


@pytest.mark.parametrize("trouble", ["refused", "alone", "ends", "end_one_after_the_other", "outage"])
@pytest.mark.parametrize("how", ["hang", "cut off", "zone"])
def test_every_team_at_its_limit_and_what_is_cancelled_cannot_be_asked(how, trouble):
    """Quota of cancelled tasks stays in use until they are known to have ended, and is then available again."""
    for world in small(3, TWO):
        for number in range(4):
            world.submit(f"req-{number}", **{**JOB, **LONG, "crew": ("team", "other")[number % 2], "pieces": 6})
        for number in range(4, 10):
            world.submit(
                f"req-{number}",
                **{**JOB, "crew": ("team", "other")[number % 2], "pieces": 3, "vcpus": 2.0, "run_s": 8.0},
            )
        starvation = StarvationDetector(world)
        run(world, 20.0)
        used = {
            team["name"]: sum(
                task.state == "running" and world.jobs[key.partition("/")[0]]["vcpus"]
                for worker in world.workers.values()
                for key, task in worker.tasks.items()
                if world.jobs[key.partition("/")[0]]["crew"] == team["name"]
            )
            for team in TWO
        }
        assert used == {"team": 12.0, "other": 8.0}
        seconds = 1.3 * world.lease_s
        there = [worker for worker in world.workers.values() if worker.zone == "west"]
        for worker in there:
            if how == "hang":
                worker.hung_until = world.now + seconds
            elif how == "cut off":
                world.mute[worker.name] = world.deaf[worker.name] = world.now + seconds
        if how == "zone":
            cut_zone(world, "west", seconds, True)
        for name in ("req-0", "req-1"):
            world.cancel(name)
        run(world, 0.3)
        TROUBLES[trouble](world, seconds)
        run(world, 150.0, starvation)
        assert not all_breaches(world, starvation)
        assert {world.user("poll", f"req-{number}")[1] for number in range(4, 10)} == {"done"}


@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_jobs_are_cancelled_while_work_changes_hands(seed, planned):
    """Cancel at any time around the handover, at any controller, also while the old holder has requests in flight."""
    for world in small(seed):
        node = world.holder("west")
        if planned:  # handed over while the old holder is alive, as the shard's home controller returns
            world.crash(node, 25.0)
            run(world, 20.0)
        names = [f"req-{number}" for number in range(16)]
        for number, name in enumerate(names):
            world.submit(name, **{**JOB, **(LONG, SERVICE, GANG)[number % 3], "vcpus": 0.5, "harbor": "west"})
        run(world, 4.0)
        world.held_up.append((world.now + 12.0, 0.4))
        if not planned:
            world.crash(node, 3.0)
        chance = random.Random(seed)

        def cancel(names=names, world=world, chance=chance):
            if names and chance.random() < 0.15:
                world.cancel(names.pop())

        starvation = StarvationDetector(world)
        run(world, 18.0, on_step=cancel)
        run(world, 110.0, starvation)
        assert not all_breaches(world, starvation)
        left = {
            key.partition("/")[0]
            for worker in world.workers.values()
            for key, task in worker.tasks.items()
            if task.state != "ended"
        }
        assert not [name for name in left if world.answers[name][1] == "withdrawn"]


@pytest.mark.parametrize("boot_s", [0.1, 1.0, 2.0])
@pytest.mark.parametrize("writes", ["late_writes", "slow", "lost_answers"])
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(boot_s, writes):
    """The new leader meets machines missing from the inventory, and machine requests and claims of unknown outcome."""
    for seed in range(2):
        for world in small(seed):
            world.types[0]["startupS"] = boot_s
            world.submit("req-a", **{**JOB, "pieces": 30, "run_s": 15.0})
            world.submit("req-g", **{**JOB, **GANG, "vcpus": 6.0, "run_s": 20.0})
            getattr(world, writes).append((world.now + 10.0, 0.5))
            starvation = StarvationDetector(world)
            run(world, 2.0 + 0.5 * seed)
            world.crash(leader_of(world), 4.0)
            run(world, 150.0, starvation)
            assert not all_breaches(world, starvation)
            assert {world.answers[name][1] for name in ("req-a", "req-g")} == {"done"}


@pytest.mark.parametrize("kept", ["copies", "held back", "of a former session", "of a former attempt"])
@pytest.mark.parametrize("away", [0.1, 4.0])
def test_old_reports_reach_every_controller_just_as_a_new_leader_begins(kept, away):
    for world in small(2):
        for number in range(5):
            world.submit(f"req-{number}", **{**JOB, **(LONG, GANG, SERVICE)[number % 3], "run_s": 40.0})
        run(world, 8.0)
        reports = [worker.body() for worker in world.workers.values()]
        if kept == "held back":  # the reports first arrive at the new leader
            world.mute.update(dict.fromkeys(world.workers, world.now + 3.0))
        elif kept == "of a former session":
            world.mute.update(dict.fromkeys(list(world.workers)[::2], world.now + 1.1 * world.lease_s))
            run(world, 1.5 * world.lease_s)
        elif kept == "of a former attempt":
            for worker in list(world.workers.values())[::2]:
                worker.sick_until = world.now + 1.0
                for key, task in worker.tasks.items():
                    if task.state == "running":
                        worker.finish(key, "error")
            run(world, 12.0)
        starvation = StarvationDetector(world)
        for _ in range(3):
            world.retained_reports += reports
            world.crash(leader_of(world), away)
            run(world, 8.0)
            assert not world.retained_reports
        run(world, 120.0, starvation)
        assert not all_breaches(world, starvation)
        assert {world.answers[f"req-{number}"][1] for number in (0, 1, 3, 4)} == {"done"}


@pytest.mark.parametrize("within", ["", "an outage", "all away"])
def test_leaders_change_ten_times_in_two_minutes(within):
    for world in small(4):
        for number in range(8):
            world.submit(f"req-{number}", **{**JOB, **(LONG, GANG, SERVICE)[number % 3], "run_s": 30.0, "vcpus": 0.5})
        starvation = StarvationDetector(world)
        run(world, 5.0)
        for number in range(10):
            if within == "an outage" and number == 4:
                outage(world, 20.0)
            if within == "all away" and number == 4:
                for node in world.nodes:
                    world.crash(node, 1.3 * world.lease_s)
            leader = world.state.items.get("tidebend/live/leader")
            world.crash(leader[0]["node"] if leader else world.nodes[number % 3], (0.1, 3.0, 6.0)[number % 3])
            if number in (2, 5):
                world.cancel(f"req-{number}")
            run(world, 12.0)
        run(world, 120.0, starvation)
        assert not all_breaches(world, starvation)
        assert {world.answers[f"req-{number}"][1] for number in (0, 1, 3, 4, 6, 7)} == {"done"}
        assert {world.answers[f"req-{number}"][1] for number in (2, 5)} == {"withdrawn"}


@pytest.mark.parametrize("lost", ["machines", "zone", "zone and leader"])
def test_jobs_bound_to_one_zone_wait_for_it_and_run_again_there(lost):
    for world in small(5):
        bound = {
            "req-a": {"pieces": 6, "run_s": 30.0, "vcpus": 1.0, "harbor": "south"},
            "req-s": {"pieces": 4, "run_s": 30.0, "vcpus": 1.0, "samePlace": True},
            "req-g": {**GANG, "run_s": 30.0, "samePlace": True, "harbor": "south"},
            "req-v": {**SERVICE, "harbor": "south"},
        }
        for name, spec in bound.items():
            world.submit(name, **{**JOB, **spec})
        starvation = StarvationDetector(world)
        run(world, 10.0)
        if lost == "machines":
            for name in [name for name, worker in world.workers.items() if worker.zone == "south"]:
                world.workers.pop(name).lose_all()
        else:
            cut_zone(world, "south", 2.5 * world.lease_s, True)
            if lost == "zone and leader":
                world.crash(leader_of(world), 6.0)
        run(world, 180.0, starvation)
        assert not all_breaches(world, starvation)
        assert {world.answers[name][1] for name in ("req-a", "req-s", "req-g")} == {"done"}
        assert world.answers["req-v"][1] == "running"


def test_more_work_than_room_urgent_and_not_over_slow_links():
    """Polls are answered throughout, and every job completes."""
    for world in small(6):
        for number in range(20):
            world.submit(
                f"req-{number}",
                **{**JOB, "rank": ("standard", "urgent", "best_effort")[number % 3], "pieces": 6, "run_s": 8.0},
            )
        for number in range(3):
            world.submit(f"req-v{number}", **{**JOB, **SERVICE, "rank": "critical"})
        world.slow.append((world.now + 60.0, 0.3))
        world.held_up.append((world.now + 60.0, 0.3))
        starvation = StarvationDetector(world)
        began = len(world.log)
        run(world, 60.0, starvation)
        polls = [row[4] for row in world.log[began:] if row[1:3] == ("told", "poll")]
        assert polls.count(200) > 0.6 * len(polls) > 100
        run(world, 150.0, starvation)
        assert not all_breaches(world, starvation)
        assert {world.answers[f"req-{number}"][1] for number in range(20)} == {"done"}
