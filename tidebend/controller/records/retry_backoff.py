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

# a job that has failed on this many machines, and runs nowhere, is assumed to be faulty itself
CRASH_LOOP_MACHINES = 3
# the longest pause between two attempts of a crash-looping job, in workers' leases
MAX_PAUSE_LEASES = 2.0
# a job with fewer failures, wherever, isn't taken as the cause when a machine's tasks fail
FEW_FAILURES = 3
# the pause after a job's first failure, and the longest before it counts as crash looping, in report intervals
FIRST_PAUSE_REPORTS = 0.25
MAX_PAUSE_REPORTS = 8.0
# the number of machines with failures of one job that are remembered, the most recent ones
MAX_REMEMBERED_MACHINES = 32
# the number of crash-looping jobs that are reported to the other controllers
MAX_REPORTED_JOBS = 200


@dataclass
class RetryBackoff:
    """The failures of one job, and the time before which it isn't tried again."""

    failures: int = 0
    not_before: float = 0.0  # steady time
    rounds: int = 0  # pauses since the job counts as crash looping
    machines: dict[str, float] = field(default_factory=dict)  # machine -> steady time of the last failure there
    longest_run_s: float = 0.0  # the longest time that a failed task was reported as running


class RetryBackoffs:
    """The backoff of every job with failures that this controller has seen since the job's last success."""

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
        """Drop the backoffs of jobs that have no live record any more."""
        for job_id in [job_id for job_id in self.by_job if self._job_cache.get(job_id) is None]:
            del self.by_job[job_id]

    def record_success(self, job: Job) -> None:
        """Reset a job's backoff: one of its tasks is done."""
        self.by_job.pop(job.id, None)

    def record_failure(self, job: Job, machine: Machine, now: float, run_s: float) -> None:
        """Count a task's failure on a machine after `run_s` seconds of running, and delay the job's next attempt.

        A single failure is most often the machine's fault, so the pause begins short; a job that fails again and again
        is tried at growing intervals.
        """
        backoff = self.by_job.setdefault(job.id, RetryBackoff())
        backoff.failures += 1
        backoff.longest_run_s = max(backoff.longest_run_s, run_s)
        backoff.machines.pop(machine.name, None)
        backoff.machines[machine.name] = now
        while len(backoff.machines) > MAX_REMEMBERED_MACHINES:
            del backoff.machines[next(iter(backoff.machines))]
        pause_reports = min(MAX_PAUSE_REPORTS, FIRST_PAUSE_REPORTS * 2.0 ** (backoff.failures - 1))
        pause_s = pause_reports * self._settings.report_s
        if self.is_crash_looping(job, now):
            if now < backoff.not_before:
                return  # the same round of attempts: the tasks of an array fail together
            backoff.rounds += 1
            pause_s = min(MAX_PAUSE_LEASES * self._settings.lease_s, 2.0**backoff.rounds * self._settings.report_s)
            log.info("job %s fails wherever it is tried: one more try in %.0f s", job.id, pause_s)
        backoff.not_before = now + pause_s

    def has_few_failures(self, job_id: str) -> bool:
        """Whether a job has failed too rarely, on any machine, to be a likely cause of failures itself."""
        return self.by_job.get(job_id, RetryBackoff()).failures < FEW_FAILURES

    def is_crash_looping(self, job: Job, now: float) -> bool:
        """Whether the job itself seems to be faulty, rather than the machines on which it failed.

        Without this check machines would be rented and filled over and over for hundreds of tasks that all fail until
        the user cancels the job. A job with a task that is done, or that has been running for clearly longer than its
        failed tasks did, has only met faulty machines. Of tasks in other controllers' shards only the time since their
        allocation is known; completions are recorded much sooner than after `MAX_PAUSE_LEASES`.
        """
        backoff = self.by_job.get(job.id, RetryBackoff())
        if job.done or (len(backoff.machines) < CRASH_LOOP_MACHINES and job.id not in self._peers_crash_looping()):
            return False
        healthy_run_s = 2.0 * (backoff.longest_run_s + self._settings.report_s)
        return not self._has_healthy_task(job, now, healthy_run_s)

    def _has_healthy_task(self, job: Job, now: float, healthy_run_s: float) -> bool:
        """Whether some task has been running for more than `healthy_run_s`, or allocated elsewhere for long enough."""
        with self._machine_registry.lock:
            for allocation in job.allocations:
                machine = self._machine_registry.machines.get(allocation.machine)
                if machine is None:
                    if time.time() - allocation.allocated_at > MAX_PAUSE_LEASES * self._settings.lease_s:
                        return True
                elif any(
                    now - machine.running_since.get((job.id, index, allocation.attempt), now) > healthy_run_s
                    for index in set_bits(allocation.tasks)
                ):
                    return True
        return False

    def machines_to_avoid(self, job: Job, now: float) -> frozenset[str]:
        """Return the machines on which a crash-looping job failed lately.

        It is tried on others first: if the machines are faulty rather than the job, the next one may work.
        """
        backoff = self.by_job.get(job.id)
        if backoff is None:
            return frozenset()
        oldest = now - MAX_PAUSE_LEASES * self._settings.lease_s
        return frozenset(name for name, failed_at in backoff.machines.items() if failed_at > oldest)

    def crash_looping_jobs(self) -> list[str]:
        """Return the jobs to report to the other controllers, at most `MAX_REPORTED_JOBS`.

        The controller that rents machines for a job need not be the one on whose machines it fails.
        """
        return [
            job_id for job_id, backoff in list(self.by_job.items()) if len(backoff.machines) >= CRASH_LOOP_MACHINES
        ][:MAX_REPORTED_JOBS]
