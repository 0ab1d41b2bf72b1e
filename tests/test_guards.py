"""One example for each safety check of the controller; the name of a test says what the check prevents."""

import contextlib
import json
import random
import time
from dataclasses import replace

import pytest

from simulation.world import World
from tests.test_scenarios import JOB
from tidebend.autoscaling import Offer, ProvisionRequest
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import JOB_PREFIX, Job
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.reconciliation import commands_for
from tidebend.cluster_state.record_chunks import ChunkIndex
from tidebend.controller.autoscaling.leadership import Leadership
from tidebend.controller.autoscaling.tracked_machines import FleetView
from tidebend.controller.records.job_writer import JobEdit
from tidebend.controller.records.record_limits import packed_bytes
from tidebend.controller.records.unrecorded_completions import UnrecordedCompletions
from tidebend.controller.scheduler.preemption import MachineWithVictims, Victim
from tidebend.coordination import shard_of
from tidebend.kvclient import NEVER, OutcomeUnknownError
from tidebend.protocol import MachineType, Report, TaskReport, parse_job
from tidebend.scheduling import CandidateMachine, Placement, TaskRequest, Timeline, own_demand, value_of
from tidebend.transport import NoAnswerError

TYPES = [
    {
        "name": "box",
        "vcpus": 8.0,
        "accelerators": 0.0,
        "memoryGb": 32.0,
        "localGb": 50.0,
        "fetchGbPerS": 1.0,
        "price": 1.0,
        "spotPrice": 0.4,
        "startupS": 10.0,
        "harbors": ["north", "south"],
    }
]
TEAMS = [{"name": "team", "cpus": 8.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}]


def spec(**changes):
    return parse_job({**JOB, **changes})


@pytest.fixture
def old_world(monkeypatch):
    """A world whose schema version is never raised: teams keep the records of the version before pipelines."""
    monkeypatch.setattr(
        "tidebend.coordination.schema_version.SchemaVersion.upgrade_if_all_support", lambda self, leader: None
    )
    yield from started_world()


@pytest.fixture
def world():
    yield from started_world()


def started_world(teams=TEAMS):
    """Yield a world of two zones with one machine each, after 180 steps; its clock runs until the test ends."""
    random.seed(1)
    world = World(1, ["north", "south"], teams, TYPES)
    for zone in world.zones:
        world.cloud.add("box", zone, False, -50.0)
    with world.clock():
        for _ in range(180):
            world.step()
        yield world


def stale_controllers(world, **jobs):
    """Return two controllers that know `jobs`; each sees later writes of the other only once its cache catches up."""
    for name, job_or_spec in jobs.items():
        job = job_or_spec if isinstance(job_or_spec, Job) else Job(name, 0, job_or_spec, 0.0)
        world.state.transact({"if": [], "writes": [{"put": job.key, "v": job.pack()}]})
    pair = [world.controllers["n0"], world.controllers["n1"]]
    for controller in pair:
        controller.cache.catch_up(0.0, "claim")
    return pair


def chunked_job(job_spec, name="a"):
    return Job(name, 0, job_spec, 0.0, chunks=ChunkIndex(40))


def allocate(controller, name, machine, tasks, conditions=None):
    """Record an allocation of those of `tasks` that are pending, within the team's limit; None if it isn't made."""

    def edit(job, usage):
        free = job.pending & tasks
        if not free or not controller.settings.teams["team"].allows(
            *[getattr(usage.with_tasks_allocated(job.spec, free.bit_count()), part) for part in ("cpus", "gpus")]
        ):
            return None
        return job.with_allocations([Allocation(machine, 1, job.last_attempt + 1, free, 0.0, "north")])

    return controller.job_writer.write_edit(name, edit, conditions or {})


def test_two_holders_do_not_claim_the_same_task(world):
    first, second = stale_controllers(world, a=spec())
    assert allocate(first, "a", "vm-000000", 1) is not None
    assert allocate(second, "a", "vm-000001", 1) is None


def test_a_stale_holder_claims_nothing_of_a_job_that_was_cancelled(world):
    first, second = stale_controllers(world, a=spec())
    record = replace(first.job_cache.get("a"), cancelled=True).pack()
    world.state.transact({"if": [], "writes": [{"put": JOB_PREFIX + "a", "v": record}]})
    assert allocate(second, "a", "vm-000001", 1) is None


def test_two_holders_do_not_exceed_a_team_limit_with_two_jobs(world):
    first, second = stale_controllers(world, a=spec(pieces=2), b=spec(pieces=2))
    assert allocate(first, "a", "vm-000000", 3) is not None
    assert allocate(second, "b", "vm-000001", 3) is None


def test_a_deposed_holder_claims_nothing(world):
    first, second = stale_controllers(world, a=spec())
    grant = first.coordinator.grant("north.0")
    second.coordinator.shard_records.grant("north.0", grant.token, "n1", second.coordinator.lease)
    assert allocate(first, "a", "vm-000000", 1, dict([first.coordinator.condition(grant)])) is None


def test_a_job_that_is_over_is_not_created_anew(world):
    first, _ = stale_controllers(world)
    world.state.transact({"if": [], "writes": [{"put": "tidebend/final/req-a", "v": "done"}]})
    reply = first.job_api.submit(b'{"id":"req-a",' + json.dumps(JOB).encode()[1:])
    assert (reply.status, reply.body["tide"]) == (200, "done")


def test_spread_is_checked_against_the_record_of_the_claim(world):
    first, _ = stale_controllers(world, a=spec(shape="service", pieces=2, vcpus=1.0, spread=True))
    now = time.monotonic()
    places = first.scheduling_loop.free_capacity.usable_machines(now, time.time())
    name = next(name for name, scheduled in places.items() if scheduled.candidate.zone == "north")
    first.scheduling_loop.allocator.allocate({"a": [Placement("a", name, 2, now, now + 1, True)]}, places)
    assert first.job_cache.get("a").allocated_by_zone() == {"north": 1}


def test_a_grant_is_not_acted_on_before_a_read(world):
    first, _ = stale_controllers(world)
    first.coordinator.holdings._held.clear()
    first.cache.barrier = lambda timeout, kind="poll": False
    first.coordinator.holdings.refresh()
    assert first.coordinator.grant("north.0") is None


def test_an_old_grant_is_not_taken_up_once_the_read_before_it_tells_of_a_later_one(world):
    """A controller that was partitioned while its shard moved to another one acted briefly on its old grant again."""
    first, second = stale_controllers(world)
    grant = first.coordinator.grant("north.0")
    first.coordinator.holdings._held.clear()
    second.coordinator.shard_records.grant("north.0", grant.token, "n1", second.coordinator.lease)
    first.coordinator.holdings.refresh()
    assert first.coordinator.grant("north.0") is None


def test_ends_wait_until_the_worker_has_confirmed_the_token(world):
    first, _ = stale_controllers(world, a=spec())
    machine = next(m for m in first.machine_registry.all() if shard_of(m.zone) == "north.0")
    allocate(first, "a", machine.name, 1)
    machine.tasks = {("a", 0, 1): TaskReport("a", 0, 1, "ended", "stopped", False)}
    machine.needs_reconciliation, confirmed = True, machine.token
    machine.token = confirmed - 1
    first.scheduling_loop.completions.recorder.batch_delay_s = 0.0
    first.scheduling_loop.mapping_event()
    assert first.job_cache.get("a").allocations
    machine.token = confirmed
    first.scheduling_loop.mapping_event()
    assert not first.job_cache.get("a").allocations


# Commands for a worker


def machine_with(**fields):
    return replace(
        Machine("vm-000000", "box", "north", False), session=2, sequence=7, report_sequence=7, token=5, **fields
    )


def job_with_allocation(session=2, **changes):
    allocation = Allocation("vm-000000", session, 1, 1, 0.0, "north")
    return [(Job("req-a", 1, spec(), 0.0, allocations=(allocation,), **changes), allocation)]


def ops(machine, allocations, direct=False):
    return [command.op for command in commands_for(machine, allocations, 5, direct)]


def test_starts_are_repeated_until_seen_but_never_for_a_cancelled_job_or_an_older_session():
    assert ops(machine_with(), job_with_allocation()) == ["start"]
    assert ops(machine_with(), job_with_allocation(cancelled=True)) == []
    assert ops(machine_with(), job_with_allocation(session=1)) == []
    assert ops(machine_with(releasing=True), job_with_allocation()) == []


def test_a_cancelled_job_has_nothing_pending():
    assert Job("req-a", 1, spec(pieces=3), 0.0, cancelled=True).pending == 0


def test_absence_proves_nothing_while_a_start_is_under_way():
    key = ("req-a", 0, 1)
    machine = machine_with()
    commands_for(machine, job_with_allocation(), 5, direct=False)
    assert not machine.can_no_longer_start(key)  # the answer to report 7 may still arrive
    report = Report("vm-000000", None, "box", "north", False, 2, 8, 5, None, ())
    machine.apply_heartbeat(report, 1.0, direct=True)
    assert not machine.can_no_longer_start(key)  # an answer to direct commands doesn't rule it out
    machine.apply_heartbeat(replace(report, sequence=9), 1.0, direct=False)
    assert machine.can_no_longer_start(key)
    commands_for(machine, job_with_allocation(), 5, direct=True)
    machine.apply_heartbeat(replace(report, sequence=10), 1.0, direct=False)
    assert not machine.can_no_longer_start(key)  # a direct start may be delayed without bound
    machine.apply_heartbeat(replace(report, sequence=11, token=6), 1.0, direct=False)
    assert machine.can_no_longer_start(key)  # a higher token is confirmed


def test_a_task_that_was_stopped_before_it_started_is_not_started_while_its_end_waits_to_be_recorded():
    """A report between the proof that a task can't start and the record of its end started it again: `ran_twice`."""
    key = ("req-a", 0, 1)
    machine = machine_with()
    machine.stop_requests[key] = 0.0
    assert machine.can_no_longer_start(key)  # so its end may be recorded, and another machine claimed for it
    machine.apply_heartbeat(Report("vm-000000", None, "box", "north", False, 2, 8, 5, None, ()), 1.0, direct=False)
    assert ops(machine, job_with_allocation()) == []
    assert key in machine.stop_requests
    assert ops(machine, []) == []
    assert not machine.stop_requests


def test_an_answer_to_direct_commands_shows_that_a_machine_lives_for_a_lease_at_most(world):
    machines = world.controllers["n0"].autoscaler.unresponsive_machines
    assert machines._last_contact(machine_with(last_heartbeat=50.0, last_direct_answer=55.0), 52.0) == 55.0
    assert machines._last_contact(machine_with(last_heartbeat=50.0, last_direct_answer=90.0), 52.0) == 62.0


def test_a_rental_name_is_not_used_again_when_the_same_term_comes_back(world):
    leader = next(c for c in world.controllers.values() if c.coordinator.term is not None)
    provisioner = leader.autoscaler.scale_out.provisioner
    provisioner._request_count = 5
    session_lease = leader.coordinator.session_lease
    until, session_lease.valid_until = session_lease.valid_until, NEVER
    leader.autoscaler.scale_once()
    session_lease.valid_until = until
    leader.autoscaler.scale_once()
    assert leader.coordinator.term is not None
    assert provisioner._request_count >= 5


def test_nothing_is_cleared_while_a_late_start_could_run_it_again():
    key = ("req-a", 0, 1)
    machine = machine_with(tasks={key: TaskReport(*key, "ended", "done", False)})
    assert ops(machine, []) == ["forget"]
    machine.starts.record_direct_start(key, 5, 0.0)
    assert ops(machine, []) == []


# Large records


def test_a_record_of_hundreds_of_machines_fits_one_value():
    allocations = tuple(
        Allocation(f"vm-{n:06d}", 1, 1 + n // 40, 0b1111 << 4 * n, 1e9 + n // 40, "palermo") for n in range(150)
    )
    job = Job("req-a", 1, spec(pieces=600), 0.0, allocations=allocations, last_attempt=4)
    assert packed_bytes(job.pack()) < 0.75 * 8192
    assert Job.unpack("req-a", json.loads(json.dumps(job.pack())), 1) == job


def test_a_record_that_is_full_becomes_a_head_with_parts_of_bounded_size(world):
    """A record that production wrote, larger than may now be written, is split into chunks. The chunks are written
    first, in transactions of few changes."""
    first, second = stale_controllers(world, a=spec(pieces=100_000, vcpus=0.0, memoryGb=0.0))
    first.record_limits.max_value_bytes, first.record_limits.max_writes = 600, 4
    sizes, original = [], world.state.transact
    world.state.transact = lambda body: (
        sizes.append((len(body["writes"]), max(packed_bytes(row.get("v")) for row in body["writes"]))),
        original(body),
    )[1]
    now = time.monotonic()
    places = first.scheduling_loop.free_capacity.usable_machines(now, time.time())
    group = [Placement("a", name, 40, now, now + 1, True) for name in places]
    for _ in range(20):
        first.scheduling_loop.allocator.allocate({"a": group}, places)
    job = first.job_cache.get("a")
    assert job.chunks
    assert len(job.allocations) > 20
    assert job.charged == job.allocated_count
    # every other task done: the bit set that packs worst
    everything = job.allocated_on(places)
    done = job.allocated & int("01" * 50_000, 2)
    while first.job_cache.get("a").allocations:
        ended = UnrecordedCompletions(everything, done)
        assert first.job_writer.write_edit(
            "a", lambda job, _, ended=ended: first.scheduling_loop.completions.job_with_completions(job, _, ended), {}
        )
    after = first.job_cache.get("a")
    assert (after.done, after.charged, after.last_attempt) == (done, job.charged, job.last_attempt)
    second.cache.catch_up(0.0, "claim")
    assert replace(second.job_cache.get("a"), chunks=None) == replace(after, chunks=None)
    # on cancellation its chunks are deleted first, and the team's charge returns to zero
    while first.job_cache.get("a"):
        assert first.job_writer.write_edit("a", lambda job, _: replace(job, cancelled=True), {})
    assert first.job_cache.team("team").charged == (0.0, 0.0)
    assert not first.job_cache.chunk_versions("a")
    assert max(changes for changes, _ in sizes) <= 4
    assert max(size for _, size in sizes) <= 600


def test_a_job_whose_description_alone_is_too_long_by_now_keeps_no_other_from_being_claimed(world):
    long = spec(pieces=3, hulls=[f"a-long-name-{n:04d}" for n in range(99)])
    first, _ = stale_controllers(world, a=long, b=spec())
    world.state.limits["value_kb"], first.record_limits.max_value_bytes = 1.0, 1024

    def edit(job, usage):
        return job.with_allocations([Allocation("vm-000000", 1, job.last_attempt + 1, 1, 0.0, "north")])

    assert list(first.job_writer.write_edits([JobEdit("a", edit), JobEdit("b", edit)])) == ["b"]
    assert not first.job_cache.get("a").allocations


def test_a_part_is_compared_as_it_was_when_the_job_was_read(world):
    """A claim of another holder that the watch delivers during an edit must not be overwritten."""
    first, second = stale_controllers(world, a=chunked_job(spec(pieces=100, vcpus=0.0, memoryGb=0.0)))
    assert allocate(first, "a", "vm-000000", 0b1) is not None
    second.cache.catch_up(0.0, "claim")

    def edit(job, usage):
        if first.job_cache.get("a").allocated == 0b1:  # on the first call only, not on the retry
            assert allocate(second, "a", "vm-000001", 0b10) is not None
            first.cache.catch_up(0.0, "claim")
        free = job.pending & 0b110
        return job.with_allocations([Allocation("vm-000002", 1, job.last_attempt + 1, free, 0.0, "north")])

    assert first.job_writer.write_edit("a", edit, {})
    allocated = {allocation.machine: allocation.tasks for allocation in first.job_cache.get("a").allocations}
    assert allocated == {"vm-000000": 0b1, "vm-000001": 0b10, "vm-000002": 0b100}


# Usage of a team: its record counts allocated tasks, the jobs' records count ended ones


def test_usage_is_what_the_claims_take_through_claims_ends_and_the_end_of_a_job(old_world):
    first, second = stale_controllers(old_world, a=spec(pieces=2), b=spec(pieces=2))
    assert allocate(first, "a", "vm-000000", 3) is not None
    assert first.job_cache.team("team").cpus == 8.0
    ended = {("vm-000000", 1, 1): 1}
    assert first.job_writer.write_edit("a", lambda job, _: job.with_ended_tasks(ended, 1), {})
    assert (first.job_cache.team("team").cpus, first.job_cache.team("team").charged[0]) == (4.0, 8.0)
    second.cache.catch_up(0.0, "claim")
    assert allocate(second, "b", "vm-000001", 3) is None  # only one more task fits
    assert allocate(second, "b", "vm-000001", 1) is not None
    first.cache.catch_up(0.0, "claim")
    assert first.job_writer.write_edit("a", lambda job, _: job.with_ended_tasks({("vm-000000", 1, 1): 2}, 2), {})
    assert (first.job_cache.team("team").cpus, first.job_cache.team("team").charged[0]) == (4.0, 4.0)
    second.cache.catch_up(0.0, "claim")
    assert second.job_cache.team("team").cpus == 4.0


def test_a_cache_that_has_not_heard_of_ends_claims_too_little_and_never_too_much(world):
    first, second = stale_controllers(world, a=spec(pieces=2), b=spec(pieces=2))
    assert allocate(first, "a", "vm-000000", 3) is not None
    second.cache.catch_up(0.0, "claim")
    assert first.job_writer.write_edit("a", lambda job, _: job.with_ended_tasks({("vm-000000", 1, 1): 1}, 1), {})
    assert second.job_cache.team("team").cpus == 8.0
    assert allocate(second, "b", "vm-000001", 1) is None


# Quotas: a team's limit is divided among the zones


def controllers_with_quotas(world, **limit):
    """Return two controllers that hold a zone each; the team's limit is divided into zone quotas, none of it used."""
    pair = stale_controllers(world, a=spec(pieces=8, vcpus=1.0), b=spec(pieces=8, vcpus=1.0))
    assert pair[0].job_cache.team("team").zone_quotas
    return pair


@contextlib.contextmanager
def transactions_lost(controller):
    """Let a controller's transactions fail without an answer, and yield the list of them; none is executed."""
    unanswered, original = [], controller.state._http.request

    def lost(method, path, body=None, timeout=2.0):
        if path == "/multi":
            unanswered.append(body)
            raise NoAnswerError("lost")
        return original(method, path, body, timeout)

    controller.state._http.request = lost
    yield unanswered
    controller.state._http.request = original


def allocate_in_zone(controller, zone, name, tasks):
    grant = controller.coordinator.grant(f"{zone}.0")

    def edit(job, usage):
        free = job.pending & tasks
        if not controller.settings.teams["team"].allows(
            usage.with_tasks_allocated(job.spec, free.bit_count()).cpus, 0.0
        ):
            return None
        return job.with_allocations([Allocation(f"vm-{zone}", 1, job.last_attempt + 1, free, 0.0, zone)])

    return controller.job_writer.write_edit(name, edit, dict([controller.coordinator.condition(grant)]))


def test_holders_of_two_zones_use_a_limit_up_and_never_more_whatever_they_know_of_each_other(world):
    first, second = controllers_with_quotas(world)
    assert allocate_in_zone(first, "north", "a", 0b111) is not None
    assert allocate_in_zone(second, "south", "b", 0b11111111) is None  # only five are left, as the conflict shows it
    assert allocate_in_zone(second, "south", "b", 0b1) is not None
    quotas = second.job_cache.team("team").zone_quotas
    assert sum(row[0] for row in quotas.zones.values()) <= 8.0
    # a claim within the zone's quota writes the job alone, so it conflicts with no other claim
    before = world.state.revision
    assert allocate_in_zone(first, "north", "a", 0b1000) is not None
    assert [row.get("put") for row in world.state.changes if row["stamp"] > before] == ["tidebend/live/job/a"]
    # quota that the other zone reserved in advance is not available until its holder releases it
    first.cache.catch_up(0.0, "claim")
    assert allocate_in_zone(first, "north", "a", 0b1110000) is None
    assert second.quota_rebalancer.release_unused("team")
    assert not second.quota_rebalancer.release_unused("team")
    first.cache.catch_up(0.0, "claim")
    assert allocate_in_zone(first, "north", "a", 0b1110000) is not None
    assert first.job_cache.used("team") == (8.0, 0.0)


def test_a_claim_that_may_be_executed_late_is_ended_before_its_team_claims_again(world):
    """Claims of two jobs within one quota don't conflict: a delayed one together with a new one could exceed it."""
    first, _ = controllers_with_quotas(world)
    assert allocate_in_zone(first, "north", "a", 0b1) is not None
    quota = int(first.job_cache.team("team").zone_quotas.zones["north"][0])
    with transactions_lost(first) as unanswered, pytest.raises(OutcomeUnknownError):
        allocate_in_zone(first, "north", "a", (1 << quota) - 1)
    assert allocate_in_zone(first, "north", "b", (1 << quota - 1) - 1) is not None
    assert world.state.transact(unanswered[0])[0] == 409


def test_shares_begin_with_what_is_used_and_an_old_reading_of_the_team_claims_nothing_more(old_world, monkeypatch):
    first, second = stale_controllers(old_world, a=spec(pieces=2, vcpus=1.0), b=spec(pieces=2, vcpus=1.0))
    assert allocate(first, "a", "vm-000000", 1) is not None
    second.cache.catch_up(0.0, "claim")
    old_world.state.transact({"if": [], "writes": [{"put": "tidebend/live/format", "v": {"version": 2}}]})
    first.cache.catch_up(0.0, "claim")
    first.quota_rebalancer.establish_quotas()
    assert first.job_cache.team("team").zone_quotas.zones == {"north": (1.0, 0.0), "south": (0.0, 0.0)}
    assert second.job_cache.team("team").zone_quotas is None
    assert allocate(second, "b", "vm-000001", 1) is not None  # within the quotas, which the conflict made it read
    assert second.job_cache.team("team").zone_quotas


def test_several_jobs_go_into_one_transaction_and_share_their_teams_record(world):
    first, _ = stale_controllers(world, a=spec(pieces=1), b=spec(pieces=1), c=spec(pieces=1))

    def edit(job, usage):
        if not first.settings.teams["team"].allows(usage.with_tasks_allocated(job.spec, 1).cpus, 0.0):
            return None
        return job.with_allocations([Allocation("vm-000000", 1, 1, 1, 0.0, "north")])

    before = world.state.revision
    changed = first.job_writer.write_edits([JobEdit(name, edit) for name in "abc"])
    assert sorted(changed) == ["a", "b"]  # the third would be over the limit
    assert world.state.revision == before + 1


def test_pages_are_taken_over_as_of_one_revision(old_world):
    """Pages of different revisions could hold a job from before its end and its team's record from after it. The
    team's usage would then appear smaller than it is."""
    first, second = stale_controllers(old_world, a=spec(), b=spec())
    assert allocate(first, "a", "vm-000000", 1) is not None
    assert first.job_writer.write_edit("a", lambda job, _: job.with_ended_tasks({("vm-000000", 1, 1): 1}, 0), {})
    original = second.state.items

    def paged(prefix, after):
        rows, _, revision = original(prefix, None)
        if after is None:
            page = [row for row in rows if row[0] <= JOB_PREFIX + "a"]
            # between the two pages the job reaches its final state, and the charge leaves its team's record
            assert first.job_writer.write_edit("a", lambda job, _: replace(job, cancelled=True), {})
            return page, True, revision
        return [row for row in rows if row[0] > after], False, revision

    second.state.items = paged
    second.cache._load()
    assert second.job_cache.get("a") is None
    assert second.job_cache.team("team").cpus == 0.0


def test_a_kind_that_cannot_be_had_does_not_take_the_calls_of_one_that_can(world, monkeypatch):
    leader = next(c for c in world.controllers.values() if c.coordinator.term is not None)
    scale_out, inventory = leader.autoscaler.scale_out, leader.autoscaler.inventory
    box = leader.autoscaler.types["box"]
    scarce, plenty = Offer(box, "north", True), Offer(box, "north", False)
    monkeypatch.setattr(
        "tidebend.controller.autoscaling.scale_out.plan_provisioning",
        lambda *args, **more: [ProvisionRequest(scarce, 5), ProvisionRequest(plenty, 1)],
    )
    offers = []
    scale_out.provisioner.provision = lambda term, offer, machines: offers.append(offer)
    scale_out.provisioner.backoff.record_shortage(scarce, time.monotonic())
    inventory.machines, inventory.as_of = {}, time.monotonic()
    view = FleetView.collect(leader.settings, leader.coordinator, leader.peer_exchange, leader.machine_registry)
    scale_out.run(Leadership(leader.coordinator.term, time.monotonic() - 10.0), inventory, view)
    assert offers == [plenty, scarce]


@pytest.mark.parametrize(("held", "released"), [(["north.0"], []), ([], ["vm-000000"])])
def test_a_zone_is_left_alone_only_if_its_controller_holds_its_block(world, held, released):
    """A controller that was cut off before it learnt of its grant refuses its workers, so they are released soon."""
    controller = world.controllers["n1"]
    now = time.monotonic()
    controller.coordinator.local_holders.record("north.0", "n0")
    controller.coordinator.cache.apply([("tidebend/live/node/n0", None, 10**6)])
    controller.coordinator.is_unreachable_by_all = lambda shard: True
    controller.peer_exchange.peers["n0"].shards = frozenset(held)
    actual = []
    controller.autoscaler.releaser.release = actual.extend
    controller.autoscaler.unresponsive_machines._release_overdue("north.0", {"vm-000000": now - 6.0}, 1, now)
    assert actual == released


def test_no_room_is_made_where_the_work_would_not_be_placed(world):
    """No task is preempted on a GPU machine for a replica that avoids GPUs, however little work that would lose."""
    scheduling_loop = world.controllers["n0"].scheduling_loop
    kinds = [
        MachineType(name, 8.0, gpus, 32.0, 50.0, 1.0, 1.0, 0.4, 10.0, ("north",))
        for name, gpus in (("plain", 0.0), ("accelerated", 2.0))
    ]
    rows = []
    for kind, lost in zip(kinds, (50.0, 0.0), strict=True):
        victim = Victim(lost, ("req-v", 0, 1), 0.0, (8.0, 0.0, 1.0), 1)
        place = CandidateMachine(f"m-{kind.name}", kind, "north", False, Timeline(0.0, (0.0, 0.0, 0.0)))
        machine = replace(machine_with(), name=f"m-{kind.name}")
        rows.append(MachineWithVictims(place, machine, (0.0, 0.0, 31.0), [victim]))
    job_spec = spec(shape="service", rank="critical", vcpus=2.0, driftwood=False)
    request = TaskRequest(
        "req-s", job_spec, value_of(own_demand(job_spec, 0.0, 1.0), 0.0, 1.0), 1.0, 1, avoids_gpus=True
    )
    scheduling_loop.preemptor.preempt_for(request, 3, list(rows), 0.0)
    assert [bool(row.machine.stop_requests) for row in rows] == [True, False]


def test_a_gangs_machine_in_a_cut_zone_is_waited_for_while_another_would_boot_and_fetch(world):
    first, _ = stale_controllers(world, a=spec(), g=spec(shape="group", sizeGb=20.0))
    assert allocate(first, "a", "vm-000100", 1) is not None
    assert allocate(first, "g", "vm-000101", 1) is not None
    released = []
    evacuation = first.autoscaler.evacuation
    first.autoscaler.releaser.release = lambda names: released.append(sorted(names))
    now = time.monotonic()
    silent = {"vm-000100": now - 30.0, "vm-000101": now - 30.0}
    evacuation.evacuate(silent, now - 1.0, now)
    assert released == [["vm-000100"]]
    wait_s = first.settings.knobs.keep_idle * (10.0 + 20.0)  # the replacement's boot and image fetch
    evacuation._next_step_at = now  # the next batch may be released now
    evacuation.evacuate(silent, now - wait_s - 1.0, now)
    assert released[1] == ["vm-000100", "vm-000101"]


def test_what_was_started_directly_and_ended_is_not_cleared_before_a_higher_token_is_confirmed():
    """A duplicate of a direct start may arrive late: once the worker has forgotten the attempt, the task would run
    again beside its replacement."""
    machine = Machine("m", "box", "north", False, session=1, token=5)
    machine.starts.direct_tokens = {("a", 0, 1): 5, ("a", 1, 1): 4, ("a", 2, 1): 5}
    machine.tasks = {
        ("a", 0, 1): TaskReport("a", 0, 1, "ended", "stopped", False),
        ("a", 1, 1): TaskReport("a", 1, 1, "ended", "stopped", False),
        ("a", 2, 1): TaskReport("a", 2, 1, "ended", "done", False),
    }
    assert {(c.op, c.index) for c in commands_for(machine, [], 5, True)} == {("forget", 1)}
    assert machine.forgetting_deferred_since is not None
    assert machine.deferred_forgets == 2
    machine.token = 6
    forgotten = {(c.op, c.index) for c in commands_for(machine, [], 6, True)}
    assert forgotten == {("forget", 0), ("forget", 1), ("forget", 2)}
    assert machine.forgetting_deferred_since is None
    assert machine.deferred_forgets == 0
