"""Claims: placements of a mapping event are recorded as allocations, before any start goes out."""

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
    """Writes claims, each on condition that its shards are still held and that what it was made from is unchanged."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_writer: JobWriter,
        completions: CompletionTracker,
        pending_jobs: PendingJobs,
        send: Callable[[set[str]], None],
    ) -> None:
        """`send` sends machines, by name, the commands that follow from the records."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_writer = job_writer
        self.completions = completions
        self.pending_jobs = pending_jobs
        self.send = send
        self.last_allocation: dict[str, float] = {}  # job -> steady time of our last claim for it

    def allocate(self, placements: dict[str, list[Placement]], machines: dict[str, ScheduledMachine]) -> None:
        """Record claims for jobs' placements on these machines, and send the starts of those that were recorded.

        A claim that conflicts with another controller's change is left out. Raises `NotExecutedError` or
        `OutcomeUnknownError` if the state service can't be reached.
        """
        at = time.time()
        claims = [self._claim_edit(name, group, machines, at) for name, group in placements.items()]
        edits = self._completions_before(placements) + claims
        changed = self.job_writer.write_edits(edits) if edits else {}
        now = time.monotonic()
        for name, job in changed.items():
            self.completions.mark_recorded(name)
            if name in placements:
                self._note_claim(job, placements[name], now)
        self.send({placement.machine for name in changed for placement in placements.get(name, ())})

    def _claim_edit(
        self, name: str, group: list[Placement], machines: dict[str, ScheduledMachine], at: float
    ) -> JobEdit:
        """The claim for one job; completions of its tasks that aren't recorded yet go with it."""
        end = self.completions.unrecorded.get(name)
        conditions = dict(self.coordinator.condition(machines[placement.machine].grant) for placement in group)
        if end is not None:
            conditions.update(self.completions.conditions(end))
        make = partial(self._with_claims, group=group, machines=machines, at=at, end=end)
        return JobEdit(name, make, conditions)

    def _note_claim(self, job: Job, group: list[Placement], now: float) -> None:
        if job.allocated_count >= sum(placement.tasks for placement in group):
            self.last_allocation[job.id] = now  # else more of its parts follow at once
        log.debug("allocated for %s: %s", job.id, [(placement.machine, placement.tasks) for placement in group])

    def _completions_before(self, placements: dict[str, list[Placement]]) -> list[JobEdit]:
        """Completions of other jobs of teams whose limit has no room for their claims until these are recorded.

        Usage is deducted before it is added: completions come ahead of the claims, in their transaction or in one
        before it.
        """
        edits: list[JobEdit] = []
        for name, usage in self._usage_with_claims(placements).items():
            limit = self.settings.teams.get(name)
            if limit is None:
                continue
            for freed, edit in self.completions.edits_for_team(name):
                # each of them costs a change: no more than make room
                if limit.allows(usage.cpus, usage.gpus):
                    break
                if edit.job_id not in placements:
                    usage = usage.minus(freed)
                    edits.append(edit)
        return edits

    def _usage_with_claims(self, placements: dict[str, list[Placement]]) -> dict[str, TeamUsage]:
        """What teams would use once all their placements are claimed."""
        usages: dict[str, TeamUsage] = {}
        held = self.coordinator.held_zones()
        for name, group in placements.items():
            job = self.job_writer.job_cache.get(name)
            if job is None:
                continue
            team = job.spec.team
            usage = usages.get(team) or self.job_writer.job_cache.team(team, held)
            if name in self.completions.unrecorded:  # these go with the claim anyway
                usage = usage.minus(self.completions.unrecorded[name].amounts(job.spec))
            usages[team] = usage.with_tasks_allocated(job.spec, sum(placement.tasks for placement in group))
        return usages

    def _with_claims(
        self,
        job: Job,
        usage: TeamUsage,
        group: list[Placement],
        machines: dict[str, ScheduledMachine],
        at: float,
        end: UnrecordedCompletions | None,
    ) -> Job | None:
        """The job with claims for a group of placements; None if it can't have them.

        The rules that span several controllers' machines are checked against the very records that the transaction
        compares.
        """
        if end is not None:
            before, job = job, self.completions.job_with_completions(job, usage, end)
            usage = usage.with_tasks_ended(job.spec, before.allocated_count - job.allocated_count)
        pending = job.pending
        gang = job.spec.kind == "gang"
        if gang and not self._may_claim_gang(job, pending, group, at):
            return None
        allocations = self._allocations(job, pending, usage, group, machines, at)
        if not allocations or (gang and sum(allocation.tasks for allocation in allocations) != pending):
            return None
        return self._within_record_limits(job, allocations)

    def _may_claim_gang(self, job: Job, pending: int, group: list[Placement], at: float) -> bool:
        """Whether the placements are for the whole gang, or complete one that hasn't begun to run."""
        if sum(placement.tasks for placement in group) != pending.bit_count():
            return False
        return not job.allocations or self.pending_jobs.still_gathers(job, at)

    def _allocations(
        self,
        job: Job,
        pending: int,
        usage: TeamUsage,
        group: list[Placement],
        machines: dict[str, ScheduledMachine],
        at: float,
    ) -> list[Allocation]:
        """Allocations of pending tasks, as far as zones' room and the team's limit allow.

        None at all if a task was told to a machine under the same attempt: it would not be started a second time.
        """
        spec = job.spec
        team = self.settings.teams.get(spec.team)
        attempt = _next_attempt(job)
        request = TaskRequest(job.id, spec, value_of(Demand(0), 0, 1), 1, pending.bit_count(), job.allocated_by_zone())
        allocations: list[Allocation] = []
        for placement in group:
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
            allocations.append(Allocation(machine.name, machine.session, attempt, tasks, at, machine.zone))
        return allocations

    def _within_record_limits(self, job: Job, allocations: list[Allocation]) -> Job | None:
        """The job with as many of the allocations as its record holds: the rest follows as these end.

        A gang gets all of them, and so does a job that has none yet; None if a job with others has no room for one.
        """
        gang = job.spec.kind == "gang"
        limits = self.job_writer.record_limits
        new = job.with_allocations(allocations)
        while not gang and len(allocations) > 1 and not limits.fits(new, job):
            allocations = allocations[: len(allocations) // 2]
            new = job.with_allocations(allocations)
        return new if gang or not job.allocations or limits.fits(new, job) else None


def _next_attempt(job: Job) -> int:
    """The attempt of new claims: a gang's replacements have that of the tasks that wait for them."""
    if job.spec.kind == "gang" and job.allocations:
        return job.allocations[0].attempt
    return job.last_attempt + 1
