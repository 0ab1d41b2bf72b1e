"""Evaluation of the outcomes of ended tasks: run times, failures of jobs and failures of machines."""

from __future__ import annotations

import logging

from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.machine import Machine
from tidebend.controller.records.retry_backoff import RetryBackoffs
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates

log = logging.getLogger("completions")

# failures of one job on one machine that are less than this time apart came in the same report
SAME_REPORT_S = 0.01
# a machine on which tasks of this many different jobs fail is drained
FAILED_JOBS_TO_DRAIN = 2


class TaskOutcomeObserver:
    """Evaluates each ended task once; called under the machine registry's lock."""

    def __init__(self, estimates: RunTimeEstimates, backoffs: RetryBackoffs) -> None:
        """Report run times to `estimates`, and successes and failures to `backoffs`."""
        self._estimates = estimates
        self._backoffs = backoffs

    def observe(self, machine: Machine, job: Job, key: TaskKey, reason: str | None, now: float) -> None:
        """Evaluate an ended task; `reason` is its reported outcome, such as "done" or "error"."""
        if key in machine.evaluated_ends:
            return  # evaluated already; its completion hasn't been recorded yet
        machine.evaluated_ends.add(key)
        running_since = machine.running_since.pop(key, None)
        if reason == "done":
            self._observe_success(machine, job, None if running_since is None else now - running_since)
        elif reason == "error" and machine.failures.get(job.id, 0.0) < now - SAME_REPORT_S:
            machine.failures[job.id] = now
            self._backoffs.record_failure(job, machine, now, 0.0 if running_since is None else now - running_since)
            log.info("machine %s: task %s failed", machine.name, key)
            self._drain_if_faulty(machine, job)

    def _observe_success(self, machine: Machine, job: Job, run_s: float | None) -> None:
        if run_s is not None and job.spec.kind != "service":
            self._estimates.observe(job.spec.job_class, job.spec.estimate_s, run_s)
        machine.failures.clear()
        self._backoffs.record_success(job)

    def _drain_if_faulty(self, machine: Machine, failed_job: Job) -> None:
        """Drain a machine on which tasks of several jobs fail, not counting jobs that fail often on any machine."""
        failed_jobs = [
            job_id for job_id in machine.failures if job_id == failed_job.id or self._backoffs.has_few_failures(job_id)
        ]
        if len(failed_jobs) >= FAILED_JOBS_TO_DRAIN and not machine.draining:
            machine.draining = True
            log.info("machine %s: draining because tasks of several jobs failed on it", machine.name)
