"""Claims: recording the placements of a mapping event as allocations before any start command is sent."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from functools import partial

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.task_bitmap import lowest_bits, set_bits
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.controller.records.unrecorded_completions import UnrecordedCompletions
from tidebend.controller.scheduler.free_capacity import ScheduledMachine
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.coordination import Coordinator
from tidebend.quota import TeamUsage
from tidebend.scheduling import Demand, Placement, TaskRequest, value_of
from tidebend.settings import Settings

log = logging.getLogger("scheduler")


class Allocator:
    """Writes claims, each conditional on its shards still being held and the records that it is based on unchanged."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_writer: JobWriter,
        completions: CompletionTracker,
        pending_jobs: PendingJobs,
        send: Callable[[set[str]], None],
    ) -> None:
        """`send` sends the machines with these names the commands that follow from the records."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_writer = job_writer
        self.completions = completions
        self.pending_jobs = pending_jobs
        self.send = send
        self.last_allocation: dict[str, float] = {}  # job id -> monotonic time of this controller's last claim for it

    def allocate(self, placements: dict[str, list[Placement]], machines: dict[str, ScheduledMachine]) -> None:
        """Record claims for jobs' placements on these machines, and send start commands for those that were recorded.

        A claim that conflicts with another controller's write is skipped. Raises `NotExecutedError` or
        `OutcomeUnknownError` if the key-value store can't be reached.
        """
        allocated_at = time.time()
        claims = [
            self._claim_edit(job_id, job_placements, machines, allocated_at)
            for job_id, job_placements in placements.items()
        ]
        edits = self._completions_freeing_quota(placements) + claims
        changed = self.job_writer.write_edits(edits) if edits else {}
        now = time.monotonic()
        for job_id, job in changed.items():
            self.completions.mark_recorded(job_id)
            if job_id in placements:
                self._note_claim(job, placements[job_id], now)
        self.send({placement.machine for job_id in changed for placement in placements.get(job_id, ())})

    def _claim_edit(
        self, job_id: str, job_placements: list[Placement], machines: dict[str, ScheduledMachine], allocated_at: float
    ) -> JobEdit:
        """Return the claim for one job, which also records completions of its tasks not recorded yet."""
        unrecorded = self.completions.unrecorded.get(job_id)
        conditions = dict(self.coordinator.condition(machines[placement.machine].grant) for placement in job_placements)
        if unrecorded is not None:
            conditions.update(self.completions.conditions(unrecorded))
        add_claims = partial(
            self._with_claims,
            job_placements=job_placements,
            machines=machines,
            allocated_at=allocated_at,
            unrecorded=unrecorded,
        )
        return JobEdit(job_id, add_claims, conditions)

    def _note_claim(self, job: Job, job_placements: list[Placement], now: float) -> None:
        if job.allocated_count >= sum(placement.tasks for placement in job_placements):
            self.last_allocation[job.id] = now  # otherwise the remaining tasks are claimed without a pause
        log.debug(
            "recorded allocations of job %s: %s",
            job.id,
            [(placement.machine, placement.tasks) for placement in job_placements],
        )

    def _completions_freeing_quota(self, placements: dict[str, list[Placement]]) -> list[JobEdit]:
        """Return edits that record completions of other jobs, whose usage must be freed to claim within a team's limit.

        Usage must be deducted before it is added: these edits precede the claims, in the same transaction or an earlier
        one.
        """
        edits: list[JobEdit] = []
        for team, usage in self._usage_with_claims(placements).items():
            limit = self.settings.teams.get(team)
            if limit is None:
                continue
            for freed, edit in self.completions.edits_for_team(team):
                # each edit costs a write, so only as many as needed
                if limit.allows(usage.cpus, usage.gpus):
                    break
                if edit.job_id not in placements:
                    usage = usage.minus(freed)
                    edits.append(edit)
        return edits

    def _usage_with_claims(self, placements: dict[str, list[Placement]]) -> dict[str, TeamUsage]:
        """Return the teams' usage if all their placements are claimed."""
        usages: dict[str, TeamUsage] = {}
        held_zones = self.coordinator.held_zones()
        for job_id, job_placements in placements.items():
            job = self.job_writer.job_cache.get(job_id)
            if job is None:
                continue
            team = job.spec.team
            usage = usages.get(team) or self.job_writer.job_cache.team(team, held_zones)
            if job_id in self.completions.unrecorded:  # the claim records these completions
                usage = usage.minus(self.completions.unrecorded[job_id].amounts(job.spec))
            usages[team] = usage.with_tasks_allocated(job.spec, sum(placement.tasks for placement in job_placements))
        return usages

    def _with_claims(
        self,
        job: Job,
        usage: TeamUsage,
        job_placements: list[Placement],
        machines: dict[str, ScheduledMachine],
        allocated_at: float,
        unrecorded: UnrecordedCompletions | None,
    ) -> Job | None:
        """Return the job with claims for its placements added; None if they aren't allowed.

        Rules that span the machines of several controllers are checked against the same record versions that the
        transaction compares.
        """
        if unrecorded is not None:
            before, job = job, self.completions.job_with_completions(job, usage, unrecorded)
            usage = usage.with_tasks_ended(job.spec, before.allocated_count - job.allocated_count)
        pending = job.pending
        is_gang = job.spec.kind == "gang"
        if is_gang and not self._may_claim_gang(job, pending, job_placements, allocated_at):
            return None
        allocations = self._allocate_tasks(job, pending, usage, job_placements, machines, allocated_at)
        if not allocations or (is_gang and sum(allocation.tasks for allocation in allocations) != pending):
            return None
        return self._within_record_limits(job, allocations)

    def _may_claim_gang(self, job: Job, pending: int, job_placements: list[Placement], allocated_at: float) -> bool:
        """Return whether the placements are for the whole gang, or complete one that hasn't started to run."""
        if sum(placement.tasks for placement in job_placements) != pending.bit_count():
            return False
        return not job.allocations or self.pending_jobs.is_waiting_to_start(job, allocated_at)

    def _allocate_tasks(
        self,
        job: Job,
        pending: int,
        usage: TeamUsage,
        job_placements: list[Placement],
        machines: dict[str, ScheduledMachine],
        allocated_at: float,
    ) -> list[Allocation]:
        """Return allocations of pending tasks, as far as zone constraints and the team's limit allow.

        Returns no allocations if one of the tasks was already sent to its machine with the same attempt, since the
        machine wouldn't start it a second time.
        """
        spec = job.spec
        team = self.settings.teams.get(spec.team)
        attempt = _next_attempt(job)
        request = TaskRequest(job.id, spec, value_of(Demand(0), 0, 1), 1, pending.bit_count(), job.allocated_by_zone())
        allocations: list[Allocation] = []
        for placement in job_placements:
            machine = machines[placement.machine].machine
            tasks = lowest_bits(pending, min(placement.tasks, request.zone_headroom(machine.zone)))
            if not tasks:
                continue
            if attempt <= job.last_attempt and any(
                (job.id, index, attempt) in machine.tasks for index in set_bits(tasks)
            ):
                return []
            count = tasks.bit_count()
            usage = usage.with_tasks_allocated(spec, count)
            if team is not None and not team.allows(usage.cpus, usage.gpus):
                break
            request.add_to_zone(machine.zone, count)
            pending &= ~tasks
            allocations.append(Allocation(machine.name, machine.session, attempt, tasks, allocated_at, machine.zone))
        return allocations

    def _within_record_limits(self, job: Job, allocations: list[Allocation]) -> Job | None:
        """Return the job with as many of the allocations as fit into its record; the rest follows as these end.

        A gang gets all of them, and a job without allocations at least one, whatever the size of its record. None if
        not even one fits into the record of another job.
        """
        is_gang = job.spec.kind == "gang"
        limits = self.job_writer.record_limits
        new = job.with_allocations(allocations)
        while not is_gang and len(allocations) > 1 and not limits.fits(new, job):
            allocations = allocations[: len(allocations) // 2]
            new = job.with_allocations(allocations)
        return new if is_gang or not job.allocations or limits.fits(new, job) else None


def _next_attempt(job: Job) -> int:
    """Return the attempt number of new claims; replacements in a gang get that of the tasks that wait for them."""
    if job.spec.kind == "gang" and job.allocations:
        return job.allocations[0].attempt
    return job.last_attempt + 1
