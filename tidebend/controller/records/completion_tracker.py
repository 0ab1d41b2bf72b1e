"""Detection of completed tasks by comparing allocations with the workers' heartbeats."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.final_states import final_state_of
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.task_bitmap import set_bits
from tidebend.controller.records.completion_recorder import CompletionEdit, CompletionRecorder
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.records.retry_backoff import RetryBackoff, RetryBackoffs
from tidebend.controller.records.task_outcomes import TaskOutcomeObserver
from tidebend.controller.records.uncertain_starts import UncertainStartResolver
from tidebend.controller.records.unrecorded_completions import UnrecordedCompletions
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.quota import QuotaAmountLike, TeamUsage
from tidebend.settings import Settings

log = logging.getLogger("completions")


class CompletionTracker:
    """The unrecorded completions in this controller's shards, and what the scheduler derives from task outcomes.

    `collect` is called at each mapping event before planning, `record_completions` after it.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        estimates: RunTimeEstimates,
        send: Callable[[set[str]], None],
        peers_crash_looping: Callable[[], frozenset[str]],
    ) -> None:
        """`send` sends the pending commands of some machines directly to their workers.

        `peers_crash_looping` returns the jobs that other controllers report as crash looping.
        """
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self._send = send
        self.recorder = CompletionRecorder(settings, coordinator, job_cache, job_writer)
        self._retry_backoffs = RetryBackoffs(settings, job_cache, machine_registry, peers_crash_looping)
        self._outcomes = TaskOutcomeObserver(estimates, self._retry_backoffs)
        self._uncertain_starts = UncertainStartResolver(settings, coordinator, machine_registry)
        self.unrecorded: dict[str, UnrecordedCompletions] = {}  # by job
        # team -> part of its limit that the unrecorded completions free
        self.freed_by_team: dict[str, QuotaAmountLike] = {}

    @property
    def backoffs(self) -> dict[str, RetryBackoff]:
        """The backoffs of failed jobs, by job."""
        return self._retry_backoffs.by_job

    @property
    def allocation_pause_s(self) -> float:
        """The minimum time in seconds between two allocations of an array's successive tasks."""
        return self.recorder.allocation_pause_s

    def collect(self) -> None:
        """Find the completions that heartbeats confirm, and replace `unrecorded` and `freed_by_team`.

        Only workers that have confirmed this controller's fencing token are considered. Also sends the stop commands
        of cancelled jobs.
        """
        found: dict[str, UnrecordedCompletions] = {}
        for grant in self.coordinator.grants():
            for machine in self.machine_registry.all():
                if machine.needs_reconciliation and shard_of(machine.zone) == grant.shard:
                    self._reconcile_machine(machine, grant, found)
        machines_to_stop = self._add_jobs_without_final_record(found)
        self._send(machines_to_stop)
        self._retry_backoffs.forget_finished_jobs()
        self._uncertain_starts.resolve()
        self.unrecorded = found
        self.freed_by_team = self._freed_by_team(found)
        self.recorder.forget_except(found)

    def _add_jobs_without_final_record(self, found: dict[str, UnrecordedCompletions]) -> set[str]:
        """Add ended jobs that lack only their final record; return the machines with tasks of cancelled jobs.

        Such a job was cancelled because of a job that it depends on. Only the leader writes its final record: if all
        controllers tried, all but one would fail.
        """
        machines_to_stop: set[str] = set()
        is_leader = self.coordinator.term is not None
        for job in self.job_cache.live_jobs():
            if job.cancelled:
                machines_to_stop.update(allocation.machine for allocation in job.allocations)
            if is_leader and not job.allocations and final_state_of(job) is not None:
                found.setdefault(job.id, UnrecordedCompletions())
        return machines_to_stop

    def _freed_by_team(self, completions_by_job: dict[str, UnrecordedCompletions]) -> dict[str, QuotaAmountLike]:
        freed: dict[str, QuotaAmountLike] = {}
        for job_id, completions in completions_by_job.items():
            job = self.job_cache.get(job_id)
            if job is not None:
                cpus, gpus = completions.amounts(job.spec)
                before = freed.get(job.spec.team, (0.0, 0.0))
                freed[job.spec.team] = (before[0] + cpus, before[1] + gpus)
        return freed

    def _reconcile_machine(self, machine: Machine, grant: ShardGrant, found: dict[str, UnrecordedCompletions]) -> None:
        """Compare a machine's allocations with its last heartbeat, and add the ended tasks to `found`."""
        now = time.monotonic()
        with self.machine_registry.lock:
            if machine.token != grant.token:
                return
            machine.needs_reconciliation = False
            for job, allocation in self.job_cache.allocations_on(machine.name):
                ended, done = self._ended_tasks(machine, job, allocation, now)
                if not ended:
                    continue
                machine.needs_reconciliation = True  # again and again until the completions are recorded
                completions = found.setdefault(job.id, UnrecordedCompletions())
                key = (allocation.machine, allocation.session, allocation.attempt)
                completions.ended[key] = completions.ended.get(key, 0) | ended
                if done and job.spec.kind == "gang":
                    done = job.all_tasks  # a gang's tasks complete together
                completions.done |= done
                completions.grants.add(grant)

    def _ended_tasks(self, machine: Machine, job: Job, allocation: Allocation, now: float) -> tuple[int, int]:
        """Return the bitmaps of an allocation's tasks that have ended, and of those of them that are done."""
        if allocation.session < machine.session:
            return allocation.tasks, 0  # at the start of its later session the worker killed and forgot all tasks
        if allocation.session > machine.session:
            return 0, 0
        ended = done = 0
        for index in set_bits(allocation.tasks):
            key = (job.id, index, allocation.attempt)
            task = machine.tasks.get(key)
            if task is None:
                if self._cannot_run_anymore(machine, job, key):
                    ended |= 1 << index
                    log.debug(
                        "machine %s: task %s/%d, attempt %d, has ended: not in report %d.%d, and can't start any more",
                        *(machine.name, *key, machine.session, machine.sequence),
                    )
            elif task.state == "ended":
                ended |= 1 << index
                if task.why == "done":
                    done |= 1 << index
                self._outcomes.observe(machine, job, key, task.why, now)
        return ended, done

    def _cannot_run_anymore(self, machine: Machine, job: Job, key: TaskKey) -> bool:
        """Whether a task that isn't in the heartbeat is to be stopped and can't be started any more.

        Starts by earlier holders of the shard need no check: the worker has confirmed a higher token than theirs.
        """
        return (job.cancelled or key in machine.stop_requests) and machine.can_no_longer_start(key)

    def record_completions(self) -> None:
        """Write the completions that have waited for the batch delay, and the urgent ones.

        Raises `NotExecutedError` or `OutcomeUnknownError` as `JobWriter.write_edits` does.
        """
        self.recorder.record(self.unrecorded)

    def mark_recorded(self, job_id: str) -> None:
        """Drop a job's completions: they were recorded in the transaction of its next allocation."""
        self.recorder.mark_recorded(job_id)
        self.unrecorded.pop(job_id, None)

    def edits_for_team(self, team: str) -> list[CompletionEdit]:
        """Return the edits that record a team's completions, in descending order of what they free."""
        return self.recorder.edits_for_team(team, self.unrecorded)

    def conditions(self, completions: UnrecordedCompletions) -> dict[str, int]:
        """Return the conditions that this controller still holds the shards whose heartbeats confirmed them."""
        return self.recorder.conditions(completions)

    def job_with_completions(self, job: Job, usage: TeamUsage, completions: UnrecordedCompletions) -> Job:
        """Return the job with the completions applied, as far as its record can hold them."""
        return self.recorder.apply(job, usage, completions)

    def is_crash_looping(self, job: Job, now: float) -> bool:
        """Whether the job itself seems to be faulty, rather than the machines on which it failed."""
        return self._retry_backoffs.is_crash_looping(job, now)

    def machines_to_avoid(self, job: Job, now: float) -> frozenset[str]:
        """Return the machines on which a crash-looping job failed recently."""
        return self._retry_backoffs.machines_to_avoid(job, now)

    def crash_looping_jobs(self) -> list[str]:
        """Return the jobs to report to the other controllers as crash looping."""
        return self._retry_backoffs.crash_looping_jobs()
