"""A zone that is lost: when what stands in it is given up, by whom room is held for it, and who knows of it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from simulation.links import Cut
from tests.test_guards import chunked_job, spec, started_world
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import Job
from tidebend.coordination import PeerMachine
from tidebend.coordination.records import ZONE_PREFIX
from tidebend.zone_failover import (
    IsolationWindow,
    MachineContents,
    machines_to_evacuate,
    share_of_tasks,
    without_lost_zones,
)

HOLD = IsolationWindow(begin=90.0, until=100.0, end=115.0)


@pytest.fixture
def world():
    yield from started_world()


def given_up(standings, turn_s=1.0, until=140.0):
    """Machine -> when it goes."""
    gone, now = {}, 80.0
    while now < until:
        left = [row for row in standings if row.machine not in gone]
        gone.update(dict.fromkeys(machines_to_evacuate(left, HOLD, now, turn_s), now))
        now += turn_s
    return gone


@given(st.integers(1, 60), st.sampled_from([0.5, 1.0, 2.0, 4.0]))
def test_replicas_leave_in_even_turns_and_none_stays_to_the_end(machines, turn_s):
    gone = given_up([MachineContents(f"m{n:02}", replicas=1 + n % 2) for n in range(machines)], turn_s)
    assert len(gone) == machines
    assert min(gone.values()) >= HOLD.begin
    assert max(gone.values()) <= HOLD.end + turn_s
    turns = (HOLD.end - HOLD.begin) / turn_s
    most = max(sum(1 for at in gone.values() if at == turn) for turn in set(gone.values()))
    assert most <= machines / turns + 2
    doubles = [at for name, at in gone.items() if int(name[1:]) % 2]
    assert not doubles or max(doubles) <= min(at for name, at in gone.items() if not int(name[1:]) % 2) + turn_s


def test_batch_work_that_ends_inside_is_waited_for_and_the_rest_begins_anew_elsewhere():
    gone = given_up(
        [
            MachineContents("ends", batch_ends=(105.0,)),
            MachineContents("two", batch_ends=(103.0, 200.0)),
            MachineContents("idle"),
            MachineContents("long", batch_ends=(130.0,)),
            MachineContents("over", batch_ends=(85.0,)),
            MachineContents("gang", batch_ends=(200.0,), extra_wait_s=20.0),
        ]
    )
    assert gone == {"long": 101.0, "over": 101.0, "idle": 101.0, "two": 103.0, "ends": 105.0, "gang": 121.0}


def test_nothing_leaves_a_zone_that_comes_back_before_its_replicas_had_to():
    rows = [MachineContents("a", replicas=2), MachineContents("b", batch_ends=(300.0,))]
    assert not [name for now in range(80, 90) for name in machines_to_evacuate(rows, HOLD, float(now), 1.0)]


@given(st.integers(0, 100), st.integers(1, 9))
def test_room_for_each_replica_is_held_by_just_one_holder(tasks, holders):
    shares = [share_of_tasks(tasks, [number], holders) for number in range(holders)]
    assert sum(shares) == tasks == share_of_tasks(tasks, list(range(holders)), holders)
    assert max(shares) - min(shares) <= 1


def test_a_job_without_what_it_has_in_lost_zones_waits_for_just_that():
    made = spec(shape="service", pieces=4, spread=True)
    allocations = tuple(
        Allocation(f"m{n}", 1, 1, 1 << n, 0.0, zone) for n, zone in enumerate(["north", "south", "north"])
    )
    for job in (Job("s", 0, made, 0.0), chunked_job(made, "s")):
        left = without_lost_zones(job.with_allocations(allocations), {"north"})
        assert left.pending == 0b1101
        assert left.allocated_by_zone() == {"south": 1}
        assert without_lost_zones(job.with_allocations(allocations), {"west"}) is None


def cut_off(world, node, zone, for_s):
    until = world.now + for_s
    world.cuts += [Cut(node, side, until, False) for side in ("state", "cloud", "peers", "south")]
    world.cuts.append(Cut("n1", zone, until, False))


def seconds_until(world, true, most=40.0):
    began = world.now
    while not true() and world.now - began < most:
        world.step()
    return world.now - began


def test_a_lost_zone_is_known_as_soon_as_its_controllers_lease_has_ended(world):
    """It took a silence of each holder's own, one after the other: by then all that stood there was lost."""
    outside = world.controllers["n1"]
    cut_off(world, "n0", "north", 60.0)
    took = seconds_until(world, lambda: outside.coordinator.unreachable_zones() == {"north"})
    settings = outside.settings
    assert took <= settings.controller_lease_s + 2.0 * settings.report_s + 2.0
    # and it is on record for whoever is started meanwhile
    value = world.state.items[ZONE_PREFIX + "north"][0]
    assert value["node"] == "n0"
    assert value["held"] is True
    world.crash("n1", 0.25)
    assert (
        seconds_until(
            world, lambda: world.controllers["n1"] is not None and world.controllers["n1"].cache.loaded.is_set()
        )
        < 2.0
    )
    assert world.controllers["n1"].coordinator.isolated_holder("north.0")[0] == "n0"


def test_the_record_of_a_lost_zone_goes_when_its_controller_is_back(world):
    cut_off(world, "n0", "north", 15.0)
    assert seconds_until(world, lambda: ZONE_PREFIX + "north" in world.state.items) < 15.0
    assert seconds_until(world, lambda: ZONE_PREFIX + "north" not in world.state.items) < 15.0
    assert seconds_until(world, lambda: world.controllers["n0"].coordinator.grant("north.0") is not None) < 10.0


def test_a_controller_that_dies_leaves_no_lost_zone_behind(world):
    """Its workers answer the others: the zone is not lost, whatever became of its controller."""
    world.crash("n0", 1e6)
    outside = world.controllers["n1"]
    for _ in range(200):
        world.step()
        assert outside.coordinator.unreachable_zones() == set()


def test_what_others_gave_back_is_not_taken_for_silent(world):
    """A controller that came back from a cut took its zone for lost again by machines that were long gone."""
    controller = world.controllers["n0"]
    peer = controller.peer_exchange.peers["n1"]
    assert "vm-000000" in controller.machine_registry.machines
    peer.machines = [*(peer.machines or ()), PeerMachine.of_released("vm-000000")]
    controller.autoscaler.check_machines_once()
    assert "vm-000000" not in controller.machine_registry.machines
