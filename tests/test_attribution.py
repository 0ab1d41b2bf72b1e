"""For each broken rule the judge names the processes that sent, answered or recorded what broke it."""

from types import SimpleNamespace

import pytest

from simulation.attribution import attribute
from simulation.checker import FoundBreach, find_breaches
from simulation.provenance import LATE_COPY, Process, Provenance, Source
from simulation.search import play, play_with
from simulation.versions import at
from tests.test_checker import TEAMS, VIOLATIONS
from tests.test_final_states import PATCH_RELEASE
from tests.test_scenarios import JOB
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import JOB_PREFIX, Job
from tidebend.kvclient import FINAL
from tidebend.protocol import parse_job

JOBS = {"req-a": {"id": "req-a", **JOB, "pieces": 4, "driftwood": False, "spread": True}}
FORMER, CURRENT = Process("n0", False), Process("n1", True)


def record(*allocations):
    return Job("req-a", 1, parse_job({**JOB, "pieces": 4}), 0.0, allocations=allocations).pack()


def allocation(task, machine):
    return Allocation(machine, 1, 1, 1 << task, 0.0, "north")


class FakeWorld:
    """A log and its provenance, without a simulation."""

    def __init__(self, log):
        self.log, self.jobs, self.provenance = log, JOBS, Provenance()

    def start(self, task, machine, process, at, way="direct"):
        with self.provenance.carrying_out(Source(process, at, way)):
            self.provenance.note_start(at, machine, f"req-a/{task}", 1, 7)
        self.log.append((at, "on", f"req-a/{task}", 1, machine, "north", "box", False))

    def forget(self, task, machine, process, at):
        with self.provenance.carrying_out(Source(process, at)):
            self.provenance.note_forgotten(at, machine, f"req-a/{task}", 1)

    def write(self, process, at, *allocations):
        with self.provenance.carrying_out(Source(process, at)):
            self.provenance.note_write(at, JOB_PREFIX + "req-a", record(*allocations))

    def process(self, node):
        return Process(node, node == CURRENT.node)

    def judged(self):
        found = find_breaches(self.log, self.jobs, TEAMS, 35.0, {})
        return {row.breach.rule: row for row in attribute(self, found)}


def world_with_a_copy(forgets, copies=FORMER):
    """A task ends on m1 and runs on m2; then a copy of its first start runs it on m1 again."""
    world = FakeWorld([])
    world.write(copies, 1.0, allocation(0, "m1"))
    world.start(0, "m1", copies, 1.0)
    world.log.append((2.0, "off", "req-a/0", 1, "m1", "north", "box", False))
    world.forget(0, "m1", forgets, 2.5)
    world.write(FORMER, 3.0, allocation(0, "m2"))
    world.start(0, "m2", FORMER, 3.0)
    world.start(0, "m1", copies, 4.0, LATE_COPY)
    return world


def test_a_copy_by_which_a_task_ran_twice_is_the_former_versions_alone():
    row = world_with_a_copy(FORMER).judged()["ran_twice"]
    assert not row.by_current
    assert any("late copy" in str(involvement) for involvement in row.involved)


def test_the_process_that_let_an_attempt_be_forgotten_is_involved_in_what_its_copy_broke():
    assert world_with_a_copy(CURRENT).judged()["ran_twice"].by_current


def test_a_start_that_the_current_version_sent_is_told_apart_from_one_of_the_former():
    assert world_with_a_copy(FORMER, copies=CURRENT).judged()["ran_twice"].by_current


@pytest.mark.parametrize("excess", [FORMER, CURRENT], ids=["former", "current"])
def test_a_limit_is_exceeded_by_whoever_started_what_no_record_allows(excess):
    world = FakeWorld([])
    allowed = [allocation(0, "m1"), allocation(1, "m1")]
    world.start(2, "m3", excess, 1.0)
    other = FORMER if excess is CURRENT else CURRENT
    world.write(other, 2.0, *allowed)
    for task in (0, 1):
        world.start(task, "m1", other, 2.0)
    assert world.judged()["quota"].by_current == (excess is CURRENT)


@pytest.mark.parametrize("rule", ["went_back", "not_done", "invented", "forgotten"])
@pytest.mark.parametrize("process", [FORMER, CURRENT], ids=["former", "current"])
def test_an_answer_that_breaks_a_rule_is_attributed_to_its_process(rule, process):
    log = [
        (*row, place, process.node, process.is_current) if row[1] == "told" else row
        for place, row in enumerate(VIOLATIONS[rule])
    ]
    assert FakeWorld(log).judged()[rule].by_current == process.is_current


@pytest.mark.parametrize("rule", ["forgotten", "went_back"])
def test_whoever_recorded_a_final_state_is_involved_only_in_what_it_contradicts(rule):
    log = [(*row, place, FORMER.node, False) if row[1] == "told" else row for place, row in enumerate(VIOLATIONS[rule])]
    world = FakeWorld(log)
    with world.provenance.carrying_out(Source(CURRENT, 1.5)):
        world.provenance.note_write(1.5, FINAL + "req-a", "done")
    assert world.judged()[rule].by_current == (rule == "went_back")


def test_a_breach_of_which_nothing_tells_who_caused_it_counts_for_the_current_version():
    (row,) = attribute(FakeWorld([]), [FoundBreach("beside_room", 1.0, "req-a waits")])
    assert row.by_current


def test_what_only_production_broke_in_an_upgrade_is_counted_apart(former):
    result = play(1, ("cancelled at the end", "close looks"), former)
    assert result["breaches"]
    assert not any(result["by_current"]), result["involved"]
    assert all(result["involved"])


PLANTED = SimpleNamespace(fault="late_transaction", seed=0, troubles=("late writes", "crash"))


def test_a_fault_planted_in_the_current_version_is_counted_for_it_in_an_upgrade():
    """The former version is the patch release, with which nothing else breaks in this world."""
    if at(PATCH_RELEASE) is None:
        pytest.skip("the patch release isn't in the history at hand")
    assert not play(PLANTED.seed, PLANTED.troubles, at(PATCH_RELEASE))["breaches"]
    result = play_with(PLANTED.fault, PLANTED.seed, PLANTED.troubles, PATCH_RELEASE)
    assert any(result["by_current"]), result["breaches"]


# seeds of the search whose worlds break various rules by what production does; in 13162, this version was once involved
UPGRADE_SEEDS = (13003, 13078, 13083, 13124, 13162, 13171)


@pytest.mark.parametrize("seed", UPGRADE_SEEDS)
def test_this_version_takes_no_part_in_what_breaks_while_it_replaces_production(former, seed):
    """Guards against `ran_cancelled` by a holder that came back in an outage, and whatever else the judge can tell."""
    result = play(seed, former=former)
    involved = [row for row, by_current in zip(result["involved"], result["by_current"], strict=True) if by_current]
    assert not involved
    assert result["breaches"]  # the seeds are chosen for what production breaks
