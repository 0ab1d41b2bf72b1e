"""Ends of tasks: proven by workers' reports, gathered for a moment, recorded."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import Machine, MachineRegistry
from tidebend.cluster_state.task_bitmap import members
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.controller.records.record_limits import packed_bytes
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.coordination import Coordinator, ShardGrant, shard_of
from tidebend.protocol import JobSpec
from tidebend.quota import Amounts, TeamUsage
from tidebend.settings import Settings

log = logging.getLogger("planner")

# ends that aren't urgent take about this share of our changes at the state service
ENDS_SHARE = 0.25

# a job that has failed on so many machines, and runs nowhere, is taken to be at fault itself
TRIED_ON = 3
# the longest pause between two tries of such a job, in workers' leases
LONGEST_PAUSE = 2.0
# ended tasks that a repeated start could run again are kept on their machines for so many of the workers' leases at the
# most; then a new token allows them to be cleared
KEPT_LEASES = 8.0
# so many of the machines on which a job failed are kept in mind
MOST_MACHINES = 32
# of so many such jobs the other controllers are told
MOST_TOLD = 200

Key = tuple[str, int, int]  # job, index, attempt


@dataclass
class RetryBackoff:
    """A job's failures: it is tried again with growing pauses."""

    failures: int = 0
    not_before: float = 0.0
    rounds: int = 0  # pauses so far
    machines: dict[str, float] = field(default_factory=dict)  # where it failed last, and when (steady time)
    lasted: float = 0.0  # the longest that a failed task was seen running, in seconds


@dataclass
class ProvenCompletions:
    ended: dict[tuple[str, int, int], int] = field(default_factory=dict)
    done: int = 0
    grants: set[ShardGrant] = field(default_factory=set)

    def amounts(self, spec: JobSpec) -> Amounts:
        """What these ends give back of the team's limit."""
        tasks = sum(gone.bit_count() for gone in self.ended.values())
        return tasks * spec.cpus, tasks * spec.gpus


class CompletionTracker:
    """What has ended in our blocks and isn't recorded yet."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        estimates: RunTimeEstimates,
        send: Callable[[set[str]], None],
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.job_writer = job_writer
        self.estimates = estimates
        self.send = send
        self.backoffs: dict[str, RetryBackoff] = {}
        self.peers_crash_looping: Callable[[], frozenset[str]] = frozenset
        self.proven: dict[str, ProvenCompletions] = {}  # and not yet recorded
        self.freed: dict[str, Amounts] = {}  # team -> what these ends give back of its limit
        self._since: dict[str, float] = {}  # job -> steady time since which ends wait to be recorded
        self.gather_s = settings.knobs.gather * settings.lease_s
        # an array whose tasks follow one another as room comes up claims no more often than this: each time costs
        self.allocation_pause_s = 0.5 * self.gather_s

    def collect(self) -> None:
        """Find the ends that are proven by the reports of workers who have confirmed our token."""
        completions: dict[str, ProvenCompletions] = {}
        for grant in self.coordinator.grants():
            for machine in self.machine_registry.all():
                if machine.needs_reconciliation and shard_of(machine.zone) == grant.shard:
                    self._ends_on(machine, grant, completions)
        unwanted = set()
        leads = self.coordinator.term is not None  # of three that would write the same, two would fail
        for job in self.job_cache.live():
            if job.cancelled:
                unwanted.update(allocation.machine for allocation in job.allocations)
            if leads and not job.allocations and (job.cancelled or job.complete):
                completions.setdefault(
                    job.id, ProvenCompletions()
                )  # its final record is missing: cancelled with what it waited for
        self.send(unwanted)
        for name in [name for name in self.backoffs if self.job_cache.get(name) is None]:
            del self.backoffs[name]
        self._resolve_doubts()
        self.proven = completions
        self.freed = self._freed(completions)
        for name in [name for name in self._since if name not in completions]:
            del self._since[name]

    def _freed(self, completions: dict[str, ProvenCompletions]) -> dict[str, Amounts]:
        found: dict[str, Amounts] = {}
        for name, end in completions.items():
            job = self.job_cache.get(name)
            if job is not None:
                cpus, gpus = end.amounts(job.spec)
                before = found.get(job.spec.team, (0.0, 0.0))
                found[job.spec.team] = (before[0] + cpus, before[1] + gpus)
        return found

    def edits_of_team(self, team: str) -> list[tuple[Amounts, JobEdit]]:
        """What has ended of a team's jobs, the most first: what it frees, and the edit that records it.

        They go ahead of its next claim, in the same transaction if there is room: a team that waits at its limit must
        not wait as well for ends to be gathered.
        """
        found = []
        for name, end in self.proven.items():
            job = self.job_cache.get(name)
            if job is not None and job.spec.team == team and end.ended:
                edit = JobEdit(name, partial(self.job_without, end=end), self.conditions(end))
                found.append((end.amounts(job.spec), edit))
        return sorted(found, key=lambda row: (-row[0][0], -row[0][1], row[1].job))

    def record_due(self) -> None:
        """Ends are gathered for a moment: the tasks of an array end one after the other, and each write counts.

        Their room is free at once, since it is planned from the workers' reports. A job's last end with us isn't kept
        waiting, and neither is a team at its limit; the others also go with the job's next claim.
        """
        now = time.monotonic()
        due = []
        # the more jobs there are whose tasks end, the longer they are gathered: other changes need the budget more
        gather_s = max(
            self.gather_s,
            min(self.settings.lease_s, len(self.proven) / (ENDS_SHARE * self.job_writer.cache.state.writes_per_s)),
        )
        for name, end in self.proven.items():
            job = self.job_cache.get(name)
            if job is None:
                continue
            since = self._since.setdefault(name, now)
            if (
                job.spec.kind != "array"
                or now - since >= gather_s
                or self._is_last(job, end)
                or (now - since >= self.allocation_pause_s and self._at_limit(job.spec))
            ):
                due.append(JobEdit(name, partial(self.job_without, end=end), self.conditions(end)))
        if due:
            recorded = self.job_writer.change_all(due)
            for name in recorded:
                self._since.pop(name, None)
            log.debug("ends recorded for %s", ", ".join(recorded))

    def conditions(self, end: ProvenCompletions) -> dict[str, int]:
        return dict(self.coordinator.condition(grant) for grant in end.grants)

    def _is_last(self, job: Job, end: ProvenCompletions) -> bool:
        """Whether nothing of the job is left in our blocks once these ends are recorded."""
        if job.cancelled or job.done | end.done == job.all_tasks:
            return True
        ours = {grant.shard for grant in self.coordinator.grants()}
        return not job.pending and not any(
            allocation.tasks & ~end.ended.get((allocation.machine, allocation.session, allocation.attempt), 0)
            for allocation in job.allocations
            if shard_of(allocation.zone) in ours
        )

    def _at_limit(self, spec: JobSpec) -> bool:
        team = self.settings.teams.get(spec.team)
        usage = self.job_cache.team(spec.team, self.coordinator.held_zones())
        return team is not None and not team.allows(usage.cpus + spec.cpus, usage.gpus + spec.gpus)

    def job_without(self, job: Job, _: TeamUsage, end: ProvenCompletions) -> Job:
        new = job.without(end.ended, end.done)
        if (
            end.done
            and not job.chunks
            and not self.job_writer.record_limits.fits(new)
            and not (new.complete or new.cancelled)
        ):
            # the numbers of the done tasks are too scattered for a record: results are kept by the platform, so that
            # a task started again is done at once
            scattered = job.without(end.ended, 0)
            return new if packed_bytes(new.pack()) <= self.job_writer.record_limits.value_bytes else scattered
        return new

    def _resolve_doubts(self) -> None:
        """A direct start without an answer may be executed late, and one that was answered may be repeated: a new token
        puts an end to both. The second only keeps ended tasks from being cleared, so that it can wait."""
        now = time.monotonic()
        for grant in self.coordinator.grants():
            with self.machine_registry.lock:
                doubt = any(
                    token >= grant.token and now - at > self.settings.report_s
                    for machine in self.machine_registry.machines.values()
                    if shard_of(machine.zone) == grant.shard
                    for token, at in machine.uncertain_starts.values()
                )
                long = KEPT_LEASES * self.settings.lease_s
                kept = now - grant.since > long and any(
                    machine.kept_since is not None and now - machine.kept_since > long
                    for machine in self.machine_registry.machines.values()
                    if shard_of(machine.zone) == grant.shard
                )
            if kept or doubt and now - grant.since > self.settings.report_s:
                self.coordinator.raise_fencing_token(grant)

    def _ends_on(self, machine: Machine, grant: ShardGrant, completions: dict[str, ProvenCompletions]) -> None:
        now = time.monotonic()
        with self.machine_registry.lock:
            if machine.token != grant.token:
                return
            machine.needs_reconciliation = False
            for job, allocation in self.job_cache.on_machine(machine.name):
                ended = done = 0
                if allocation.session < machine.session:
                    ended = allocation.tasks  # the worker has begun a later session: it killed and forgot them all
                elif allocation.session == machine.session:
                    for index in members(allocation.tasks):
                        key = (job.id, index, allocation.attempt)
                        task = machine.tasks.get(key)
                        if task is None:
                            if self._absent(machine, job, key):
                                ended |= 1 << index
                        elif task.state == "ended":
                            ended |= 1 << index
                            if task.why == "done":
                                done |= 1 << index
                            self._observe(machine, job, key, task.why, now)
                if ended:
                    machine.needs_reconciliation = True  # until the record says so
                    end = completions.setdefault(job.id, ProvenCompletions())
                    place = (allocation.machine, allocation.session, allocation.attempt)
                    end.ended[place] = end.ended.get(place, 0) | ended
                    if done and job.spec.kind == "gang":
                        done = job.all_tasks  # a gang's tasks complete together
                    end.done |= done
                    end.grants.add(grant)

    def _absent(self, machine: Machine, job: Job, key: Key) -> bool:
        """Whether a task that isn't reported, and isn't wanted any more, can't be started either.

        Earlier holders' starts carry lower tokens than the one that the worker has confirmed.
        """
        return (job.cancelled or key in machine.stops) and machine.can_no_longer_start(key)

    def _observe(self, machine: Machine, job: Job, key: Key, why: str | None, now: float) -> None:
        if key in machine.observed:
            return  # its record waits to be written
        machine.observed.add(key)
        since = machine.running_since.pop(key, None)
        if why == "done":
            if since is not None and job.spec.kind != "service":
                self.estimates.observe(job.spec.job_class, job.spec.estimate_s, now - since)
            machine.failures.clear()
            self.backoffs.pop(job.id, None)
        elif why == "error" and machine.failures.get(job.id, 0.0) < now - 0.01:
            machine.failures[job.id] = now
            self._set_back(job, machine, now, 0.0 if since is None else now - since)
            log.info("machine %s: %s failed", machine.name, key)
            others = [
                name
                for name in machine.failures
                if name == job.id or self.backoffs.get(name, RetryBackoff()).failures < 3
            ]
            if len(others) >= 2 and not machine.draining:
                machine.draining = True
                log.info("machine %s is set aside: tasks of several jobs fail there", machine.name)

    def _set_back(self, job: Job, machine: Machine, now: float, lasted: float) -> None:
        backoff = self.backoffs.setdefault(job.id, RetryBackoff())
        backoff.failures += 1
        backoff.lasted = max(backoff.lasted, lasted)
        backoff.machines.pop(machine.name, None)
        backoff.machines[machine.name] = now
        while len(backoff.machines) > MOST_MACHINES:
            del backoff.machines[next(iter(backoff.machines))]
        # one failure is mostly the machine's; a job that fails again and again is tried ever less often
        pause = min(8.0, 0.25 * 2.0 ** (backoff.failures - 1)) * self.settings.report_s
        if self.is_crash_looping(job, now):
            if now < backoff.not_before:
                return  # of the same round: an array's tasks fail together
            backoff.rounds += 1
            pause = min(LONGEST_PAUSE * self.settings.lease_s, 2.0**backoff.rounds * self.settings.report_s)
            log.info("job %s fails wherever it is tried: one more try in %.0f s", job.id, pause)
        backoff.not_before = now + pause

    def is_crash_looping(self, job: Job, now: float) -> bool:
        """Whether a job itself seems to be at fault, rather than machines: submitted with a mistake, it fails on each
        of them until its user cancels it.

        Guards against machines that are rented and filled for hundreds of tasks that all fail, again and again. A job
        some task of which is done, or runs for longer than the failed ones did, has only met bad machines. Of tasks on
        others' machines we know how long they have been claimed: ends are recorded much sooner than after two leases.
        """
        backoff = self.backoffs.get(job.id, RetryBackoff())
        if job.done or (len(backoff.machines) < TRIED_ON and job.id not in self.peers_crash_looping()):
            return False
        well = 2.0 * (backoff.lasted + self.settings.report_s)
        with self.machine_registry.lock:
            for allocation in job.allocations:
                machine = self.machine_registry.machines.get(allocation.machine)
                if machine is None:
                    if time.time() - allocation.at > LONGEST_PAUSE * self.settings.lease_s:
                        return False
                elif any(
                    now - machine.running_since.get((job.id, index, allocation.attempt), now) > well
                    for index in members(allocation.tasks)
                ):
                    return False
        return True

    def avoided(self, job: Job, now: float) -> frozenset[str]:
        """The machines on which a job that seems to be at fault isn't tried again yet: if it is they that are bad, the
        next one may be good."""
        backoff = self.backoffs.get(job.id)
        bound = now - LONGEST_PAUSE * self.settings.lease_s
        return frozenset(name for name, at in backoff.machines.items() if at > bound) if backoff else frozenset()

    def crash_looping_jobs(self) -> list[str]:
        """The jobs that we tell the other controllers of: who rents need not be the one whose machines they fail on."""
        return [name for name, backoff in list(self.backoffs.items()) if len(backoff.machines) >= TRIED_ON][:MOST_TOLD]

    def recorded_with_allocation(self, name: str) -> None:
        """A job's ends were recorded in the transaction of its next claim."""
        self._since.pop(name, None)
        self.proven.pop(name, None)
