"""Conditional writes of job records, together with their teams' records: several jobs in one transaction."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.records.record_limits import MOST_BYTES, RecordLimits
from tidebend.controller.records.record_splitter import RecordSplitter
from tidebend.controller.records.transaction_builder import RecordTooLargeError, TransactionBuilder
from tidebend.kvclient import (
    ConflictError,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    Refused,
    WatchCache,
)
from tidebend.protocol import Write
from tidebend.quota import QUOTA, TEAM, Amounts, TeamUsage

log = logging.getLogger("ledger")


@dataclass
class JobEdit:
    """What is to become of one job; `make` gets the job and its team's usage, None: nothing to write."""

    job: str
    make: Callable[[Job, TeamUsage], Job | None]
    conditions: dict[str, int] = field(default_factory=dict)


@dataclass
class _Batch:
    checks: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Write] = field(default_factory=dict)
    teams: dict[str, TeamUsage] = field(default_factory=dict)
    added: dict[tuple[str, str], Amounts] = field(default_factory=dict)  # team and zone -> more claimed than ended
    jobs: dict[str, Job] = field(default_factory=dict)
    edits: list[JobEdit] = field(default_factory=list)
    bytes: int = 0


def _added(before: Job, after: Job) -> dict[str, Amounts]:
    """What a change claims more than it ends, by zone."""
    tasks: dict[str, int] = {}
    for job, sign in ((before, -1), (after, 1)):
        for zone, count in job.per_zone().items():
            tasks[zone] = tasks.get(zone, 0) + sign * count
    return {zone: (count * after.spec.cpus, count * after.spec.gpus) for zone, count in tasks.items() if count}


class JobWriter:
    def __init__(
        self, cache: WatchCache, job_cache: JobCache, quota_rebalancer: QuotaRebalancer, record_limits: RecordLimits
    ) -> None:
        self.cache = cache
        self.job_cache = job_cache
        self.quota_rebalancer = quota_rebalancer
        self.record_limits = record_limits
        self.transaction_builder = TransactionBuilder(job_cache, quota_rebalancer.schema_version, record_limits)
        self.record_splitter = RecordSplitter(cache, job_cache, record_limits)

    def change(
        self, name: str, make: Callable[[Job, TeamUsage], Job | None], conditions: dict[str, int], patience: float = 1.0
    ) -> Job | None:
        """One job's edit; None if there was nothing to write, or a condition failed."""
        return self.change_all([JobEdit(name, make, conditions)], patience).get(name)

    def change_all(self, edits: list[JobEdit], patience: float = 1.0, tries: int = 4) -> dict[str, Job]:
        """Write what the edits make of their jobs if nothing that they were made from has changed.

        A team's record moves by just what its jobs' claims add, in the same transaction. Raises Unavailable or
        Unknown; after Unknown the cache has been brought up to a later read, or that has failed too.
        """
        self.quota_rebalancer.settle_uncertain_claims(patience)
        changed: dict[str, Job] = {}
        left = list(edits)
        large: list[JobEdit] = []
        most = self.record_limits.most_writes
        while left and tries:
            batch, left = self._gather(left, most, large)
            if not batch.writes:
                continue
            writes = list(batch.writes.values())
            try:
                self.cache.write(batch.checks, writes, patience=patience)
            except ConflictError as conflict:
                log.debug("conflict over %s", conflict)
                tries -= 1
                failed = set(conflict.keys)
                # a failed condition of the caller's own can't be mended here; what else failed is made anew, after
                # a read, in smaller transactions that have less to collide with
                left = [edit for edit in batch.edits if not failed & set(edit.conditions)] + left
                most = max(3, most // 2)
                if left and not self.cache.barrier(self.cache.state.timeout, "claim"):
                    raise NotExecutedError("no read after a conflict") from conflict
                continue
            except Refused:
                # the state service takes less than we were told: one at a time; what is too large by itself must wait
                tries -= 1
                if len(batch.edits) > 1:
                    left = batch.edits + left
                    most = 1
                continue
            except OutcomeUnknownError:
                # may have happened, or may still: a read shows which, and a later arrival fails on its conditions
                self.quota_rebalancer.mark_uncertain({team for team, _ in batch.added})
                self.cache.barrier(self.cache.state.timeout, "claim")
                raise
            except LeaseNotFoundError as error:
                raise NotExecutedError("no such lease") from error
            changed.update(batch.jobs)
        for edit in large:
            try:
                split = bool(tries) and self.record_splitter.split(edit.job, patience)
            except Refused:
                # guards the others' changes: a description that is itself too long, taken when records were larger
                log.error("job %s: not even its description fits a record now", edit.job)
                continue
            if split:
                changed.update(self.change_all([edit], patience, tries))
        return changed

    def _gather(self, edits: list[JobEdit], most: int, large: list[JobEdit]) -> tuple[_Batch, list[JobEdit]]:
        """As many edits as one transaction holds, and the rest."""
        batch = _Batch()
        zones = self.quota_rebalancer.held()
        for number, edit in enumerate(edits):
            with self.job_cache.lock:
                job = self.job_cache.get(edit.job)
                if job is None or edit.job in batch.jobs:
                    continue
                team = job.spec.team
                usage = batch.teams.get(team) or self.job_cache.team(team, zones)
            new = edit.make(job, usage)
            if new is None:
                continue
            try:
                draft = self.transaction_builder.draft(job, new, usage)
            except RecordTooLargeError:
                if self.record_limits.can_be_split(job):
                    large.append(edit)
                else:
                    log.error("job %s: its record would be too long", edit.job)
                continue
            if draft is None:
                continue
            checks = {**draft.checks, **edit.conditions}
            writes = list(draft.writes)
            charged = draft.usage.charged != usage.charged
            added = _added(job, draft.job)
            if usage.shares:
                charged = False
                quota = self.quota_rebalancer.for_allocation(
                    team, usage.shares, batch.added, batch.writes.get(QUOTA + team), added, zones
                )
                if quota is None:
                    continue
                checks.update(quota[0])
                writes += quota[1]
            elif charged:
                checks[TEAM + team] = usage.version
                writes.append((TEAM + team, draft.usage.pack(), None))
            if batch.writes and (
                len({*batch.writes, *(key for key, _, _ in writes)}) > most
                or len(batch.checks.keys() | checks.keys()) > self.record_limits.most_checks
                or batch.bytes + draft.bytes > MOST_BYTES
                or any(batch.checks.get(key, version) != version for key, version in checks.items())
            ):
                # The last guards against a condition that takes the place of another on the same key: what was made
                # from the older reading would go through unchecked.
                return batch, edits[number:]
            batch.checks.update(checks)
            batch.writes.update((write[0], write) for write in writes)
            if charged or usage.shares:
                # what ends in this transaction is free for the claims that follow in it
                batch.teams[team] = draft.usage.freed(job.spec, draft.job.ended - job.ended)
            for zone, (cpus, gpus) in added.items():
                before = batch.added.get((team, zone), (0.0, 0.0))
                batch.added[team, zone] = (before[0] + cpus, before[1] + gpus)
            batch.jobs[edit.job] = draft.job
            batch.edits.append(edit)
            batch.bytes += draft.bytes
        return batch, []
