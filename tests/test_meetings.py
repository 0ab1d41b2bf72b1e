"""Meetings of two troubles: one after the other hides from a holder what the first has changed."""

import random
from dataclasses import replace

import pytest

from simulation.checker import breaches
from simulation.links import Cut
from simulation.world import World
from tests.test_guards import TYPES
from tests.test_scenarios import JOB
from tests.test_troubles import TEAMS, ZONES, busy_world
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.reconciliation import commands_for
from tidebend.protocol import TaskReport, parse_job

REPORT, CONTROLLER, WORKER = 1.0, 3.5, 10.0  # seconds: a report's interval, a controller's lease, a worker's


def leader_of(world):
    return world.state.items["tidebend/live/leader"][0]["node"]


def refused_then_down(world, refused_s, gap_s, outage_s, how="refuse"):
    """The state service refuses the leader alone, jobs are cancelled through another, then it is down for all."""
    leader = leader_of(world)
    other = world.next_node(leader)
    if how == "refuse":
        world.state.refuses[leader] = world.now + refused_s
    else:
        world.cuts.append(Cut(leader, "state", world.now + refused_s, how == "hold"))
    world.cuts.append(Cut(leader, "users", world.now + refused_s + gap_s + outage_s, False))
    world.hang_watch(leader)
    outage_at = world.now + gap_s
    names = [name for name in world.jobs if name.startswith("req-c") and world.answers[name][1] != "withdrawn"]
    told = 0
    while world.now < outage_at:
        if names and world.now > outage_at - gap_s * (1 - told / 3) - 0.05:
            name = names.pop()
            told += 1
            world.log.append((world.now, "asked", "cancel", name, None))
            world.user("cancel", name, other)
        world.step()
    world.state.down(world.now + outage_s)
    return leader, other


@pytest.mark.parametrize(
    ("refused_s", "gap_s", "outage_s", "how", "also"),
    [
        (0.5 * REPORT, 0.2, 40.0, "refuse", ""),
        (REPORT, 0.3, 40.0, "refuse", ""),
        (3 * REPORT, 2.0, 40.0, "refuse", ""),
        (0.8 * CONTROLLER, 2.0, 60.0, "refuse", ""),
        (CONTROLLER, 3.0, 60.0, "refuse", ""),
        (2 * CONTROLLER, 4.0, 60.0, "refuse", ""),
        (0.9 * WORKER, 8.0, 60.0, "refuse", ""),
        (1.5 * WORKER, WORKER, 60.0, "refuse", ""),
        (14.0, 2.0, 20.0, "refuse", ""),
        (14.0, 2.0, 30.0, "refuse", ""),
        (14.0, 2.0, 51.0, "refuse", "twice"),
        (14.0, 2.0, 51.0, "reset", ""),
        (14.0, 2.0, 51.0, "hold", ""),
        (14.0, 2.0, 51.0, "refuse", "the other ends"),
        (14.0, 2.0, 51.0, "refuse", "frozen"),
        (14.0, 2.0, 51.0, "refuse", "alone with its workers"),
        (14.0, 2.0, 51.0, "refuse", "unread before"),
    ],
)
def test_what_is_cancelled_elsewhere_is_gone_in_time_though_nothing_is_read(refused_s, gap_s, outage_s, how, also):
    """Its holder answers workers for no longer than `staleness_bound_s` after its last read."""
    random.seed(1)
    world = World(1, ZONES, TEAMS, [{**TYPES[0], "harbors": ZONES}])
    for zone in ZONES:
        world.cloud.capacity["box", zone, False] = 2
        for _ in range(2):
            world.cloud.add("box", zone, False, -50.0)
    shapes = (
        {"shape": "service", "pieces": 3, "reckonS": 0.0, "driftwood": False},
        {"shape": "group", "pieces": 2, "run_s": 400.0, "markS": 5.0, "stowS": 2.0},
        {"pieces": 6, "run_s": 300.0},
    )
    for number in range(6):
        world.submit(f"req-c{number}", **{**JOB, **shapes[number % 3], "vcpus": 0.5, "harbor": "west"})
    world.submit("req-long", **{**JOB, "pieces": 4, "vcpus": 1.0, "run_s": 40.0})
    with world.clock():
        for _ in range(150):
            world.step()
        assert world.zone_of(leader_of(world)) == "west"  # where they are
        for _ in range(2 if also == "twice" else 1):
            leader = leader_of(world)
            if also == "unread before":
                world.unread[leader] = world.now + 20.0
                for _ in range(60):
                    world.step()
            if also == "alone with its workers":
                world.cuts.append(Cut(leader, "peers", world.now + 80.0, False))
                for node in world.nodes:
                    if node != leader:
                        world.cuts.append(Cut(node, "workers", world.now + 80.0, False))
            leader, other = refused_then_down(world, refused_s, gap_s, outage_s, how)
            if also == "the other ends":
                world.crash(other, 0.3)
            if also == "frozen":
                world.frozen[leader] = world.now + 12.0
            for _ in range(round(10 * (outage_s + 25.0))):
                world.step()
        for _ in range(900):
            world.step()
    assert not breaches(world.log, world.jobs, TEAMS, world.cancel_s, world.completed)
    told = {name: world.answers[name][1] for name in world.jobs}
    assert told["req-long"] == "done"
    assert 1 <= list(told.values()).count("withdrawn") <= 6
    assert told["req-c0"] in ("running", "withdrawn")


def test_machines_that_reported_through_an_outage_are_not_given_back_when_it_is_over():
    """Their reports were refused once our last read was too old, and then they counted as silent: of a fleet that had
    come through, most machines were given back in the first moment after the outage."""
    for world in busy_world(1, 1.0, 10.0):
        used = {worker.name for worker in world.workers.values() if worker.tasks}
        world.state.down(world.now + 60.0)
        for _ in range(900):
            world.step()
        assert used <= world.workers.keys()
        assert world.answers["req-a"][1] == "running"


def test_an_answered_request_that_is_no_read_makes_the_cache_no_younger():
    """Renewals, writes and looked-up keys were taken for contact; none of them tells what others have changed."""
    for world in busy_world(1, 1.0, 10.0):
        first = world.controllers["n0"]
        began = first.cache.as_of
        world.unread["n0"] = world.now + 100.0
        world.monotonic_now += 5.0
        assert first.coordinator.renew_lease()
        first.state.get("tidebend/final/req-none")
        first.job_writer.write_edit("req-a", lambda job, _: job, {})
        assert first.cache.as_of == began
        assert first.cache.age_s >= 5.0
        del world.unread["n0"]
        before = world.monotonic_now
        first.cache.catch_up(0.0, "claim")
        assert first.cache.as_of == before


def test_a_read_counts_from_when_it_began_however_long_it_took():
    """A watch proves what it began with: what was confirmed while it hung may be missing from its answer."""
    for world in busy_world(1, 1.0, 10.0):
        first = world.controllers["n0"]
        changes = first.state.changes

        def slow(prefix, revision, wait_s, kind, changes=changes, world=world):
            answer = changes(prefix, revision, wait_s, kind)
            world.monotonic_now += 4.0
            return answer

        first.state.changes = slow
        before = world.monotonic_now
        first.cache.catch_up(0.0, "claim")
        assert first.cache.as_of == before
        assert first.cache.age_s >= 4.0


def test_stops_come_before_hundreds_of_starts():
    """An answer holds a few hundred commands: stops of what is cancelled stood behind starts and were cut off."""
    small = {**JOB, "pieces": 400, "vcpus": 0.01, "memoryGb": 0.01}
    waiting = Job("a", 1, parse_job(small), 0.0).with_allocations(
        [Allocation("vm-000000", 1, 1, (1 << 400) - 1, 0.0, "north")]
    )
    over = Job("b", 1, parse_job(small), 0.0, cancelled=True).with_allocations(
        [Allocation("vm-000000", 1, 1, 1, 0.0, "north")]
    )
    machine = Machine("vm-000000", "box", "north", False, session=1, token=5)
    machine.tasks = {("b", 0, 1): TaskReport("b", 0, 1, "running", None, False)}
    allocations = [(job, allocation) for job in (waiting, over) for allocation in job.allocations]
    commands = commands_for(machine, allocations, 5, direct=False)
    assert (commands[0].op, commands[0].job) == ("stop", "b")
    assert len(commands) == 401


def test_without_a_lease_only_what_is_cancelled_is_commanded():
    """A report was answered without any command while our lease had run out, and cancelled tasks ran on."""
    for world in busy_world(1, 1.0, 10.0):
        first = world.controllers["n0"]
        worker = next(worker for worker in world.workers.values() if worker.zone == "north")
        world.state.down(world.now + 60.0)
        while first.coordinator.lease_valid:
            world.step()
        first.machine_registry.machines[worker.name].stop_requests[
            next(iter(first.machine_registry.machines[worker.name].tasks))
        ] = 0.0
        answer = world.to_controller(worker.name, "n0", "POST", "/v1/report", worker.body())
        assert answer[0] == 200
        assert answer[1]["orders"] == []
        record = replace(first.job_cache.get("req-a"), cancelled=True)
        first.cache.apply([(record.key, record.pack(), 10**9)])
        answer = world.to_controller(worker.name, "n0", "POST", "/v1/report", worker.body())
        assert answer[1]["orders"]
        assert {row["order"] for row in answer[1]["orders"]} == {"kill"}


def first_of(world):
    return world.controllers["n0"]


def test_an_announcement_that_is_carried_out_late_changes_nothing():
    """It had no condition: an old list of unheard blocks stood for good."""
    for world in busy_world(1, 1.0, 10.0):
        first, key = first_of(world), "tidebend/live/node/n0"
        first.cache.catch_up(0.0, "claim")
        world.late_writes.append((world.now + 1.0, 1.0))
        first.coordinator.mark_unreachable("south.0", 6, 30.0)
        world.late_writes.clear()
        assert len(world.delayed_transactions) == 1
        assert world.state.items[key][0]["unheard"] == []
        first.coordinator.clear_unreachable("south.0")
        first.coordinator.mark_unreachable("west.0", 6, 30.0)
        for _ in range(150):
            world.step()
        assert not world.delayed_transactions
        assert world.state.items[key][0]["unheard"] == ["west.0"]


def test_an_announcement_that_failed_is_made_with_the_next_renewal():
    """A new lease without an announcement was renewed for ever, and its controller got no block."""
    for world in busy_world(1, 1.0, 10.0):
        first = first_of(world)
        session_lease = first.coordinator.session_lease
        lease, session_lease.lease = session_lease.lease, None
        world.state.end(lease)
        world.late_writes.append((world.now + 0.05, 1.0))
        first.coordinator.renew_lease()
        world.late_writes.clear()
        world.delayed_transactions.clear()
        assert "tidebend/live/node/n0" not in world.state.items
        assert first.coordinator.renew_lease()
        assert world.state.items["tidebend/live/node/n0"][0]["lease"] == first.coordinator.lease


def test_a_former_processs_announcement_does_not_outlive_it():
    """Carried out after its successor's, it hung the record on the former lease, with which it went away."""
    for world in busy_world(1, 1.0, 10.0):
        first, key = first_of(world), "tidebend/live/node/n0"
        world.late_writes.append((world.now + 1.0, 1.0))
        first.coordinator.mark_unreachable("south.0", 6, 30.0)
        world.late_writes.clear()
        world.crash("n0", 0.1)
        while key not in world.state.items or world.state.items[key][0]["lease"] == first.coordinator.lease:
            world.step()
        world.delayed_transactions = [(world.now, *row[1:]) for row in world.delayed_transactions]
        for _ in range(150):
            world.step()
            assert key in world.state.items
        assert world.state.items[key][0]["lease"] == first_of(world).coordinator.lease


@pytest.mark.parametrize(
    "changes",
    [{"came": 3}, {"came": {"north.0": "x"}}, {"machines": 5}, {"state_contact": None}, {"blocks": [1]}, {"held": 1}],
)
def test_a_peers_frame_that_cannot_be_read_changes_nothing(changes):
    """One whose `came` was no map ended its connection's thread, and others were taken over by half."""
    for world in busy_world(1, 1.0, 10.0):
        first, second = first_of(world), world.controllers["n1"]
        before = repr(first.peer_exchange.peers["n1"])
        world.monotonic_now += 0.5
        first.peer_exchange.receive({**second.peer_frame(), **changes})
        assert repr(first.peer_exchange.peers["n1"]) == before


@pytest.mark.parametrize(("report_s", "lease_s", "cancel_s"), [(1.0, 10.0, 35.0), (3.0, 14.0, 39.0)])
def test_an_outage_that_the_staleness_bound_covers_ends_no_session(report_s, lease_s, cancel_s):
    """Reports under way were taken off the bound, though a lease counts from when its report was sent: outages that
    could have been survived cost every task."""
    for world in busy_world(1, report_s, lease_s, cancel_s):
        sessions = {worker.name: worker.session for worker in world.workers.values()}
        for _ in range(30):
            world.step()
        world.state.down(world.now + 0.9 * (cancel_s - 0.1 * lease_s))
        for _ in range(round(10 * cancel_s)):
            world.step()
        assert {worker.name: worker.session for worker in world.workers.values() if worker.name in sessions} == sessions


def test_a_lease_that_was_renewed_holds_though_the_announcement_is_refused():
    """Both were one step: while our changes were refused for their rate, a renewed lease counted as lost."""
    for world in busy_world(1, 1.0, 10.0):
        first = first_of(world)
        world.state.limits["write_rps"] = 0.0
        # so that there is something to announce
        first.coordinator.announcement._unreachable_until["south.0"] = world.monotonic_now + 30.0
        world.monotonic_now += 3.0
        began = world.monotonic_now
        assert not first.coordinator.renew_lease()
        assert first.coordinator.lease_until >= began + 3.0


def test_no_block_stays_where_two_time_outs_would_cost_its_workers_their_leases():
    """One controller was away for long and the one before it stood still: its workers came to the third too late."""
    for world in busy_world(1, 1.0, 10.0):
        world.crash("n1", 120.0)
        for _ in range(300):
            world.step()
        shards = {key: row[0]["holder"] for key, row in world.state.items.items() if "/block/" in key}
        assert set(shards.values()) == {"n2"}  # after n0 comes n1
        sessions = {worker.name: worker.session for worker in world.workers.values()}
        world.frozen["n2"] = world.now + 15.0
        for _ in range(250):
            world.step()
        assert {worker.name: worker.session for worker in world.workers.values() if worker.name in sessions} == sessions
        while world.controllers["n1"] is None:
            world.step()
        for _ in range(200):
            world.step()
        assert world.state.items["tidebend/live/block/south.0"][0]["holder"] == "n1"
        assert world.state.items["tidebend/live/block/north.0"][0]["holder"] == "n0"


def test_blocks_stay_at_home_where_leases_outlast_two_time_outs():
    for world in busy_world(1, 3.0, 14.0):
        world.crash("n1", 60.0)
        for _ in range(400):
            world.step()
        assert world.state.items["tidebend/live/block/north.0"][0]["holder"] == "n0"
