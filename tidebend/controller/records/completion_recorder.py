"""Writing of confirmed completions to the job records, in batches."""

from __future__ import annotations

import logging
import time
from functools import partial
from typing import NamedTuple

from tidebend.cluster_state.final_states import final_state_of
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.controller.records.record_limits import packed_bytes
from tidebend.controller.records.unrecorded_completions import UnrecordedCompletions
from tidebend.coordination import Coordinator, shard_of
from tidebend.protocol import JobSpec
from tidebend.quota import QuotaAmountLike, TeamUsage
from tidebend.settings import Settings

log = logging.getLogger("completions")

# the approximate share of this controller's writes to the key-value store that completions may take if not urgent
COMPLETIONS_WRITE_SHARE = 0.25
# the minimum time between two allocations of an array's successive tasks, as a share of the batch delay
ALLOCATION_PAUSE_SHARE = 0.5


class CompletionEdit(NamedTuple):
    """An edit that records completions, and the part of the team's limit that it frees."""

    freed: QuotaAmountLike
    edit: JobEdit


class CompletionRecorder:
    """Delays completions so that one write records several, and decides when the delay is over.

    The delay concerns only the records: scheduling is based on heartbeats, so the capacity of ended tasks is available
    at once. `batch_delay_s` is the minimum delay. `allocation_pause_s` is the minimum time between two allocations of
    an array whose tasks follow one another as capacity becomes free, since each allocation costs a write.
    """

    def __init__(
        self, settings: Settings, coordinator: Coordinator, job_cache: JobCache, job_writer: JobWriter
    ) -> None:
        """Derive the delays from the knob `gather`, a multiple of the worker lease."""
        self._settings = settings
        self._coordinator = coordinator
        self._job_cache = job_cache
        self._job_writer = job_writer
        self._waiting_since: dict[str, float] = {}  # job -> monotonic time since which its completions wait
        self.batch_delay_s = settings.knobs.gather * settings.lease_s
        self.allocation_pause_s = ALLOCATION_PAUSE_SHARE * self.batch_delay_s

    def forget_except(self, unrecorded: dict[str, UnrecordedCompletions]) -> None:
        """Drop the waiting times of jobs without unrecorded completions."""
        for job_id in [job_id for job_id in self._waiting_since if job_id not in unrecorded]:
            del self._waiting_since[job_id]

    def mark_recorded(self, job_id: str) -> None:
        """Drop a job's waiting time: its completions have been recorded."""
        self._waiting_since.pop(job_id, None)

    def edits_for_team(self, team: str, unrecorded: dict[str, UnrecordedCompletions]) -> list[CompletionEdit]:
        """Return the edits that record the completions of a team's jobs, in descending order of what they free.

        They are written before the team's next allocation, in the same transaction if it has room, so that a team at
        its limit doesn't wait for the batch delay.
        """
        found = []
        for job_id, completions in unrecorded.items():
            job = self._job_cache.get(job_id)
            if job is not None and job.spec.team == team and completions.ended:
                found.append(CompletionEdit(completions.amounts(job.spec), self._edit(job_id, completions)))
        return sorted(found, key=lambda row: (-row.freed[0], -row.freed[1], row.edit.job_id))

    def record(self, unrecorded: dict[str, UnrecordedCompletions]) -> None:
        """Write the completions that have waited for the batch delay, and the urgent ones.

        Urgent are those of jobs other than arrays, the last ones of a job in this controller's shards, and those of a
        team that has reached its limit. The others are also written together with the job's next allocation. Raises
        `NotExecutedError` or `OutcomeUnknownError` as `JobWriter.write_edits` does.
        """
        now = time.monotonic()
        batch_delay_s = self._batch_delay_s_for(len(unrecorded))
        edits = []
        for job_id, completions in unrecorded.items():
            job = self._job_cache.get(job_id)
            if job is None:
                continue
            waited_s = now - self._waiting_since.setdefault(job_id, now)
            if self._must_be_recorded(job, completions, waited_s, batch_delay_s):
                edits.append(self._edit(job_id, completions))
        if edits:
            recorded = self._job_writer.write_edits(edits)
            for job_id in recorded:
                self.mark_recorded(job_id)
            log.debug("recorded completions of jobs %s", ", ".join(recorded))

    def conditions(self, completions: UnrecordedCompletions) -> dict[str, int]:
        """Return the conditions that this controller still holds the shards whose heartbeats confirmed them."""
        return dict(self._coordinator.condition(grant) for grant in completions.grants)

    def apply(self, job: Job, _: TeamUsage, completions: UnrecordedCompletions) -> Job:
        """Return the job with the completions applied, as far as its record can hold them."""
        new = job.with_ended_tasks(completions.ended, completions.done)
        if (
            completions.done
            and not job.chunks
            and not self._job_writer.record_limits.fits(new)
            and final_state_of(new) is None
        ):
            # The indexes of done tasks may be too scattered to fit into the record. Tasks that aren't recorded as done
            # are started again and are done at once, since the platform keeps their results.
            without_done = job.with_ended_tasks(completions.ended, 0)
            return new if packed_bytes(new.pack()) <= self._job_writer.record_limits.max_value_bytes else without_done
        return new

    def _edit(self, job_id: str, completions: UnrecordedCompletions) -> JobEdit:
        return JobEdit(job_id, partial(self.apply, completions=completions), self.conditions(completions))

    def _batch_delay_s_for(self, jobs: int) -> float:
        """Return the batch delay for completions of `jobs` jobs: longer with more, to leave writes for other uses."""
        writes_per_s = COMPLETIONS_WRITE_SHARE * self._job_writer.writes_per_s
        return max(self.batch_delay_s, min(self._settings.lease_s, jobs / writes_per_s))

    def _must_be_recorded(
        self, job: Job, completions: UnrecordedCompletions, waited_s: float, batch_delay_s: float
    ) -> bool:
        return (
            job.spec.kind != "array"
            or waited_s >= batch_delay_s
            or self._are_last_of_job(job, completions)
            or (waited_s >= self.allocation_pause_s and self._is_at_limit(job.spec))
        )

    def _are_last_of_job(self, job: Job, completions: UnrecordedCompletions) -> bool:
        """Whether no task of the job remains in this controller's shards once these completions are recorded."""
        if final_state_of(job, completions.done) is not None:
            return True
        held_shards = {grant.shard for grant in self._coordinator.grants()}
        return not job.pending and not any(
            allocation.tasks & ~completions.ended.get((allocation.machine, allocation.session, allocation.attempt), 0)
            for allocation in job.allocations
            if shard_of(allocation.zone) in held_shards
        )

    def _is_at_limit(self, spec: JobSpec) -> bool:
        """Whether the team's limit has no room for another task of this size."""
        team = self._settings.teams.get(spec.team)
        usage = self._job_cache.team(spec.team, self._coordinator.held_zones())
        return team is not None and not team.allows(usage.cpus + spec.cpus, usage.gpus + spec.gpus)
