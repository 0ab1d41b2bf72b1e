"""Claims on places: recorded before any start goes out."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from functools import partial

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.task_bitmap import lowest, members
from tidebend.controller.records.completions import CompletionTracker, ProvenCompletions
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.controller.scheduler.free_capacity import Found
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.coordination import Coordinator
from tidebend.quota import TeamUsage
from tidebend.scheduling import Demand, Placement, TaskRequest, value_of
from tidebend.settings import Settings

log = logging.getLogger("planner")


class Allocator:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_writer: JobWriter,
        completions: CompletionTracker,
        pending_jobs: PendingJobs,
        send: Callable[[set[str]], None],
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.job_writer = job_writer
        self.completions = completions
        self.pending_jobs = pending_jobs
        self.send = send
        self.last_allocation: dict[str, float] = {}  # job -> steady time of our last claim for it

    def allocate(self, chosen: dict[str, list[Placement]], places: Found) -> None:
        at = time.time()
        edits = []
        for name, group in chosen.items():
            end = self.completions.proven.get(name)
            conditions = dict(self.coordinator.condition(places[placement.machine][2]) for placement in group)
            if end is not None:
                conditions.update(self.completions.conditions(end))
            edits.append(JobEdit(name, partial(self._claimed, group=group, places=places, at=at, end=end), conditions))
        edits = self._ends_first(chosen) + edits
        changed = self.job_writer.change_all(edits) if edits else {}
        now = time.monotonic()
        for name in changed:
            self.completions.recorded_with_allocation(name)
            if name not in chosen:
                continue
            if changed[name].running >= sum(placement.tasks for placement in chosen[name]):
                self.last_allocation[name] = now  # else more of its parts follow at once
            log.debug("claimed for %s: %s", name, [(p.machine, p.tasks) for p in chosen[name]])
        self.send({placement.machine for name in changed for placement in chosen.get(name, ())})

    def _ends_first(self, chosen: dict[str, list[Placement]]) -> list[JobEdit]:
        """What has ended of the other jobs of teams whose limit has no room for their claims until that is recorded.

        Deduct before credit: ends come ahead of the claims, in their transaction or in one before it.
        """
        asked: dict[str, TeamUsage] = {}
        held = self.coordinator.held_zones()
        for name, group in chosen.items():
            job = self.job_writer.job_cache.get(name)
            if job is not None:
                usage = asked.get(job.spec.team) or self.job_writer.job_cache.team(job.spec.team, held)
                if name in self.completions.proven:  # these go with the claim anyway
                    usage = usage.less(self.completions.proven[name].amounts(job.spec))
                asked[job.spec.team] = usage.plus(job.spec, sum(placement.tasks for placement in group))
        first: list[JobEdit] = []
        for name, usage in asked.items():
            limit = self.settings.teams.get(name)
            for freed, edit in self.completions.edits_of_team(name) if limit is not None else ():
                # each of them costs a change: no more than make room
                if limit.allows(usage.cpus, usage.gpus):
                    break
                if edit.job not in chosen:
                    usage = usage.less(freed)
                    first.append(edit)
        return first

    def _claimed(
        self,
        job: Job,
        usage: TeamUsage,
        group: list[Placement],
        places: Found,
        at: float,
        end: ProvenCompletions | None,
    ) -> Job | None:
        """The job with claims for a group of placements: the rules that span holders are checked against the very
        records that the transaction compares."""
        if end is not None:
            before, job = job, self.completions.job_without(job, usage, end)
            usage = usage.freed(job.spec, before.running - job.running)
        pending = job.pending
        spec = job.spec
        team = self.settings.teams.get(spec.team)
        gang = spec.kind == "gang"
        if gang and sum(p.tasks for p in group) != pending.bit_count():
            return None
        if gang and job.allocations and not self.pending_jobs.still_gathers(job, at):
            return None
        # replacements have the attempt of those that wait for them
        attempt = job.allocations[0].attempt if gang and job.allocations else job.started + 1
        request = TaskRequest(job.id, spec, value_of(Demand(0), 0, 1), 1, pending.bit_count(), job.per_zone())
        allocations = []
        for placement in group:
            machine = places[placement.machine][1]
            tasks = lowest(pending, min(placement.tasks, request.zone_room(machine.zone)))
            if not tasks:
                continue
            if attempt <= job.started and any((job.id, index, attempt) in machine.tasks for index in members(tasks)):
                return None  # it would not be started a second time
            usage = usage.plus(spec, tasks.bit_count())
            if team is not None and not team.allows(usage.cpus, usage.gpus):
                break
            request.tasks_by_zone[machine.zone] = request.tasks_by_zone.get(machine.zone, 0) + tasks.bit_count()
            pending &= ~tasks
            allocations.append(Allocation(machine.name, machine.session, attempt, tasks, at, machine.zone))
        if not allocations or (gang and pending):
            return None
        new = job.with_claims(allocations)
        while not gang and len(allocations) > 1 and not self.job_writer.record_limits.fits(new, job):
            # a record holds only so many claims: the rest follows as these end
            allocations = allocations[: len(allocations) // 2]
            new = job.with_claims(allocations)
        return new if gang or not job.allocations or self.job_writer.record_limits.fits(new, job) else None
