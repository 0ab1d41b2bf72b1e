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
from tidebend.protocol import MachineType, Report, TaskReport, parse_job
from tidebend.provisioning import Offer, Rental
from tidebend.scheduling import Place, Placement, Timeline, Want, value_of
from tidebend.service.ledger import Edit, packed_bytes
from tidebend.service.planner import _Ends

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


def test_a_cancelled_job_whose_last_tasks_are_done_afterwards_stays_cancelled(world):
    first, second = stale_pair(world, **{"req-a": spec(pieces=2)})
    assert claim(first, "req-a", "vm-000000", 3) is not None
    record = replace(first.book.get("req-a"), cancelled=True).pack()
    world.state.transact({"if": [], "writes": [{"put": JOB_KEY + "req-a", "v": record}]})
    assert first.ledger.change("req-a", lambda job, _: job.without({("vm-000000", 1, 1): 3}, 3), {}) is not None
    assert world.state.items["tidebend/final/req-a"][0] == "cancelled"
    second.mirror.catch_up(0.0, "claim")
    for controller in (first, second):
        assert controller.users.poll("req-a").body["tide"] == "withdrawn"


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


# Records at size

def test_a_record_of_hundreds_of_machines_fits_one_value():
    claims = tuple(Claim(f"vm-{n:06d}", 1, 1 + n // 40, 0b1111 << 4 * n, 1e9 + n // 40, "palermo") for n in range(150))
    job = Job("req-a", 1, spec(pieces=600), 0.0, claims=claims, started=4)
    assert packed_bytes(job.pack()) < 0.75 * 8192
    assert Job.unpack("req-a", json.loads(json.dumps(job.pack())), 1) == job


def test_a_full_record_takes_no_more_claims_and_still_records_ends(world):
    first, _ = stale_pair(world, a=spec(pieces=100_000, vcpus=0.001, memoryGb=0.0))
    first.ledger.value_bytes = 600
    now = time.monotonic()
    places = first.planner.places(now, time.time())
    group = [Placement("a", name, 2000, now, now + 1, True) for name in places]
    for _ in range(20):
        first.planner._claim({"a": group}, places)
    job = first.book.get("a")
    assert 0 < len(job.claims) < 20 and first.ledger.fits(job)
    # every other one done: too scattered for the record, which says then that they have ended
    everything = {(c.machine, c.session, c.attempt): c.tasks for c in job.claims}
    done = job.claimed & int("01" * 50_000, 2)
    assert first.ledger.change("a", lambda job, _: first.planner._without(job, _, _Ends(everything, done)), {})
    assert not first.book.get("a").claims


# A team's record counts claims, the jobs' records count ends

def test_usage_is_what_the_claims_take_through_claims_ends_and_the_end_of_a_job(world):
    first, second = stale_pair(world, a=spec(pieces=2), b=spec(pieces=2))
    assert claim(first, "a", "vm-000000", 3) is not None
    assert first.book.team("team").cpus == 8.0
    ended = {("vm-000000", 1, 1): 1}
    assert first.ledger.change("a", lambda job, _: job.without(ended, 1), {})
    assert (first.book.team("team").cpus, first.book.team("team").charged[0]) == (4.0, 8.0)
    second.mirror.catch_up(0.0, "claim")
    assert claim(second, "b", "vm-000001", 3) is None  # only one more fits
    assert claim(second, "b", "vm-000001", 1) is not None
    first.mirror.catch_up(0.0, "claim")
    assert first.ledger.change("a", lambda job, _: job.without({("vm-000000", 1, 1): 2}, 2), {})
    assert (first.book.team("team").cpus, first.book.team("team").charged[0]) == (4.0, 4.0)
    second.mirror.catch_up(0.0, "claim")
    assert second.book.team("team").cpus == 4.0


def test_a_cache_that_has_not_heard_of_ends_claims_too_little_and_never_too_much(world):
    first, second = stale_pair(world, a=spec(pieces=2), b=spec(pieces=2))
    assert claim(first, "a", "vm-000000", 3) is not None
    second.mirror.catch_up(0.0, "claim")
    assert first.ledger.change("a", lambda job, _: job.without({("vm-000000", 1, 1): 1}, 1), {})
    assert second.book.team("team").cpus == 8.0
    assert claim(second, "b", "vm-000001", 1) is None


def test_several_jobs_go_into_one_transaction_and_share_their_teams_record(world):
    first, _ = stale_pair(world, a=spec(pieces=1), b=spec(pieces=1), c=spec(pieces=1))

    def make(job, usage):
        if not first.settings.teams["team"].allows(usage.plus(job.spec, 1).cpus, 0.0):
            return None
        return job.with_claims([Claim("vm-000000", 1, 1, 1, 0.0, "north")])

    before = world.state.revision
    changed = first.ledger.change_all([Edit(name, make) for name in "abc"])
    assert sorted(changed) == ["a", "b"]  # the third would be over the limit
    assert world.state.revision == before + 1


def test_pages_are_taken_over_as_of_one_revision(world):
    """A job that is over, read before its end was written, next to a team's record read after it, would make the
    team's usage look smaller than it is."""
    first, second = stale_pair(world, a=spec(), b=spec())
    assert claim(first, "a", "vm-000000", 1) is not None
    assert first.ledger.change("a", lambda job, _: job.without({("vm-000000", 1, 1): 1}, 0), {})
    whole = second.state.items

    def paged(prefix, after):
        rows, _, revision = whole(prefix, None)
        if after is None:
            page = [row for row in rows if row[0] <= JOB_KEY + "a"]
            # between the pages the job ends for good, and its team's record with it
            assert first.ledger.change("a", lambda job, _: replace(job, cancelled=True), {})
            return page, True, revision
        return [row for row in rows if row[0] > after], False, revision

    second.state.items = paged
    second.mirror._load()
    assert second.book.get("a") is None
    assert second.book.team("team").cpus == 0.0


def test_a_kind_that_cannot_be_had_does_not_take_the_calls_of_one_that_can(world, monkeypatch):
    leader = next(c for c in world.controllers.values() if c.coordinator.term is not None).rentals
    box = leader.types["box"]
    scarce, plenty = Offer(box, "north", True), Offer(box, "north", False)
    monkeypatch.setattr("tidebend.service.rentals.to_rent",
                        lambda *args, **more: [Rental(scarce, 5), Rental(plenty, 1)])
    asked = []
    leader._order = lambda term, offer, machines: asked.append(offer)
    leader._refused(scarce, time.monotonic())
    leader._lead_since = (leader.coordinator.term, time.monotonic() - 10.0)
    leader._rent(leader.coordinator.term, {})
    assert asked == [plenty, scarce]


@pytest.mark.parametrize(("held", "released"), [(["north.0"], []), ([], ["vm-000000"])])
def test_a_zone_is_left_alone_only_if_its_controller_holds_its_block(world, held, released):
    """A controller that was cut off before it learnt of its grant answers nobody: its zone is given up soon."""
    rentals = world.controllers["n1"].rentals
    now = time.monotonic()
    rentals.coordinator._at_home["north.0"] = ("n0", now)
    rentals.coordinator.mirror.apply([("tidebend/live/node/n0", None, 10**6)])
    rentals.coordinator.heard_by_nobody = lambda block: True
    rentals.link.peers["n0"].blocks = frozenset(held)
    given_up = []
    rentals.release = given_up.extend
    rentals._silent("north.0", {"vm-000000": now - 6.0}, 1, now)
    assert given_up == released


def test_no_room_is_made_where_the_work_would_not_be_placed(world):
    """A replica that keeps off GPUs gets no room on a machine that has some, however little a stop there loses."""
    planner = world.controllers["n0"].planner
    kinds = [MachineType(name, 8.0, gpus, 32.0, 50.0, 1.0, 1.0, 0.4, 10.0, ("north",)) for name, gpus in
             (("plain", 0.0), ("accelerated", 2.0))]
    rows = []
    for kind, lost in zip(kinds, (50.0, 0.0), strict=True):
        victim = (lost, ("req-v", 0, 1), 0.0, (8.0, 0.0, 1.0), 1)
        place = Place(f"m-{kind.name}", kind, "north", False, Timeline(0.0, (0.0, 0.0, 0.0)))
        rows.append((place, replace(machine_with(), name=f"m-{kind.name}"), (0.0, 0.0, 31.0), [victim]))
    made = spec(shape="service", rank="critical", vcpus=2.0, driftwood=False)
    planner._make_room(Want("req-s", made, value_of(made, 0.0, 1.0), 1.0, 1, keeps_off_gpus=True), 3, list(rows), 0.0)
    assert [bool(machine.stops) for _, machine, _, _ in rows] == [True, False]


def test_a_gangs_machine_in_a_cut_zone_is_waited_for_while_another_would_boot_and_fetch(world):
    first, _ = stale_pair(world, a=spec(), g=spec(shape="group", sizeGb=20.0))
    assert claim(first, "a", "vm-000100", 1) is not None
    assert claim(first, "g", "vm-000101", 1) is not None
    given_up = []
    first.rentals.release = lambda names: given_up.append(sorted(names))
    now = time.monotonic()
    silent = {"vm-000100": now - 30.0, "vm-000101": now - 30.0}
    first.rentals._move_out(silent, now - 1.0, now)
    assert given_up == [["vm-000100"]]
    worth = first.settings.knobs.keep_idle * (10.0 + 20.0)  # the stand-in's boot and fetch
    first.rentals._move_out(silent, now - worth - 1.0, now)
    assert given_up[1] == ["vm-000100", "vm-000101"]
