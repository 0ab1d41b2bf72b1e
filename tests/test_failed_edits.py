"""Edits of job records whose transactions fail again and again, beside edits of other jobs."""

import json

import pytest

from simulation.world import TICK
from tests.test_guards import TEAMS, spec, stale_controllers, started_world
from tests.test_scenarios import JOB
from tests.test_starts import ask
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import JOB_PREFIX, Job
from tidebend.controller.records.job_writer import JobEdit
from tidebend.quota import QUOTA_PREFIX

LONGEST_WAIT_S = 90.0  # of a job beside a machine with room
NEVER_STORED = 10**9  # a version that the store's revisions don't reach
CONFLICTING = [f"conflicting-{number:02d}" for number in range(24)]


@pytest.fixture
def world():
    yield from started_world()


def cache_conflicting_jobs(controller, names, job_spec):
    """Add jobs to the controller's cache that the store doesn't have, so that each write of them conflicts."""
    controller.cache.apply(
        [(JOB_PREFIX + name, Job(name, 0, job_spec, 0.0).pack(), NEVER_STORED + at) for at, name in enumerate(names)]
    )


def claim(name):
    """Return an edit that allocates the job's first task."""

    def edit(job, usage):
        return job.with_allocations([Allocation("vm-000000", 1, job.last_attempt + 1, 1, 0.0, "north")])

    return JobEdit(name, edit)


def test_a_claim_that_always_conflicts_doesnt_keep_one_in_the_same_transaction_from_being_written(world):
    """Guards against claims that were never written, as the smallest transaction had a conflicting one as well."""
    controller, _ = stale_controllers(world, b=spec(vcpus=1.0))
    cache_conflicting_jobs(controller, CONFLICTING[:1], spec(vcpus=1.0))
    assert list(controller.job_writer.write_edits([claim(CONFLICTING[0]), claim("b")])) == ["b"]


def test_claims_that_always_conflict_dont_keep_those_behind_them_from_being_written(world):
    """Guards against claims that were never written, as each call gave up at the same conflicting ones."""
    controller, _ = stale_controllers(world, b=spec(vcpus=0.0))
    cache_conflicting_jobs(controller, CONFLICTING, spec(vcpus=0.0))
    edits = [claim(name) for name in [*CONFLICTING, "b"]]
    written = [list(controller.job_writer.write_edits(edits)) for _ in range(len(CONFLICTING))]
    assert ["b"] in written


def test_a_conflict_that_names_no_key_keeps_no_claim_from_being_written(world, monkeypatch):
    """Guards against claims that are never written beside a conflicting one that can't be told from them."""
    controller, _ = stale_controllers(world, b=spec(vcpus=1.0))
    cache_conflicting_jobs(controller, CONFLICTING[:1], spec(vcpus=1.0))
    transact = world.state.transact

    def without_keys(body):
        status, answer = transact(body)
        return status, {**answer, "failed": []} if status == 409 else answer

    monkeypatch.setattr(world.state, "transact", without_keys)
    edits = [claim(CONFLICTING[0]), claim("b")]
    assert any("b" in controller.job_writer.write_edits(edits) for _ in range(2))


def test_an_end_that_conflicts_once_is_still_written_ahead_of_the_claim_that_needs_its_room(world):
    """A conflict with another controller's write is normal: the order of edits must survive it."""
    controller, other = stale_controllers(world, a=spec(vcpus=8.0, pieces=2), b=spec(vcpus=8.0))
    assert controller.job_writer.write_edits([claim("a")])
    other.cache.catch_up(0.0, "claim")
    assert other.job_writer.write_edit("a", lambda job, _: job.with_cancellation(), {}) is not None
    end = JobEdit("a", lambda job, _: job.with_ended_tasks({("vm-000000", 1, 1): 1}, 0))

    def claim_within_limit(job, usage):
        if not controller.settings.teams["team"].allows(usage.with_tasks_allocated(job.spec, 1).cpus, 0.0):
            return None
        return claim("b").apply(job, usage)

    assert sorted(controller.job_writer.write_edits([end, JobEdit("b", claim_within_limit)])) == ["a", "b"]


def test_a_job_starts_beside_jobs_whose_claims_always_conflict(world):
    """Guards against a zone in which nothing starts: the room went to claims that could never be written."""
    controller = world.controllers["n0"]
    cache_conflicting_jobs(controller, CONFLICTING, spec(vcpus=2.0, harbor="north"))
    job = {"id": "req-000001", **JOB, "vcpus": 2.0, "harbor": "north"}
    world.jobs[job["id"]] = job
    assert ask(controller, "POST", "/api/jobs", json.dumps(job).encode()).status == 201
    for _ in range(int(LONGEST_WAIT_S / TICK)):
        world.step()
        if controller.job_cache.get(job["id"]) is None or controller.job_cache.get(job["id"]).allocations:
            return
    raise AssertionError("the job didn't start")


def test_a_conflict_over_one_teams_quotas_keeps_no_other_teams_from_being_written():
    """Guards against teams without zone quotas, as each call ended at the first team whose write conflicted."""
    teams = [{**TEAMS[0], "name": name} for name in ("first", "second")]
    for world in started_world(teams):
        controller = world.controllers["n0"]
        for name in ("first", "second"):
            key = QUOTA_PREFIX + name
            world.state.transact({"if": [], "writes": [{"delete": key}]})
            controller.cache.apply([(key, None, NEVER_STORED)])
        world.state.transact({"if": [], "writes": [{"put": QUOTA_PREFIX + "first", "v": {}}]})
        controller.quota_rebalancer.establish_quotas()
        assert controller.job_cache.has_zone_quotas("second")
