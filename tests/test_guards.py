"""One worked case for each safety guard: what would go wrong without it is in its name."""

import json
import random
import time
from dataclasses import replace

import pytest

from tests.test_scenarios import JOB
from tests.world import World
from tidebend.bookkeeping.jobs import JOB as JOB_KEY
from tidebend.bookkeeping.jobs import Claim, Job
from tidebend.bookkeeping.machines import Machine, orders
from tidebend.coordination import block_of
from tidebend.protocol import Report, TaskReport, parse_job
from tidebend.scheduling import Placement

TYPES = [{"name": "box", "vcpus": 8.0, "accelerators": 0.0, "memoryGb": 32.0, "localGb": 50.0, "fetchGbPerS": 1.0,
          "price": 1.0, "spotPrice": 0.4, "startupS": 10.0, "harbors": ["north", "south"]}]
TEAMS = [{"name": "team", "cpus": 8.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}]


def spec(**changes):
    return parse_job({**JOB, **changes})


@pytest.fixture
def world():
    random.seed(1)
    made = World(1, ["north", "south"], TEAMS, TYPES)
    for zone in made.zones:
        made.cloud.add("box", zone, False, -50.0)
    with made.clock():
        for _ in range(180):
            made.step()
        yield made


def stale_pair(world, **jobs):
    """Two controllers that know some jobs; from here on neither hears of the other's writes by itself."""
    for name, made in jobs.items():
        world.state.transact({"if": [], "writes": [{"put": JOB_KEY + name, "v": Job(name, 0, made, 0.0).pack()}]})
    pair = [world.controllers["n0"], world.controllers["n1"]]
    for controller in pair:
        controller.mirror.catch_up(0.0, "claim")
    return pair


def claim(controller, name, machine, tasks, conditions=None):
    def edit(job, usage):
        free = job.pending & tasks
        if not free or not controller.settings.teams["team"].allows(*[
                getattr(usage.plus(job.spec, free.bit_count()), part) for part in ("cpus", "gpus")]):
            return None
        return job.with_claims([Claim(machine, 1, job.started + 1, free, 0.0, "north")])
    return controller.ledger.change(name, edit, conditions or {})


def test_two_holders_do_not_claim_the_same_task(world):
    first, second = stale_pair(world, a=spec())
    assert claim(first, "a", "vm-000000", 1) is not None
    assert claim(second, "a", "vm-000001", 1) is None


def test_a_stale_holder_claims_nothing_of_a_job_that_was_cancelled(world):
    first, second = stale_pair(world, a=spec())
    record = replace(first.book.get("a"), cancelled=True).pack()
    world.state.transact({"if": [], "writes": [{"put": JOB_KEY + "a", "v": record}]})
    assert claim(second, "a", "vm-000001", 1) is None


def test_two_holders_do_not_exceed_a_team_limit_with_two_jobs(world):
    first, second = stale_pair(world, a=spec(pieces=2), b=spec(pieces=2))
    assert claim(first, "a", "vm-000000", 3) is not None
    assert claim(second, "b", "vm-000001", 3) is None


def test_a_deposed_holder_claims_nothing(world):
    first, second = stale_pair(world, a=spec())
    grant = first.coordinator.grant("north.0")
    second.coordinator._put_block("north.0", grant.token, "n1", second.coordinator.lease)
    assert claim(first, "a", "vm-000000", 1, dict([first.coordinator.condition(grant)])) is None


def test_a_job_that_is_over_is_not_created_anew(world):
    first, _ = stale_pair(world)
    world.state.transact({"if": [], "writes": [{"put": "tidebend/final/req-a", "v": "done"}]})
    reply = first.users.submit(b'{"id":"req-a",' + json.dumps(JOB).encode()[1:])
    assert (reply.status, reply.body["tide"]) == (200, "done")


def test_spread_is_checked_against_the_record_of_the_claim(world):
    first, _ = stale_pair(world, a=spec(shape="service", pieces=2, vcpus=1.0, spread=True))
    now = time.monotonic()
    places = first.planner.places(now, time.time())
    name = next(name for name, (place, _, _) in places.items() if place.zone == "north")
    first.planner._claim({"a": [Placement("a", name, 2, now, now + 1, True)]}, places)
    assert first.book.get("a").per_zone() == {"north": 1}


def test_a_grant_is_not_acted_on_before_a_read(world):
    first, _ = stale_pair(world)
    first.coordinator._held.clear()
    first.mirror.barrier = lambda timeout, kind="poll": False
    first.coordinator._take_up()
    assert first.coordinator.grant("north.0") is None


def test_ends_wait_until_the_worker_has_confirmed_the_token(world):
    first, _ = stale_pair(world, a=spec())
    machine = next(m for m in first.fleet.all() if block_of(m.zone) == "north.0")
    claim(first, "a", machine.name, 1)
    machine.tasks = {("a", 0, 1): TaskReport("a", 0, 1, "ended", "stopped", False)}
    machine.unsettled, confirmed = True, machine.token
    machine.token = confirmed - 1
    first.planner.gather_s = 0.0
    first.planner.mapping_event()
    assert first.book.get("a").claims
    machine.token = confirmed
    first.planner.mapping_event()
    assert not first.book.get("a").claims


# What a worker is told

def machine_with(**fields):
    return replace(Machine("vm-000000", "box", "north", False), session=2, sequence=7, report_sequence=7, token=5,
                   **fields)


def held(session=2, **changes):
    made = Claim("vm-000000", session, 1, 1, 0.0, "north")
    return [(Job("req-a", 1, spec(), 0.0, claims=(made,), **changes), made)]


def ops(machine, claims, direct=False):
    return [command.op for command in orders(machine, claims, 5, direct)]


def test_starts_are_repeated_until_seen_but_never_for_a_cancelled_job_or_an_older_session():
    assert ops(machine_with(), held()) == ["start"]
    assert ops(machine_with(), held(cancelled=True)) == []
    assert ops(machine_with(), held(session=1)) == []
    assert ops(machine_with(releasing=True), held()) == []


def test_a_cancelled_job_has_nothing_pending():
    assert Job("req-a", 1, spec(pieces=3), 0.0, cancelled=True).pending == 0


def test_absence_proves_nothing_while_a_start_is_under_way():
    key = ("req-a", 0, 1)
    machine = machine_with()
    orders(machine, held(), 5, direct=False)
    assert not machine.can_no_longer_start(key)  # the answer to report 7 may still arrive
    report = Report("vm-000000", None, "box", "north", False, 2, 8, 5, None, ())
    machine.hears(report, 1.0, direct=True)
    assert not machine.can_no_longer_start(key)  # an answer to direct commands doesn't settle it
    machine.hears(replace(report, sequence=9), 1.0, direct=False)
    assert machine.can_no_longer_start(key)
    orders(machine, held(), 5, direct=True)
    machine.hears(replace(report, sequence=10), 1.0, direct=False)
    assert not machine.can_no_longer_start(key)  # a direct start may be late for ever
    machine.hears(replace(report, sequence=11, token=6), 1.0, direct=False)
    assert machine.can_no_longer_start(key)  # until a higher token is confirmed


def test_an_answer_to_direct_commands_shows_that_a_machine_lives_for_a_lease_at_most(world):
    rentals = world.controllers["n0"].rentals
    assert rentals._silent_since(machine_with(heard=50.0, answered=55.0), 52.0) == 55.0
    assert rentals._silent_since(machine_with(heard=50.0, answered=90.0), 52.0) == 62.0


def test_a_rental_name_is_not_used_again_when_the_same_term_comes_back(world):
    leader = next(c for c in world.controllers.values() if c.coordinator.term is not None)
    leader.rentals._counter = 5
    until, leader.coordinator.lease_until = leader.coordinator.lease_until, -1e9
    leader.rentals.lead_once()
    leader.coordinator.lease_until = until
    leader.rentals.lead_once()
    assert leader.coordinator.term is not None and leader.rentals._counter >= 5


def test_nothing_is_cleared_while_a_late_start_could_run_it_again():
    ended = {("req-a", 0, 1): TaskReport("req-a", 0, 1, "ended", "done", False)}
    assert ops(machine_with(tasks=dict(ended)), []) == ["forget"]
    assert ops(machine_with(tasks=dict(ended), doubtful={("req-a", 0, 1): (5, 0.0)}), []) == []
