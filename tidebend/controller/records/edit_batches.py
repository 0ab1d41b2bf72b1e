"""Combines edits of several jobs into transactions that also contain their teams' records."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.quota.quota_rebalancing import HeldZones, QuotaRebalancer
from tidebend.controller.records.job_edit import JobEdit
from tidebend.controller.records.job_transaction import JobTransaction, RecordTooLargeError, put
from tidebend.controller.records.record_limits import MAX_TRANSACTION_BYTES, RecordLimits
from tidebend.controller.records.transaction_builder import TransactionBuilder
from tidebend.protocol import Write
from tidebend.quota import QUOTA_PREFIX, TEAM_PREFIX, QuotaAmountLike, TeamUsage

log = logging.getLogger("records")


@dataclass
class PreparedEdit:
    """An edit applied to its job, with all that it writes."""

    edit: JobEdit
    job_before: Job
    transaction: JobTransaction  # without the team's record
    conditions: dict[str, int]  # all of them, the team's and the edit's own included
    writes: list[Write]  # all of them
    added: dict[str, QuotaAmountLike]  # zone -> what the edit allocates less what it ends
    changes_team_usage: bool  # whether later edits of the same transaction have to see its effect on the team

    @property
    def team(self) -> str:
        """The team whose job is changed."""
        return self.job_before.spec.team


@dataclass
class EditBatch:
    """Edits that are written in one transaction."""

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Write] = field(default_factory=dict)  # by key
    team_usages: dict[str, TeamUsage] = field(default_factory=dict)  # as they are with the edits so far
    added: dict[tuple[str, str], QuotaAmountLike] = field(default_factory=dict)  # (team, zone) -> allocated less ended
    jobs: dict[str, Job] = field(default_factory=dict)  # as they are once the transaction has been executed
    edits: list[JobEdit] = field(default_factory=list)
    size_bytes: int = 0

    def has_room_for(self, prepared: PreparedEdit, max_writes: int, max_conditions: int) -> bool:
        """Whether an edit can join the batch; any edit fits an empty one.

        An edit with a condition on another version of a key than the batch has can't join: one condition would replace
        the other, and what was made from the older version would be written unchecked.
        """
        if not self.writes:
            return True
        return (
            len(self.writes.keys() | {key for key, _, _ in prepared.writes}) <= max_writes
            and len(self.conditions.keys() | prepared.conditions.keys()) <= max_conditions
            and self.size_bytes + prepared.transaction.size_bytes <= MAX_TRANSACTION_BYTES
            and all(self.conditions.get(key, version) == version for key, version in prepared.conditions.items())
        )

    def add(self, prepared: PreparedEdit) -> None:
        """Add an edit for which there is room."""
        transaction, before = prepared.transaction, prepared.job_before
        self.conditions.update(prepared.conditions)
        self.writes.update((write[0], write) for write in prepared.writes)
        if prepared.changes_team_usage:
            # what ends in this transaction is available to the allocations that follow in it
            ended_count = transaction.job.ended_count - before.ended_count
            self.team_usages[prepared.team] = transaction.usage.with_tasks_ended(before.spec, ended_count)
        for zone, (cpus, gpus) in prepared.added.items():
            total = self.added.get((prepared.team, zone), (0.0, 0.0))
            self.added[prepared.team, zone] = (total[0] + cpus, total[1] + gpus)
        self.jobs[prepared.edit.job_id] = transaction.job
        self.edits.append(prepared.edit)
        self.size_bytes += transaction.size_bytes


@dataclass
class BuiltBatch:
    """A batch, and the edits that aren't in it."""

    batch: EditBatch
    remaining: list[JobEdit]  # for which there was no room
    to_be_split: list[JobEdit]  # whose jobs' records have to be split into chunks first


class EditBatchBuilder:
    """Applies edits to the jobs in the cache and combines them into batches."""

    def __init__(
        self,
        job_cache: JobCache,
        quota_rebalancer: QuotaRebalancer,
        record_limits: RecordLimits,
        transaction_builder: TransactionBuilder,
    ) -> None:
        """Check allocations against zone quotas by `quota_rebalancer`."""
        self._job_cache = job_cache
        self._quota_rebalancer = quota_rebalancer
        self._record_limits = record_limits
        self._transaction_builder = transaction_builder

    def build(self, edits: list[JobEdit], max_writes: int) -> BuiltBatch:
        """Combine as many edits as one transaction holds, from the first on.

        Edits that have nothing to write, or for which the team's quota has no room, are dropped.
        """
        batch = EditBatch()
        to_be_split: list[JobEdit] = []
        held_zones = self._quota_rebalancer.held_zones()
        for number, edit in enumerate(edits):
            try:
                prepared = self._prepare(edit, batch, held_zones)
            except RecordTooLargeError as error:
                if self._record_limits.can_be_split(error.job):
                    to_be_split.append(edit)
                else:
                    log.error("job %s: its record would be too long", edit.job_id)
                continue
            if prepared is None:
                continue
            if not batch.has_room_for(prepared, max_writes, self._record_limits.max_conditions):
                return BuiltBatch(batch, edits[number:], to_be_split)
            batch.add(prepared)
        return BuiltBatch(batch, [], to_be_split)

    def _prepare(self, edit: JobEdit, batch: EditBatch, held_zones: HeldZones) -> PreparedEdit | None:
        """Apply an edit; None if there is nothing to write, or the team's quota has no room for its allocations.

        A job's second edit in one batch is dropped. Raises `RecordTooLargeError`.
        """
        with self._job_cache.lock:
            job = self._job_cache.get(edit.job_id)
            if job is None or edit.job_id in batch.jobs:
                return None
            team = job.spec.team
            usage = batch.team_usages.get(team) or self._job_cache.team(team, held_zones)
        new = edit.apply(job, usage)
        if new is None:
            return None
        transaction = self._transaction_builder.build(job, new, usage)
        if transaction is None:
            return None
        prepared = PreparedEdit(
            edit,
            job,
            transaction,
            {**transaction.conditions, **edit.conditions},
            list(transaction.writes),
            _added_by_zone(job, transaction.job),
            changes_team_usage=False,
        )
        if usage.zone_quotas:
            return prepared if self._add_quota_change(prepared, usage, batch, held_zones) else None
        if transaction.usage.charged != usage.charged:
            prepared.changes_team_usage = True
            prepared.conditions[TEAM_PREFIX + team] = usage.version
            prepared.writes.append(put(TEAM_PREFIX + team, transaction.usage.pack()))
        return prepared

    def _add_quota_change(
        self, prepared: PreparedEdit, usage: TeamUsage, batch: EditBatch, held_zones: HeldZones
    ) -> bool:
        """Add what keeps the team's zone quotas; False if they have no room for the edit's allocations."""
        assert usage.zone_quotas is not None
        prepared.changes_team_usage = True
        quota_change = self._quota_rebalancer.change_for_allocation(
            prepared.team,
            usage.zone_quotas,
            already_added=batch.added,
            already_written=batch.writes.get(QUOTA_PREFIX + prepared.team),
            added=prepared.added,
            held_zones=held_zones,
        )
        if quota_change is None:
            return False
        prepared.conditions.update(quota_change.conditions)
        prepared.writes += quota_change.writes
        return True


def _added_by_zone(before: Job, after: Job) -> dict[str, QuotaAmountLike]:
    """Return what a change allocates less what it ends, in the zones in which that differs."""
    tasks: dict[str, int] = {}
    for job, sign in ((before, -1), (after, 1)):
        for zone, count in job.allocated_by_zone().items():
            tasks[zone] = tasks.get(zone, 0) + sign * count
    return {zone: (count * after.spec.cpus, count * after.spec.gpus) for zone, count in tasks.items() if count}
