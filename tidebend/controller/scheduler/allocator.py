"""Claims on places: recorded before any start goes out."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from functools import partial

from tidebend.cluster_state.allocations import Claim
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.task_bitmap import lowest, members
from tidebend.controller.records.completions import Ends, ProvenEnds
from tidebend.controller.records.job_writer import Edit, Ledger
from tidebend.controller.scheduler.free_capacity import Found
from tidebend.controller.scheduler.pending_jobs import Waiting
from tidebend.coordination import Coordinator
from tidebend.quota import Usage
from tidebend.scheduling import Demand, Placement, Want, value_of
from tidebend.settings import Settings

log = logging.getLogger("planner")


class Claims:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        ledger: Ledger,
        ends: Ends,
        waiting: Waiting,
        send: Callable[[set[str]], None],
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.ledger = ledger
        self.ends = ends
        self.waiting = waiting
        self.send = send
        self.at: dict[str, float] = {}  # job -> steady time of our last claim for it

    def claim(self, chosen: dict[str, list[Placement]], places: Found) -> None:
        at = time.time()
        edits = []
        for name, group in chosen.items():
            end = self.ends.proven.get(name)
            conditions = dict(self.coordinator.condition(places[placement.machine][2]) for placement in group)
            if end is not None:
                conditions.update(self.ends.conditions(end))
            edits.append(Edit(name, partial(self._claimed, group=group, places=places, at=at, end=end), conditions))
        edits = self._ends_first(chosen) + edits
        changed = self.ledger.change_all(edits) if edits else {}
        now = time.monotonic()
        for name in changed:
            self.ends.went_with_a_claim(name)
            if name not in chosen:
                continue
            if changed[name].running >= sum(placement.tasks for placement in chosen[name]):
                self.at[name] = now  # else more of its parts follow at once
            log.debug("claimed for %s: %s", name, [(p.machine, p.tasks) for p in chosen[name]])
        self.send({placement.machine for name in changed for placement in chosen.get(name, ())})

    def _ends_first(self, chosen: dict[str, list[Placement]]) -> list[Edit]:
        """What has ended of the other jobs of teams whose limit has no room for their claims until that is recorded.

        Deduct before credit: ends come ahead of the claims, in their transaction or in one before it.
        """
        asked: dict[str, Usage] = {}
        held = self.coordinator.held_zones()
        for name, group in chosen.items():
            job = self.ledger.book.get(name)
            if job is not None:
                usage = asked.get(job.spec.team) or self.ledger.book.team(job.spec.team, held)
                if name in self.ends.proven:  # these go with the claim anyway
                    usage = usage.less(self.ends.proven[name].amounts(job.spec))
                asked[job.spec.team] = usage.plus(job.spec, sum(placement.tasks for placement in group))
        first: list[Edit] = []
        for name, usage in asked.items():
            limit = self.settings.teams.get(name)
            for freed, edit in self.ends.of_team(name) if limit is not None else ():
                # each of them costs a change: no more than make room
                if limit.allows(usage.cpus, usage.gpus):
                    break
                if edit.job not in chosen:
                    usage = usage.less(freed)
                    first.append(edit)
        return first

    def _claimed(
        self, job: Job, usage: Usage, group: list[Placement], places: Found, at: float, end: ProvenEnds | None
    ) -> Job | None:
        """The job with claims for a group of placements: the rules that span holders are checked against the very
        records that the transaction compares."""
        if end is not None:
            before, job = job, self.ends.without(job, usage, end)
            usage = usage.freed(job.spec, before.running - job.running)
        pending = job.pending
        spec = job.spec
        team = self.settings.teams.get(spec.team)
        gang = spec.kind == "gang"
        if gang and sum(p.tasks for p in group) != pending.bit_count():
            return None
        if gang and job.claims and not self.waiting.still_gathers(job, at):
            return None
        # replacements have the attempt of those that wait for them
        attempt = job.claims[0].attempt if gang and job.claims else job.started + 1
        want = Want(job.id, spec, value_of(Demand(0), 0, 1), 1, pending.bit_count(), job.per_zone())
        claims = []
        for placement in group:
            machine = places[placement.machine][1]
            tasks = lowest(pending, min(placement.tasks, want.zone_room(machine.zone)))
            if not tasks:
                continue
            if attempt <= job.started and any((job.id, index, attempt) in machine.tasks for index in members(tasks)):
                return None  # it would not be started a second time
            usage = usage.plus(spec, tasks.bit_count())
            if team is not None and not team.allows(usage.cpus, usage.gpus):
                break
            want.zones[machine.zone] = want.zones.get(machine.zone, 0) + tasks.bit_count()
            pending &= ~tasks
            claims.append(Claim(machine.name, machine.session, attempt, tasks, at, machine.zone))
        if not claims or (gang and pending):
            return None
        new = job.with_claims(claims)
        while not gang and len(claims) > 1 and not self.ledger.sizes.fits(new, job):
            # a record holds only so many claims: the rest follows as these end
            claims = claims[: len(claims) // 2]
            new = job.with_claims(claims)
        return new if gang or not job.claims or self.ledger.sizes.fits(new, job) else None
