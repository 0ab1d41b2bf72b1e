"""Retries of failed jobs: exponential backoff, and detection of jobs that fail on every machine (crash looping)."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.settings import Settings

log = logging.getLogger("completions")

# a job that has failed on this many machines and runs on none is assumed to be faulty itself
CRASH_LOOP_MACHINES = 3
# the maximum backoff of a crash-looping job, as a multiple of the worker lease
MAX_CRASH_LOOP_BACKOFF_LEASES = 2.0
# a job with fewer failures, on any machines, isn't considered the cause of a machine's failed tasks
FEW_FAILURES = 3
# the backoff after a job's first failure, and the maximum before it is crash looping, in report intervals
INITIAL_BACKOFF_REPORTS = 0.25
MAX_BACKOFF_REPORTS = 8.0
# the maximum number of machines remembered per failing job, the most recent failures
MAX_REMEMBERED_MACHINES = 32
# the maximum number of crash-looping jobs reported to the other controllers
MAX_REPORTED_JOBS = 200


@dataclass
class RetryBackoff:
    """The failures of one job, and the time before which it isn't retried."""

    failures: int = 0
    not_before: float = 0.0  # monotonic time in seconds
    rounds: int = 0  # backoffs since the job has been crash looping
    machines: dict[str, float] = field(default_factory=dict)  # machine -> monotonic time of its last failure
    longest_run_s: float = 0.0  # the longest time that a failed task had been reported as running


class RetryBackoffs:
    """The backoffs of all jobs with failures that this controller has observed since the job's last success."""

    def __init__(
        self,
        settings: Settings,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        peers_crash_looping: Callable[[], frozenset[str]],
    ) -> None:
        """`peers_crash_looping` returns the jobs that other controllers report as crash looping."""
        self._settings = settings
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._peers_crash_looping = peers_crash_looping
        self.by_job: dict[str, RetryBackoff] = {}

    def forget_finished_jobs(self) -> None:
        """Drop the backoffs of jobs that no longer have a live record."""
        for job_id in [job_id for job_id in self.by_job if self._job_cache.get(job_id) is None]:
            del self.by_job[job_id]

    def record_success(self, job: Job) -> None:
        """Reset a job's backoff after one of its tasks is done."""
        self.by_job.pop(job.id, None)

    def record_failure(self, job: Job, machine: Machine, now: float, run_s: float) -> None:
        """Count a task's failure on a machine after `run_s` seconds of running, and delay the job's next attempt.

        A single failure is mostly caused by the machine, so the initial backoff is short; it grows with each further
        failure.
        """
        backoff = self.by_job.setdefault(job.id, RetryBackoff())
        backoff.failures += 1
        backoff.longest_run_s = max(backoff.longest_run_s, run_s)
        backoff.machines.pop(machine.name, None)
        backoff.machines[machine.name] = now
        while len(backoff.machines) > MAX_REMEMBERED_MACHINES:
            del backoff.machines[next(iter(backoff.machines))]
        backoff_reports = min(MAX_BACKOFF_REPORTS, INITIAL_BACKOFF_REPORTS * 2.0 ** (backoff.failures - 1))
        backoff_s = backoff_reports * self._settings.report_s
        if self.is_crash_looping(job, now):
            if now < backoff.not_before:
                return  # a failure of the same round: the tasks of an array fail together
            backoff.rounds += 1
            backoff_s = min(
                MAX_CRASH_LOOP_BACKOFF_LEASES * self._settings.lease_s, 2.0**backoff.rounds * self._settings.report_s
            )
            log.info("job %s fails on every machine; next attempt in %.0f s", job.id, backoff_s)
        backoff.not_before = now + backoff_s

    def has_few_failures(self, job_id: str) -> bool:
        """Whether a job has too few failures, on all machines together, to be considered their cause."""
        return self.by_job.get(job_id, RetryBackoff()).failures < FEW_FAILURES

    def is_crash_looping(self, job: Job, now: float) -> bool:
        """Whether the job itself seems to be faulty, rather than the machines on which it failed.

        Without this check machines would be provisioned again and again for hundreds of tasks that all fail, until the
        user cancels the job. A job isn't faulty if one of its tasks is done, or has been running for clearly longer
        than its failed tasks had. For tasks in other controllers' shards only the time since their allocation is known;
        their completions are recorded much sooner than after `MAX_CRASH_LOOP_BACKOFF_LEASES`.
        """
        backoff = self.by_job.get(job.id, RetryBackoff())
        if job.done or (len(backoff.machines) < CRASH_LOOP_MACHINES and job.id not in self._peers_crash_looping()):
            return False
        healthy_run_s = 2.0 * (backoff.longest_run_s + self._settings.report_s)
        return not self._has_healthy_task(job, now, healthy_run_s)

    def _has_healthy_task(self, job: Job, now: float, healthy_run_s: float) -> bool:
        """Whether a task has been running for more than `healthy_run_s`, or allocated elsewhere for long enough."""
        with self._machine_registry.lock:
            for allocation in job.allocations:
                machine = self._machine_registry.machines.get(allocation.machine)
                if machine is None:
                    if time.time() - allocation.allocated_at > MAX_CRASH_LOOP_BACKOFF_LEASES * self._settings.lease_s:
                        return True
                elif any(
                    now - machine.running_since.get((job.id, index, allocation.attempt), now) > healthy_run_s
                    for index in set_bits(allocation.tasks)
                ):
                    return True
        return False

    def machines_to_avoid(self, job: Job, now: float) -> frozenset[str]:
        """Return the machines on which a crash-looping job failed recently.

        Other machines are tried first: if the machines are faulty rather than the job, the next one may work.
        """
        backoff = self.by_job.get(job.id)
        if backoff is None:
            return frozenset()
        oldest = now - MAX_CRASH_LOOP_BACKOFF_LEASES * self._settings.lease_s
        return frozenset(name for name, failed_at in backoff.machines.items() if failed_at > oldest)

    def crash_looping_jobs(self) -> list[str]:
        """Return the jobs to report to the other controllers, at most `MAX_REPORTED_JOBS`.

        The controller that provisions machines for a job need not be the one that holds the machines on which it fails.
        """
        return [
            job_id for job_id, backoff in list(self.by_job.items()) if len(backoff.machines) >= CRASH_LOOP_MACHINES
        ][:MAX_REPORTED_JOBS]
