"""Cancellations that a zone's holder confirms before it hears that the last tasks have ended, without a failover.

The holder records the ends afterwards, and all controllers answer users. The version in production records such jobs as
done. Whether this version holds the zone or answers, what it has called cancelled must stay so.
"""

import random

import pytest

from simulation.checker import breaches, contradicted
from simulation.world import NEW, World
from tests.test_cancelled_in_failovers import BOX, JOBS, TEAM, ZONES, run_s
from tests.test_scenarios import JOB

HOLDER, OTHERS = "n1", ("n0", "n2")
JOBS_OF_EACH_KIND = 16
RUN_S = 6.0
SEEDS = (1, 2, 3)


class HearingWorld(World):
    """Notes when a job's last end is first reported to a controller, as an index of the log."""

    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.heard_at = {}

    def to_controller(self, machine, node, method, path, body):
        for row in body["pieces"] if machine else ():
            job = row["piece"].partition("/")[0]
            if self.done_tasks.get(job) == self.jobs[job]["pieces"]:
                self.heard_at.setdefault(job, len(self.log))
        return super().to_controller(machine, node, method, path, body)


def play_cancellations(seed, holder, others):
    """Cancel jobs through the holder of their zone as their last tasks end.

    `holder`, `others`: the versions of the zone's holder and of the other controllers. Returns the world and the jobs
    whose cancellation was confirmed before the holder heard that all their tasks had ended well.
    """
    random.seed(seed)
    world = HearingWorld(seed, ZONES, [TEAM], [BOX])
    world.versions.update({HOLDER: holder, **dict.fromkeys(OTHERS, others)})
    world.cloud.capacity.update({("box", zone, spot): 0 for zone in ZONES for spot in (False, True)})
    for _ in range(8):
        world.cloud.add("box", "south", False, -50.0)
    world.cancelled_through = HOLDER
    with world.clock():
        run_s(world, 8.0)
        world.cancelled_at_end.append((world.now + 60.0, 1.0))
        for number in range(JOBS_OF_EACH_KIND):
            for kind, job in JOBS.items():
                world.submit(f"req-{kind}-{number}", **{**JOB, "harbor": "south", "run_s": RUN_S, **job})
            run_s(world, 1.0)
        run_s(world, 30.0)
        for name in world.jobs:
            for node in world.nodes:
                world.user("poll", name, node)
    assert {row[0]["holder"] for key, row in world.state.items.items() if key.endswith("block/south.0")} == {HOLDER}
    confirmed_at = {}
    for index, row in enumerate(world.log):
        if row[1:3] == ("told", "cancel") and row[5] == "withdrawn":
            assert row[7] == HOLDER
            confirmed_at.setdefault(row[3], index)
    cases = {name for name, index in confirmed_at.items() if index < world.heard_at.get(name, -1)}
    # otherwise the case hasn't occurred
    assert len(cases) >= len(JOBS) * JOBS_OF_EACH_KIND // 4
    return world, cases


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("others", ["old", "new"])
def test_a_cancellation_that_this_version_confirms_as_holder_is_not_undone_by_ends_heard_later(former, seed, others):
    """Guards against `went_back` in answers of controllers of either version, without a failover."""
    world, _ = play_cancellations(seed, NEW, {"old": former, "new": NEW}[others])
    found = breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)
    assert not found, found[:5]
    assert not contradicted(world.log)


@pytest.mark.parametrize("seed", SEEDS)
def test_what_this_version_answers_holds_though_the_holder_in_production_hears_the_ends_later(former, seed):
    """Guards against `went_back` after an answer of this version beside a holder of the version in production."""
    world, _ = play_cancellations(seed, former, NEW)
    answered = {row[3] for row in world.log if row[1] == "told" and row[5] == "withdrawn" and row[7] in OTHERS}
    assert answered
    assert not contradicted(world.log, by_new_only=True)


def test_a_holder_in_production_alone_takes_back_what_it_has_confirmed(former):
    """Shows that the order is the incident's; nothing in this version can prevent it."""
    for seed in SEEDS:
        world, cases = play_cancellations(seed, former, former)
        assert not contradicted(world.log, by_new_only=True)
        assert contradicted(world.log) & cases
