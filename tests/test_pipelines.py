"""What the job cache derives along the graph of dependent jobs, and how many jobs it updates for that."""

import math
import threading

from tests.test_scenarios import JOB as FIELDS
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.protocol import parse_job
from tidebend.scheduling import Demand, propagate_demands

SPEC = parse_job(FIELDS)


class CountingJobCache(JobCache):
    """Counts the index updates, which are the cost of a change."""

    indexed = 0

    def _add_to_indexes(self, job):
        self.indexed += 1
        super()._add_to_indexes(job)


def job_cache_of(graph):
    """`graph`: the dependencies of each job, by name."""
    job_cache = CountingJobCache(threading.RLock(), 10)
    for version, (name, dependencies) in enumerate(graph.items(), 1):
        job = Job(name, 0, SPEC, 100.0, dependencies=tuple(dependencies))
        job_cache.on_change(job.key, job.pack(), version)
    job_cache.indexed = 0
    return job_cache


def final(job_cache, name, state, at=0.0):
    job_cache.on_change(f"tidebend/final/{name}", {"state": state, "at": at}, 10**6)


def test_a_cancellation_goes_down_a_deep_chain_and_looks_at_each_job_once():
    depth = 3000
    job_cache = job_cache_of({f"req-{n}": [f"req-{n - 1}"] if n else [] for n in range(depth)})
    final(job_cache, "req-0", "cancelled")
    assert all(job_cache.final_state(f"req-{n}") == "cancelled" for n in range(depth))
    assert job_cache.indexed <= depth


def test_hundreds_of_waiting_jobs_cost_nothing_while_they_wait_and_one_look_when_they_may_start():
    wide = 400
    job_cache = job_cache_of({"req-0": [], **{f"req-{n}": ["req-0"] for n in range(1, wide)}})
    allocated = Job("req-0", 0, SPEC, 100.0, last_attempt=1)
    job_cache.on_change(JOB_PREFIX + "req-0", allocated.pack(), 5000)
    assert job_cache.indexed == 1  # progress of a dependency doesn't update the jobs that wait for it
    assert [job.id for job in job_cache.live_jobs() if job.pending] == ["req-0"]
    job_cache.on_change(JOB_PREFIX + "req-0", None, 5001)
    final(job_cache, "req-0", "done", 130.0)
    assert job_cache.indexed <= wide
    assert all(job.pending and job.startable_since == 130.0 for job in job_cache.live_jobs())


def test_a_diamond_waits_for_both_sides_and_readiness_is_the_last_of_them():
    job_cache = job_cache_of({"req-a": [], "req-b": ["req-a"], "req-c": ["req-a"], "req-d": ["req-b", "req-c"]})
    for name, at in (("req-a", 110.0), ("req-c", 140.0)):
        final(job_cache, name, "done", at)
    assert job_cache.get("req-d").blocked
    assert not job_cache.get("req-b").blocked
    final(job_cache, "req-b", "done", 120.0)
    assert (job_cache.get("req-d").blocked, job_cache.get("req-d").startable_since) == (False, 140.0)
    # the first allocation records this time in place of the dependencies
    recorded = Job.unpack("req-d", job_cache.get("req-d").with_allocations([]).pack(), 9)
    assert (recorded.dependencies, recorded.dependencies_done_at, recorded.blocked, recorded.key) == (
        (),
        140.0,
        False,
        HEAD_PREFIX + "req-d",
    )


def test_what_is_over_and_unknown_is_asked_for_and_holds_what_needs_it_until_then():
    # as after a restart: req-a ended earlier, and its final state isn't cached
    job_cache = job_cache_of({"req-b": ["req-a"], "req-c": ["req-b"]})
    assert job_cache.missing_final_states() == job_cache.missing_final_states("req-c") == ["req-a"]
    assert job_cache.get("req-c").blocked
    assert job_cache.final_state("req-c") is None
    final(job_cache, "req-a", "cancelled")
    assert job_cache.missing_final_states() == []
    assert job_cache.final_state("req-c") == "cancelled"


def test_finals_that_are_needed_outlive_the_cache_of_finals():
    job_cache = job_cache_of({"req-b": ["req-a", "req-z"]})
    final(job_cache, "req-a", "cancelled")
    for n in range(50):
        final(job_cache, f"req-n{n}", "done")
    assert job_cache.final_state("req-b") == "cancelled"
    assert job_cache.missing_final_states() == ["req-z"]


def test_deadline_and_priority_of_the_last_job_reach_all_that_it_needs_less_the_critical_path():
    after = {"a": ["b", "c"], "b": ["d"], "c": ["d"]}
    own = {"a": Demand(0), "b": Demand(0), "c": Demand(1, 500.0, 600.0), "d": Demand(2, 200.0, 230.0)}
    found = propagate_demands(own, {"a": 5.0, "b": 30.0, "c": 10.0, "d": 8.0}, after)
    assert found["b"] == Demand(2, 192.0, 222.0)
    assert found["c"] == Demand(2, 192.0, 222.0)
    assert found["a"] == Demand(2, 162.0, 192.0)  # through b, the longer path
    # nothing is inherited while the last job isn't there
    assert (
        propagate_demands({"a": Demand(0), "b": Demand(0)}, {"a": 5.0, "b": 30.0}, {"a": ["b"]})["a"].soft_deadline
        == math.inf
    )


def test_demands_of_a_deep_chain_need_no_recursion():
    depth = 3000
    own = {n: Demand(0) for n in range(depth)} | {depth: Demand(3, 1e6, 1e6)}
    found = propagate_demands(own, dict.fromkeys(range(depth + 1), 1.0), {n: [n + 1] for n in range(depth)})
    assert found[0] == Demand(3, 1e6 - depth, 1e6 - depth)
