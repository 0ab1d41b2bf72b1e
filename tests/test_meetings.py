"""Combinations of two troubles, of which the second hides from a shard's holder what changed during the first."""

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

# Seconds: heartbeat interval, controller lease, worker lease.
REPORT_S, CONTROLLER_LEASE_S, WORKER_LEASE_S = 1.0, 3.5, 10.0


def leader_of(world):
    return world.state.items["tidebend/live/leader"][0]["node"]


def refused_then_down(world, refused_s, gap_s, outage_s, how="refuse"):
    """Let the key-value store refuse only the leader, cancel jobs through another controller, then stop the store."""
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
        (0.5 * REPORT_S, 0.2, 40.0, "refuse", ""),
        (REPORT_S, 0.3, 40.0, "refuse", ""),
        (3 * REPORT_S, 2.0, 40.0, "refuse", ""),
        (0.8 * CONTROLLER_LEASE_S, 2.0, 60.0, "refuse", ""),
        (CONTROLLER_LEASE_S, 3.0, 60.0, "refuse", ""),
        (2 * CONTROLLER_LEASE_S, 4.0, 60.0, "refuse", ""),
        (0.9 * WORKER_LEASE_S, 8.0, 60.0, "refuse", ""),
        (1.5 * WORKER_LEASE_S, WORKER_LEASE_S, 60.0, "refuse", ""),
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
    """The shard's holder answers reports for at most `staleness_bound_s` after its last read."""
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
        assert world.zone_of(leader_of(world)) == "west"  # the zone of the jobs
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
    """Reports are refused once the cache is too stale; that must not count as silence of the machines.

    Otherwise most machines that survived the outage are released as soon as it is over.
    """
    for world in busy_world(1, 1.0, 10.0):
        used = {worker.name for worker in world.workers.values() if worker.tasks}
        world.state.down(world.now + 60.0)
        for _ in range(900):
            world.step()
        assert used <= world.workers.keys()
        assert world.answers["req-a"][1] == "running"


def test_an_answered_request_that_is_no_read_makes_the_cache_no_younger():
    """Lease renewals, writes and reads of single keys do not show what other controllers have changed."""
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
    """A watch proves the state at its start: changes committed while it was pending may be missing from its answer."""
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
    """An answer holds a few hundred commands: stops of cancelled tasks listed after the starts would be cut off."""
    small = {**JOB, "pieces": 400, "vcpus": 0.01, "memoryGb": 0.01}
    waiting = Job("a", 1, parse_job(small), 0.0).with_allocations(
        [Allocation("vm-000000", 1, 1, (1 << 400) - 1, 0.0, "north")]
    )
    cancelled = Job("b", 1, parse_job(small), 0.0, cancelled=True).with_allocations(
        [Allocation("vm-000000", 1, 1, 1, 0.0, "north")]
    )
    machine = Machine("vm-000000", "box", "north", False, session=1, token=5)
    machine.tasks = {("b", 0, 1): TaskReport("b", 0, 1, "running", None, False)}
    allocations = [(job, allocation) for job in (waiting, cancelled) for allocation in job.allocations]
    commands = commands_for(machine, allocations, 5, direct=False)
    assert (commands[0].op, commands[0].job) == ("stop", "b")
    assert len(commands) == 401


def test_without_a_lease_only_what_is_cancelled_is_commanded():
    """Reports answered without any command after the lease expired would leave cancelled tasks running."""
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
    """A delayed announcement without a compare-and-swap condition would restore an old list of unreachable shards."""
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
    """A new lease renewed without its announcement would leave the controller without shards."""
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
    """An announcement executed after the new process's one would attach the record to the former lease, and the record
    would be deleted when that lease expires."""
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
    """A frame whose `came` is not a map must not end the connection's thread, nor any invalid frame apply in part."""
    for world in busy_world(1, 1.0, 10.0):
        first, second = first_of(world), world.controllers["n1"]
        before = repr(first.peer_exchange.peers["n1"])
        world.monotonic_now += 0.5
        first.peer_exchange.receive({**second.peer_frame(), **changes})
        assert repr(first.peer_exchange.peers["n1"]) == before


@pytest.mark.parametrize(("report_s", "lease_s", "cancel_s"), [(1.0, 10.0, 35.0), (3.0, 14.0, 39.0)])
def test_an_outage_that_the_staleness_bound_covers_ends_no_session(report_s, lease_s, cancel_s):
    """Time for reports in flight must not be subtracted from the bound: a lease counts from when its report was sent.

    Otherwise outages that could be survived end every task.
    """
    for world in busy_world(1, report_s, lease_s, cancel_s):
        sessions = {worker.name: worker.session for worker in world.workers.values()}
        for _ in range(30):
            world.step()
        world.state.down(world.now + 0.9 * (cancel_s - 0.1 * lease_s))
        for _ in range(round(10 * cancel_s)):
            world.step()
        assert {worker.name: worker.session for worker in world.workers.values() if worker.name in sessions} == sessions


def test_a_lease_that_was_renewed_holds_though_the_announcement_is_refused():
    """A renewed lease must not count as lost while the announcement is refused by rate limiting."""
    for world in busy_world(1, 1.0, 10.0):
        first = first_of(world)
        world.state.limits["write_rps"] = 0.0
        # Gives the controller something to announce.
        first.coordinator.announcement._unreachable_until["south.0"] = world.monotonic_now + 30.0
        world.monotonic_now += 3.0
        began = world.monotonic_now
        assert not first.coordinator.renew_lease()
        assert first.coordinator.lease_until >= began + 3.0


def test_no_block_stays_where_two_time_outs_would_cost_its_workers_their_leases():
    """With one controller down for long and the next one frozen, workers time out twice before they reach the third.

    The shard must move so early that their leases do not expire.
    """
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
