"""Batches of edits to several jobs, written in one transaction together with their teams' records."""

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
    """An edit applied to its job, with everything that it writes."""

    edit: JobEdit
    job_before: Job
    transaction: JobTransaction  # without the team's record
    conditions: dict[str, int]  # all conditions, including those of the team's records and of the edit
    writes: list[Write]  # all writes, including those of the team's records
    usage_changes: dict[str, QuotaAmountLike]  # zone -> resources allocated minus resources of ended tasks
    changes_team_usage: bool  # whether later edits of the batch must take its effect on the team into account

    @property
    def team(self) -> str:
        """The team whose job is changed."""
        return self.job_before.spec.team


@dataclass
class EditBatch:
    """Edits that are written in one transaction."""

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Write] = field(default_factory=dict)  # by key
    team_usages: dict[str, TeamUsage] = field(default_factory=dict)  # by team, after the edits so far
    # (team, zone) -> resources allocated minus resources of ended tasks
    usage_changes: dict[tuple[str, str], QuotaAmountLike] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)  # by id, after the transaction
    prepared: list[PreparedEdit] = field(default_factory=list)
    size_bytes: int = 0

    @property
    def edits(self) -> list[JobEdit]:
        """The edits of the batch, in their order."""
        return [prepared.edit for prepared in self.prepared]

    def edits_with_conditions_on(self, keys: set[str]) -> list[JobEdit]:
        """Return the edits that are conditional on any of these keys; all edits if none is."""
        found = [prepared.edit for prepared in self.prepared if keys & prepared.conditions.keys()]
        return found or self.edits

    def has_room_for(self, prepared: PreparedEdit, max_writes: int, max_conditions: int) -> bool:
        """Whether an edit can join the batch; any edit can join an empty one.

        An edit can't join if it has a condition on another version of a key than the batch has: one condition would
        replace the other, and the edit that was based on the other version would be written unchecked.
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
        """Add an edit for which `has_room_for` was true."""
        transaction, before = prepared.transaction, prepared.job_before
        self.conditions.update(prepared.conditions)
        self.writes.update((write[0], write) for write in prepared.writes)
        if prepared.changes_team_usage:
            # resources freed by this edit are available to later allocations in the same transaction
            ended_count = transaction.job.ended_count - before.ended_count
            self.team_usages[prepared.team] = transaction.usage.with_tasks_ended(before.spec, ended_count)
        for zone, (cpus, gpus) in prepared.usage_changes.items():
            total = self.usage_changes.get((prepared.team, zone), (0.0, 0.0))
            self.usage_changes[prepared.team, zone] = (total[0] + cpus, total[1] + gpus)
        self.jobs[prepared.edit.job_id] = transaction.job
        self.prepared.append(prepared)
        self.size_bytes += transaction.size_bytes


@dataclass
class BuiltBatch:
    """A batch, and the edits that didn't become part of it."""

    batch: EditBatch
    remaining: list[JobEdit]  # for which the batch had no room
    to_be_split: list[JobEdit]  # the records of whose jobs must be split into chunks first


class EditBatchBuilder:
    """Applies edits to the jobs in the cache and combines them into batches."""

    def __init__(
        self,
        job_cache: JobCache,
        quota_rebalancer: QuotaRebalancer,
        record_limits: RecordLimits,
        transaction_builder: TransactionBuilder,
    ) -> None:
        """Use `quota_rebalancer` to check allocations against zone quotas."""
        self._job_cache = job_cache
        self._quota_rebalancer = quota_rebalancer
        self._record_limits = record_limits
        self._transaction_builder = transaction_builder

    def build(self, edits: list[JobEdit], max_writes: int) -> BuiltBatch:
        """Combine as many edits as fit into one transaction, starting with the first.

        Edits are dropped if they have nothing to write, or if their allocations exceed the team's quota.
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
                    log.error("job %s: its record would exceed the size limit", edit.job_id)
                continue
            if prepared is None:
                continue
            if not batch.has_room_for(prepared, max_writes, self._record_limits.max_conditions):
                return BuiltBatch(batch, edits[number:], to_be_split)
            batch.add(prepared)
        return BuiltBatch(batch, [], to_be_split)

    def _prepare(self, edit: JobEdit, batch: EditBatch, held_zones: HeldZones) -> PreparedEdit | None:
        """Apply an edit; return None if there is nothing to write, or if its allocations exceed the team's quota.

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
            _usage_change_by_zone(job, transaction.job),
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
        """Add the writes and conditions of the team's zone quotas; False if the edit's allocations exceed them."""
        assert usage.zone_quotas is not None
        prepared.changes_team_usage = True
        quota_change = self._quota_rebalancer.change_for_allocation(
            prepared.team,
            usage.zone_quotas,
            already_added=batch.usage_changes,
            already_written=batch.writes.get(QUOTA_PREFIX + prepared.team),
            added=prepared.usage_changes,
            held_zones=held_zones,
        )
        if quota_change is None:
            return False
        prepared.conditions.update(quota_change.conditions)
        prepared.writes += quota_change.writes
        return True


def _usage_change_by_zone(before: Job, after: Job) -> dict[str, QuotaAmountLike]:
    """Return the resources that a change allocates minus those of tasks that it ends, for zones where not zero."""
    tasks: dict[str, int] = {}
    for job, sign in ((before, -1), (after, 1)):
        for zone, count in job.allocated_by_zone().items():
            tasks[zone] = tasks.get(zone, 0) + sign * count
    return {zone: (count * after.spec.cpus, count * after.spec.gpus) for zone, count in tasks.items() if count}
