"""Limits and guarantees between holders: shares that move, ends that make room, room that is owed."""

from dataclasses import replace

import pytest

from tests.test_guards import (
    TEAMS,
    allocate_in_zone,
    controllers_with_quotas,
    spec,
    stale_controllers,
    started_world,
    transactions_lost,
)
from tests.test_scheduling import make_machine, make_request
from tidebend.cluster_state.allocations import Allocation
from tidebend.controller.records.job_writer import JobEdit
from tidebend.kvclient import OutcomeUnknownError
from tidebend.scheduling import GuaranteeBalance, map_tasks


@pytest.fixture
def world():
    yield from started_world()


def ending(tasks):
    return lambda job, _: job.with_ended_tasks({("vm-north", 1, 1): tasks}, tasks)


def claiming(controller, tasks):
    limit = controller.settings.teams["team"]

    def edit(job, usage):
        if not limit.allows(usage.with_tasks_allocated(job.spec, tasks.bit_count()).cpus, 0.0):
            return None
        return job.with_allocations([Allocation("vm-north", 1, job.last_attempt + 1, tasks, 0.0, "north")])

    return edit


def test_what_has_ended_makes_room_for_a_claim_in_its_own_transaction_and_never_for_one_without_it(world):
    first, _ = controllers_with_quotas(world)
    held = dict([first.coordinator.condition(first.coordinator.grant("north.0"))])
    assert allocate_in_zone(first, "north", "a", 0b11111111) is not None  # all of the limit
    assert first.job_writer.write_edits([JobEdit("b", claiming(first, 0b11), held)]) == {}
    # the ends' own condition fails: nobody may use what they would have freed
    lost = JobEdit("a", ending(0b11), {"tidebend/live/block/north.0": 1})
    assert first.job_writer.write_edits([lost, JobEdit("b", claiming(first, 0b11), held)]) == {}
    before = world.state.revision
    made = first.job_writer.write_edits([JobEdit("a", ending(0b11), held), JobEdit("b", claiming(first, 0b11), held)])
    assert sorted(made) == ["a", "b"]
    assert world.state.revision == before + 1
    assert first.job_cache.used("team") == (8.0, 0.0)


def test_a_holder_without_a_machine_that_it_can_use_gives_shares_back(world):
    """A zone was cut off: whoever took its block hears nobody there, and the team waits elsewhere for the share."""
    first, second = controllers_with_quotas(world)
    assert allocate_in_zone(first, "north", "a", 0b1) is not None  # takes a part of the rest ahead
    second.cache.catch_up(0.0, "claim")
    tasks = 0
    while allocate_in_zone(second, "south", "b", 1 << tasks) is not None:
        tasks += 1
    assert tasks < 7
    for machine in first.machine_registry.all():
        machine.last_heartbeat = -1e9
    first.cache.catch_up(0.0, "claim")
    first.scheduling_loop.mapping_event()
    world.monotonic_now += 2 * first.scheduling_loop.completions.allocation_pause_s
    first.scheduling_loop.mapping_event()
    second.cache.catch_up(0.0, "claim")
    while allocate_in_zone(second, "south", "b", 1 << tasks) is not None:
        tasks += 1
    assert tasks == 7


def test_shares_given_back_without_an_answer_are_not_lowered_under_a_later_claim(world):
    """Found by the model: a claim within a share only compares it, so that the late change would still be executed."""
    first, _ = controllers_with_quotas(world)
    assert allocate_in_zone(first, "north", "a", 0b1) is not None  # takes a part of the rest ahead
    with transactions_lost(first) as late, pytest.raises(OutcomeUnknownError):
        first.quota_rebalancer.release_unused("team")
    assert allocate_in_zone(first, "north", "a", 0b10) is not None
    assert world.state.transact(late[0])[0] == 409
    assert world.state.items["tidebend/live/quota/team"][0]["north"][0] >= 2.0


@pytest.fixture
def boundless():
    yield from started_world([{**TEAMS[0], "cpus_max": 0.0}])


def test_claims_of_a_team_without_a_limit_do_not_collide(boundless):
    """A guest's 25,000 small tasks: each claim wrote the team's record, and a third of them met another holder's."""
    first, second = controllers_with_quotas(boundless)
    before = boundless.state.counts["conflicts"]
    for tasks in (0b1, 0b10, 0b11111100):
        assert allocate_in_zone(first, "north", "a", tasks) is not None
        assert allocate_in_zone(second, "south", "b", tasks) is not None
    assert boundless.state.counts["conflicts"] == before


def test_a_limit_that_a_team_has_not_had_before_counts_what_it_uses_elsewhere(boundless):
    first, second = controllers_with_quotas(boundless)
    assert allocate_in_zone(first, "north", "a", 0b111111) is not None
    for controller in (first, second):
        controller.settings.teams["team"] = replace(controller.settings.teams["team"], cpus_max=8.0)
        controller.cache.catch_up(0.0, "claim")
    first.quota_rebalancer.establish_quotas()  # the leader's
    assert allocate_in_zone(second, "south", "b", 0b111) is None
    assert allocate_in_zone(second, "south", "b", 0b11) is not None


def test_a_gang_that_needs_more_than_is_free_has_shares_given_back(world):
    first, _ = stale_controllers(world, g=spec(shape="group", pieces=6, vcpus=1.0))
    quota_releaser, job = first.scheduling_loop.quota_releaser, first.job_cache.get("g")
    shares = first.job_cache.team("team").zone_quotas
    assert shares is not None
    value = {"north": [1.0, 0.0], "south": [2.0, 0.0]}  # five are free, and the gang takes six
    world.state.transact({"if": [], "writes": [{"put": "tidebend/live/quota/team", "v": value}]})
    first.cache.catch_up(0.0, "claim")
    assert quota_releaser._teams_short_of_quota([job]) == {"team"}
    value["south"] = [1.0, 0.0]
    world.state.transact({"if": [], "writes": [{"put": "tidebend/live/quota/team", "v": value}]})
    first.cache.catch_up(0.0, "claim")
    assert quota_releaser._teams_short_of_quota([job]) == set()


def started(placements, job):
    return sum(placement.tasks for placement in placements if placement.job_id == job and placement.starts_now)


def test_room_goes_to_what_is_owed_before_a_borrowers_standing_reservations():
    """The borrower has waited for longest; the small team is owed four tasks of eight."""
    places = [make_machine(f"m{number}") for number in range(3)]  # two tasks fit on each
    greedy = make_request("greedy", team="greedy", tasks=10)
    greedy.reserved_since = greedy.value.soft_deadline
    small = make_request("small", team="small", tasks=8)
    owed = {"small": GuaranteeBalance(16.0, 0.0), "greedy": GuaranteeBalance(-100.0, 0.0)}
    placements = map_tasks([greedy, small], places, 0.0, 60.0, owed)
    assert (started(placements, "small"), started(placements, "greedy")) == (4, 2)
    assert owed["small"].cpus == 0.0


def test_a_gang_is_owed_only_if_all_of_it_is_within_the_guarantee():
    greedy = make_request("greedy", team="greedy", tasks=6)
    greedy.reserved_since = greedy.value.soft_deadline
    gang = make_request("gang", team="small", kind="gang", tasks=3)
    places = [make_machine(f"m{number}") for number in range(2)]
    assert started(map_tasks([greedy, gang], places, 0.0, 60.0, {"small": GuaranteeBalance(8.0, 0.0)}), "gang") == 0
    greedy = make_request("greedy", team="greedy", tasks=6)
    greedy.reserved_since = greedy.value.soft_deadline
    gang = make_request("gang", team="small", kind="gang", tasks=3)
    places = [make_machine(f"m{number}") for number in range(2)]
    assert started(map_tasks([greedy, gang], places, 0.0, 60.0, {"small": GuaranteeBalance(12.0, 0.0)}), "gang") == 3


def test_a_gang_that_is_owed_in_part_only_is_placed_like_what_is_borrowed():
    gang = make_request("gang", team="small", kind="gang", tasks=3)
    places = [make_machine(f"m{number}") for number in range(2)]
    assert started(map_tasks([gang], places, 0.0, 60.0, {"small": GuaranteeBalance(8.0, 0.0)}), "gang") == 3


def test_borrowed_work_of_a_higher_priority_takes_part_in_the_pick_on_equal_terms():
    urgent = make_request("urgent", team="greedy", tasks=2, priority="high")
    small = make_request("small", team="small", tasks=8)
    owed = {"small": GuaranteeBalance(100.0, 0.0), "greedy": GuaranteeBalance(-100.0, 0.0)}
    placements = map_tasks([small, urgent], [make_machine(f"m{number}") for number in range(2)], 0.0, 60.0, owed)
    assert (started(placements, "urgent"), started(placements, "small")) == (2, 2)
