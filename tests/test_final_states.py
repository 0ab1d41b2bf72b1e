"""A final state reported to a user never changes, even if a job is cancelled while its last tasks end.

The version in production records a job as done once all its tasks are done, even if its cancellation was confirmed
before. In the tests with controllers of both versions, therefore, cancellations are mostly confirmed by a controller of
this version while controllers of the production version record the completions.
"""

import contextlib
import random
import re
import threading
from dataclasses import replace
from unittest import mock

import pytest

from simulation.checker import breaches, contradicted
from simulation.search import play as play_search
from simulation.versions import at
from simulation.world import NEW, World
from tests.test_guards import TYPES, started_world
from tests.test_scenarios import JOB
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.final_states import CANCELLED, DONE, final_state_of
from tidebend.cluster_state.job_records import JOB_PREFIX, Job
from tidebend.cluster_state.task_bitmap import format_ranges
from tidebend.controller.records.cancellation_sealer import CancellationSealer
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.coordination.schema_version import SCHEMA_VERSION_KEY
from tidebend.kvclient import NotExecutedError, OutcomeUnknownError
from tidebend.protocol import parse_job

ZONES = ["north", "south", "west"]
TEAM = {"name": "team", "cpus": 40.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0}
BOX = {**TYPES[0], "harbors": ZONES}
JOBS = {
    "array": {"pieces": 3, "vcpus": 1.0, "run_s": 4.0},
    "one": {"pieces": 1, "vcpus": 1.0, "run_s": 3.0},
    "gang": {"shape": "group", "pieces": 2, "vcpus": 2.0, "run_s": 5.0, "samePlace": True},
}


def crash(world, node, seconds, times):
    for when in times:
        world.scheduled_actions.append((world.now + when, lambda: world.crash(node, seconds)))


def nothing(world):
    pass


def the_confirming_controller_ends(world):
    crash(world, "n0", 0.3, (12.0, 20.0, 28.0))


def the_recording_controllers_end(world):
    crash(world, "n1", 0.3, (11.0, 24.0))
    crash(world, "n2", 3.0, (17.0, 31.0))


def answers_are_lost(world):
    world.lost_answers.append((world.now + 40.0, 0.2))


def writes_are_late(world):
    world.late_writes.append((world.now + 40.0, 0.2))


def users_look_closely(world):
    world.concurrent_requests_until = world.now + 60.0


FAULTS = (
    nothing,
    the_confirming_controller_ends,
    the_recording_controllers_end,
    answers_are_lost,
    writes_are_late,
    users_look_closely,
)


def mixed_version_world(seed, former):
    """A world in which n0 runs this version, n1 and n2 a former one, with machines only in the zones of n1 and n2."""
    random.seed(seed)
    world = World(seed, ZONES, [TEAM], [BOX])
    world.versions.update(dict.fromkeys(("n1", "n2"), former))
    world.cloud.capacity.update({("box", zone, spot): 0 for zone in ZONES for spot in (False, True)})
    for zone in ("south", "west"):
        for _ in range(4):
            world.cloud.add("box", zone, False, -50.0)
    return world


def play(world, inject_fault, jobs=24):
    """Run jobs of each kind, each cancelled through `world.cancelled_through` as its last task ends."""
    with world.clock():
        for _ in range(80):
            world.step()
        world.cancelled_at_end.append((world.now + 60.0, 1.0))
        inject_fault(world)
        for number in range(jobs):
            for kind, job in JOBS.items():
                world.submit(f"req-{kind}-{number}", **{**JOB, "harbor": ZONES[1 + number % 2], **job})
            for _ in range(10):
                world.step()
        for _ in range(400):
            world.step()


def jobs_confirmed_cancelled(world):
    return {row[3] for row in world.log if row[1] == "told" and row[5] == "withdrawn"}


def jobs_with_all_tasks_done(world):
    return {name for name, job in world.jobs.items() if world.done_tasks.get(name) == job["pieces"]}


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_what_this_version_confirms_as_cancelled_is_never_made_done_by_the_version_in_production(former, fault, seed):
    world = mixed_version_world(seed, former)
    world.cancelled_through = "n0"
    play(world, fault)
    assert {world.versions[node] is NEW for node in ("n1", "n2")} == {False}
    # otherwise the case that this test guards against hasn't occurred
    assert len(jobs_confirmed_cancelled(world) & jobs_with_all_tasks_done(world)) >= 10
    found = breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)
    assert not found, found[:5]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_this_version_calls_cancelled_is_never_made_done_though_production_recorded_the_cancellation(former, seed):
    world = mixed_version_world(seed, former)
    world.cancelled_through = "n1"
    world.concurrent_requests_until = 1e9
    play(world, nothing)
    assert jobs_confirmed_cancelled(world) & jobs_with_all_tasks_done(world)
    assert not contradicted(world.log, by_new_only=True)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("are_mapping_events_held_up", [False, True])
def test_a_cancellation_that_production_confirmed_is_sealed_on_sight_while_the_holder_stands_still(
    former, seed, are_mapping_events_held_up, monkeypatch
):
    """Guards against seals that come after the job's end, since a mapping event waits for the store's rate."""
    world = mixed_version_world(seed, former)
    if are_mapping_events_held_up:
        monkeypatch.setattr(SchedulingLoop, "mapping_event", lambda self: None)
    with world.clock():
        for _ in range(100):
            world.step()
        for kind, job in JOBS.items():
            world.submit(f"req-{kind}", **{**JOB, "harbor": "south", **job, "run_s": 6.0})
        for _ in range(50):
            world.step()
        assert world.holder("south") == "n1"
        for name in world.jobs:
            world.log.append((world.now, "asked", "cancel", name, None))
            assert world.user("cancel", name, "n2") == (200, "withdrawn")
        world.frozen["n1"] = world.now + 2.8  # less than its lease, but long enough for the tasks to end
        world.polls.clear()  # no polls before the jobs have ended
        for _ in range(200):
            world.step()
        for name in world.jobs:
            assert [world.user("poll", name, node) for node in world.nodes] == [(200, "withdrawn")] * 3
    assert jobs_with_all_tasks_done(world) == world.jobs.keys()
    found = breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)
    assert not found, found[:5]


@pytest.mark.parametrize("error", [NotExecutedError("refused"), OutcomeUnknownError("no answer")], ids=lambda e: str(e))
def test_cancellations_that_cannot_be_sealed_now_keep_the_mapping_event_from_nothing(error):
    for world in started_world():
        with mock.patch.object(CancellationSealer, "seal_all", side_effect=error) as seal_all:
            world.submit("req-a", **{**JOB, "run_s": 3.0})
            for _ in range(100):
                world.step()
        assert seal_all.called
        assert world.answers["req-a"] == (200, "done")


def test_a_cancellation_that_production_recorded_is_sealed_after_the_rise_of_the_format_too():
    """A transaction of the production version whose outcome is unknown may be executed even after the upgrade."""
    for world in started_world():
        assert SCHEMA_VERSION_KEY in world.state.items
        job = Job("req-a", 0, parse_job({**JOB, "pieces": 2}), 0.0, cancelled=True)
        record = replace(job, allocations=(Allocation("vm-000000", 1, 1, 3, 0.0, "north"),)).pack()
        del record["done"]  # as the production version writes it
        world.state.transact({"if": [], "writes": [{"put": JOB_PREFIX + "req-a", "v": record}]})
        written = len(world.state.changes)
        for _ in range(20):
            world.step()
        after = next(row for row in world.state.changes[written:] if JOB_PREFIX + "req-a" in row.values())
        assert after["v"] == {**record, "done": "2"}


@pytest.mark.parametrize("cancelled", [False, True])
@pytest.mark.parametrize(("done", "also_done"), [(0, 0), (1, 0), (1, 2), (3, 0), (3, 3)])
def test_a_cancelled_job_is_cancelled_whatever_is_done_and_another_one_done_once_all_tasks_are(
    cancelled, done, also_done
):
    job = Job("req-a", 1, parse_job({**JOB, "pieces": 2}), 0.0, cancelled=cancelled, done=done)
    assert final_state_of(job, also_done) == (CANCELLED if cancelled else DONE if done | also_done == 3 else None)


def cancelled_record(tasks, done, allocated):
    """Return a cancelled job's record as the production version writes it; `done`, `allocated`: bitmaps."""
    allocations = (Allocation("vm-000000", 1, 1, allocated, 0.0, "north"),) if allocated else ()
    job = Job("req", 0, parse_job({**JOB, "pieces": tasks}), 0.0, cancelled=True, done=done, allocations=allocations)
    return {**job.pack(), "done": format_ranges(done)}


def test_the_cancellations_that_may_be_recorded_as_done_soonest_are_sealed_first():
    records = {
        "req-not-started": cancelled_record(2, 0, 0),
        "req-three-left": cancelled_record(4, 1, 14),
        "req-one-waits": cancelled_record(2, 0, 1),
        "req-one-left": cancelled_record(4, 7, 8),
        "req-two-left": cancelled_record(2, 0, 3),
    }
    for world in started_world():
        writes = [{"put": JOB_PREFIX + name, "v": record} for name, record in records.items()]
        world.state.transact({"if": [], "writes": writes})
        controller = world.controllers["n0"]
        controller.cache.catch_up(0.0, "claim")
        with mock.patch.object(controller.job_writer, "write_edits", return_value={}) as write_edits:
            controller.cancellation_sealer.seal_all()
        edits = write_edits.call_args.args[0]
        assert [edit.job_id for edit in edits][:3] == ["req-one-left", "req-two-left", "req-three-left"]
        assert {edit.job_id for edit in edits} == records.keys()


class FlakyJobs:
    """Stands in for the job cache and the writer: sealing fails in several ways before it succeeds."""

    writes_per_s = 1000.0

    def __init__(self):
        self.errors = [NotExecutedError("refused"), OutcomeUnknownError("no answer"), RuntimeError("a bug")]
        self.is_sealed = threading.Event()
        self.job = Job.unpack("req-a", cancelled_record(1, 0, 1), 1)

    def has_unsealed_cancellations(self):
        return not self.is_sealed.is_set()

    def unsealed_cancellations(self):
        return [self.job] if self.has_unsealed_cancellations() else []

    def write_edits(self, edits, *_, **__):
        if self.errors:
            raise self.errors.pop()
        self.is_sealed.set()
        return {"req-a": self.job}


def test_the_sealing_thread_goes_on_until_all_is_sealed_whatever_fails():
    jobs = FlakyJobs()
    sealer = CancellationSealer(jobs, jobs)
    sealer.start()
    sealer.wake_if_needed()
    assert jobs.is_sealed.wait(10.0)
    assert not jobs.errors


CHUNKED_JOB_TASKS = 200
# form -> (job, maximum size of a record in bytes, probability of a cancellation at each step near the job's end)
RECORD_FORMS = {
    "one record": ({"pieces": 5, "vcpus": 0.1, "memoryGb": 0.0}, 8192, 0.1),
    "gang": ({"shape": "group", "pieces": 5, "vcpus": 0.1, "memoryGb": 0.0}, 8192, 0.2),
    "chunks": ({"pieces": CHUNKED_JOB_TASKS, "vcpus": 0.01, "memoryGb": 0.0}, 500, 0.01),
}


def record_ends_and_cancellations(world, controllers, rng, cancelled_share):
    """Record completions and cancel the job at random, through controllers that read at random times."""
    allocations = controllers[0].job_cache.get("req-a").allocations
    is_gang = controllers[0].job_cache.get("req-a").spec.kind == "gang"
    for _ in range(150):
        controller = rng.choice(controllers)
        if rng.random() < 0.4:
            controller.cache.catch_up(0.0, "claim")
        allocation = rng.choice(allocations)
        tasks = allocation.tasks & rng.getrandbits(allocation.tasks.bit_length())
        # a gang's tasks complete together
        done = (1 << CHUNKED_JOB_TASKS) - 1 if is_gang and tasks else tasks
        ended = {(allocation.machine, allocation.session, allocation.attempt): tasks}
        with contextlib.suppress(NotExecutedError, OutcomeUnknownError):
            job = controller.job_cache.get("req-a")
            left = (job.all_tasks & ~job.done).bit_count() if job else 0
            if (is_gang or left <= max(2, CHUNKED_JOB_TASKS // 8)) and rng.random() < cancelled_share:
                world.user("cancel", "req-a", rng.choice(world.nodes))
            else:
                controller.job_writer.write_edit(
                    "req-a",
                    lambda job, _, ended=ended, done=done: job.with_ended_tasks(ended, done & job.all_tasks),
                    {},
                )
        world.now = world.monotonic_now = round(world.now + 0.5, 6)
        world.apply_delayed_transactions()
        for node in world.nodes:
            world.user("poll", "req-a", node)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("form", RECORD_FORMS)
def test_ends_and_cancellations_in_any_order_give_one_final_state(form, seed):
    fields, max_value_bytes, cancelled_share = RECORD_FORMS[form]
    rng = random.Random(seed)
    for world in started_world():
        controllers = [world.controllers[node] for node in world.nodes]
        for controller in controllers:
            controller.record_limits.max_value_bytes, controller.record_limits.max_writes = max_value_bytes, 4
        world.submit("req-a", **{**JOB, **fields, "run_s": 1e9})
        for _ in range(100):
            world.step()
        assert controllers[0].job_cache.get("req-a").allocated == controllers[0].job_cache.get("req-a").all_tasks
        assert bool(controllers[0].job_cache.get("req-a").chunks) == (form == "chunks")
        world.lost_answers.append((world.now + 1e9, 0.1))
        world.late_writes.append((world.now + 1e9, 0.1))
        record_ends_and_cancellations(world, controllers, rng, cancelled_share)
        assert not contradicted(world.log)


def log_messages(caplog, logger):
    return [record.getMessage() for record in caplog.records if record.name == logger]


def test_the_log_tells_which_version_confirmed_a_cancellation_and_by_what_it_became_final(former, caplog):
    caplog.set_level("INFO")
    world = mixed_version_world(1, former)
    world.cancelled_through = "n0"
    world.upgrade("n1", 1.0)
    play(world, nothing, jobs=4)
    versions = log_messages(caplog, "schema_version")
    assert [row.partition(" as of")[0] for row in versions].count("schema version 1 is in force") == 2
    assert versions.count("announced that this process reads up to schema version 2") == 2
    for name in jobs_confirmed_cancelled(world):
        assert any(
            re.fullmatch(
                rf"job {name} is withdrawn as of revision \d+, by its (final record|record of revision \d+)", row
            )
            for row in log_messages(caplog, "api")
        )
    ended = [row for row in log_messages(caplog, "records") if ": cancelled at revision " in row]
    assert ended  # from controllers of this version; former ones don't log this
    for row in ended:
        assert re.fullmatch(
            r"job \S+: cancelled at revision \d+, by its record of revision \d+; \d of \d tasks done", row
        )
    assert not log_messages(caplog, "cluster_state")


def test_the_log_tells_of_a_final_record_that_contradicts_a_cancellation(former, caplog):
    world = mixed_version_world(1, former)
    world.cancelled_through = "n1"
    with mock.patch.object(CancellationSealer, "seal_all"):
        play(world, nothing, jobs=4)
    in_the_log = {
        row.split()[1].rstrip(":") for row in log_messages(caplog, "cluster_state") if "was cancelled before" in row
    }
    assert in_the_log
    assert in_the_log == contradicted(world.log)


# the version in production with a one-line fix: the final record of a cancelled job says cancelled
PATCH_RELEASE = "bb963bde890b9611b378d06daff3b9921c066c80"
FAULT_COMBINATIONS = (
    ("cancelled at the end", "close looks"),
    ("cancelled at the end", "lost answers", "crash"),
    ("cancelled at the end", "late writes", "crash of all"),
    (),
)


@pytest.mark.parametrize("faults", FAULT_COMBINATIONS, ids=" + ".join)
def test_what_this_version_calls_final_stays_so_through_upgrades_and_troubles(former, faults):
    taken_back = 0
    for seed in (1, 2, 3):
        result = play_search(seed, faults, former)
        assert not result["contradicted_new"], result
        taken_back += len(result["contradicted"])
    # cancellations that only the production version confirmed aren't protected: otherwise the case hasn't occurred
    assert taken_back


@pytest.mark.parametrize("faults", FAULT_COMBINATIONS, ids=" + ".join)
def test_with_the_patch_release_no_final_state_changes_in_an_upgrade(faults):
    patched = at(PATCH_RELEASE)
    if patched is None:
        pytest.skip("the patch release isn't in the history at hand")
    for seed in (1, 2, 3):
        result = play_search(seed, faults, patched)
        assert not result["breaches"], result
        assert not result["contradicted"], result
