"""The cache of live jobs, of teams' usage and of final states, kept up to date from the key-value store."""

from __future__ import annotations

import logging
import threading
from collections.abc import Container
from dataclasses import dataclass, replace
from typing import Any

from tidebend.cluster_state.allocation_index import AllocationIndex
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.dependency_graph import DependencyGraph
from tidebend.cluster_state.final_states import CANCELLED, DONE, UNKNOWN_TIME, FinalState, final_state_of, unpack_final
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.cluster_state.record_chunks import CHUNK_PREFIX, Chunk
from tidebend.kvclient import FINAL
from tidebend.quota import QuotaAmount, TeamUsage, UsageIndex

log = logging.getLogger("cluster_state")


@dataclass(slots=True)
class _ChunkRecord:
    """A chunk's record, unpacked only once although its job is derived again whenever any of its chunks changes."""

    value: Any
    version: int
    _first: int | None = None  # index of the first task that `_chunk` was unpacked with
    _chunk: Chunk | None = None

    def chunk(self, first: int) -> Chunk:
        """Return the unpacked chunk; `first` is the index of its first task, which follows from the job's head."""
        if self._chunk is None or self._first != first:
            self._first, self._chunk = first, Chunk.unpack(self.value, self.version, first)
        return self._chunk


class JobCache:
    """Live jobs, teams' usage and final states; changed only under the watch cache's lock.

    Whether a job is blocked or cancelled because of its dependencies is derived from their final records. These never
    change, so what is derived from them stays valid and is the same on every controller.
    """

    def __init__(self, lock: threading.RLock, max_recent_finals: int) -> None:
        """`lock` is the watch cache's; for `max_recent_finals` see `DependencyGraph`."""
        self.lock = lock
        self.jobs: dict[str, Job] = {}
        self._heads: dict[str, Job] = {}  # as recorded, before chunks and dependencies are applied
        self._chunks: dict[str, dict[int, _ChunkRecord]] = {}
        self._usage = UsageIndex()
        self._allocations = AllocationIndex()
        self._dependencies = DependencyGraph(max_recent_finals)
        self._unsealed: dict[str, None] = {}  # jobs that need sealing, in the order of their records
        self._removed_cancelled: set[str] = set()  # cancelled jobs removed at revision `_removed_at`
        self._removed_at = 0  # revision of the latest removal of a job

    def on_change(self, key: str, value: Any, version: int) -> None:
        """Apply a changed record, or its deletion if `value` is None; keys of other kinds are ignored."""
        if key.startswith(JOB_PREFIX):
            self._change_head(key[len(JOB_PREFIX) :], key, value, version)
        elif key.startswith(HEAD_PREFIX):
            self._change_head(key[len(HEAD_PREFIX) :], key, value, version)
        elif key.startswith(CHUNK_PREFIX):
            job_id, _, number = key[len(CHUNK_PREFIX) :].rpartition("/")
            self._change_chunk(job_id, int(number), value, version)
        elif key.startswith(FINAL):
            if value is not None:
                self._check_final(key[len(FINAL) :], value, version)
                self.remember_final(key[len(FINAL) :], value)
        else:
            self._usage.on_change(key, value, version)

    def _check_final(self, job_id: str, value: Any, version: int) -> None:
        """Log an error if a job's final record contradicts its cancellation, which may have been confirmed to users."""
        job = self.jobs.get(job_id)
        if job is None:
            was_cancelled = version == self._removed_at and job_id in self._removed_cancelled
        else:
            was_cancelled = final_state_of(job) == CANCELLED
        if was_cancelled and unpack_final(value).state == DONE:
            log.error("job %s: recorded as done at revision %d although it was cancelled before", job_id, version)

    def _note_removal(self, job: Job, version: int) -> None:
        """Remember a cancelled job's removal, to check the final record that is written at the same revision."""
        if version != self._removed_at:
            self._removed_at = version
            self._removed_cancelled.clear()
        if final_state_of(job) == CANCELLED:
            self._removed_cancelled.add(job.id)

    def _change_head(self, job_id: str, key: str, value: Any, version: int) -> None:
        old = self._heads.get(job_id)
        if value is None:
            if old is None or old.key != key:
                return  # the job is stored under its other key now
            del self._heads[job_id]
            self._note_removal(old, version)
        else:
            self._heads[job_id] = Job.unpack(job_id, value, version)
        new = self._heads.get(job_id)
        if new is not None and new.needs_sealing and (old is None or not old.needs_sealing):
            log.info("job %s: cancelled at revision %d by another version, not sealed yet", job_id, version)
        old_dependencies = old.dependencies if old else ()
        new_dependencies = new.dependencies if new else ()
        if old_dependencies != new_dependencies:
            self._dependencies.replace_dependencies(job_id, old_dependencies, new_dependencies)
        self._derive(job_id)

    def _change_chunk(self, job_id: str, number: int, value: Any, version: int) -> None:
        records = self._chunks.setdefault(job_id, {})
        if value is None:
            records.pop(number, None)
            if not records:
                del self._chunks[job_id]
        else:
            records[number] = _ChunkRecord(value, version)
        if job_id in self._heads:
            self._derive(job_id)

    def remember_final(self, job_id: str, value: Any) -> None:
        """Apply the final record of a job, received by the watch cache or read individually."""
        final = unpack_final(value)
        with self.lock:
            for dependent in self._dependencies.remember_final(job_id, final):
                self._derive(dependent)

    # Deriving jobs from records

    def _outcome(self, job_id: str) -> FinalState | None:
        """Return the final state of a job, also if it follows from a cancellation already; None if open or unknown."""
        final = self._dependencies.final_state(job_id)
        if final is None:
            job = self.jobs.get(job_id)
            if job is not None and final_state_of(job) == CANCELLED:
                return FinalState(CANCELLED, UNKNOWN_TIME)
        return final

    def _derive(self, job_id: str) -> None:
        """Derive a job from its records and dependencies, then the dependents that this affects, transitively."""
        to_visit = [job_id]
        while to_visit:
            job_id = to_visit.pop()
            outcome_before = self._outcome(job_id)
            old = self.jobs.pop(job_id, None)
            if old is not None:
                self._remove_from_indexes(old)
            head = self._heads.get(job_id)
            if head is not None:
                new = self._with_dependencies_applied(self._with_chunks(head))
                self.jobs[job_id] = new
                self._add_to_indexes(new)
            if self._outcome(job_id) != outcome_before:
                to_visit += self._dependencies.dependents(job_id)

    def _with_chunks(self, head: Job) -> Job:
        if head.chunks is None:
            return head
        size = head.chunks.size
        records = self._chunks.get(head.id, {})
        return head.with_chunk_records({number: record.chunk(number * size) for number, record in records.items()})

    def _with_dependencies_applied(self, job: Job) -> Job:
        """Return the job as cancelled if a dependency is cancelled, or as unblocked if all of them are done."""
        if not job.dependencies:
            return job
        outcomes = [self._outcome(dependency) for dependency in job.dependencies]
        known = [outcome for outcome in outcomes if outcome is not None]
        if any(outcome.state == CANCELLED for outcome in known):
            return replace(job, cancelled=True)
        if len(known) < len(outcomes):
            return job
        return job.with_dependencies_done(max(job.submitted, *(outcome.at for outcome in known)))

    def _add_to_indexes(self, job: Job) -> None:
        if job.needs_sealing:
            self._unsealed[job.id] = None
        self._allocations.add(job)
        self._usage.count_ended(job.spec, job.ended_count)
        for allocation in job.allocations:
            self._usage.count_allocated(job.spec, allocation.zone, allocation.tasks.bit_count())

    def _remove_from_indexes(self, job: Job) -> None:
        self._unsealed.pop(job.id, None)
        self._allocations.remove(job)
        self._usage.count_ended(job.spec, -job.ended_count)
        for allocation in job.allocations:
            self._usage.count_allocated(job.spec, allocation.zone, -allocation.tasks.bit_count())

    # Jobs

    def get(self, job_id: str) -> Job | None:
        """Return a live job, or None."""
        with self.lock:
            return self.jobs.get(job_id)

    def live_jobs(self) -> list[Job]:
        """Return all live jobs."""
        with self.lock:
            return list(self.jobs.values())

    def unsealed_cancellations(self) -> list[Job]:
        """Return the cancelled jobs that controllers of schema version 1 may still record as done."""
        with self.lock:
            return [self.jobs[job_id] for job_id in self._unsealed]

    def has_unsealed_cancellations(self) -> bool:
        """Whether there are cancelled jobs that controllers of schema version 1 may still record as done."""
        with self.lock:
            return bool(self._unsealed)

    def final_state(self, job_id: str) -> str | None:
        """Return the job's final state, `done` or `cancelled`, or None.

        A live job that is cancelled has the final state `cancelled` already.
        """
        with self.lock:
            outcome = self._outcome(job_id)
            return outcome.state if outcome else None

    def chunk_versions(self, job_id: str) -> dict[int, int]:
        """Return the versions of a job's chunk records by number, including those that its head doesn't refer to."""
        with self.lock:
            return {number: record.version for number, record in self._chunks.get(job_id, {}).items()}

    def chunk_sources(self, job_id: str) -> dict[int, int]:
        """Return by chunk number the version of the job's record that the chunk was split from; 0 if changed since."""
        with self.lock:
            return {number: record.value.get("source", 0) for number, record in self._chunks.get(job_id, {}).items()}

    # Dependencies

    def dependents_by_job(self) -> dict[str, list[str]]:
        """Return the live dependents of each job that has some."""
        with self.lock:
            return self._dependencies.dependents_by_job()

    def missing_final_states(self, job_id: str | None = None) -> list[str]:
        """Return the ended jobs that live jobs depend on and whose final state isn't known.

        With a job id, only those that this job depends on, directly or transitively.
        """
        with self.lock:
            if job_id is None:
                return [other for other in self._dependencies.dependencies_without_final() if other not in self._heads]
            return self._missing_final_states_of(job_id)

    def _missing_final_states_of(self, job_id: str) -> list[str]:
        found: list[str] = []
        seen = {job_id}
        to_visit = [job_id]
        while to_visit:
            head = self._heads.get(to_visit.pop())
            for other in head.dependencies if head else ():
                if other in seen or self._dependencies.has_needed_final(other):
                    continue
                seen.add(other)
                (to_visit if other in self._heads else found).append(other)
        return found

    # Teams

    def used(self, team: str, zones: Container[str] | None = None) -> QuotaAmount:
        """Return the resources of a team's allocated tasks, in all zones or in the given ones."""
        with self.lock:
            return self._usage.used(team, zones)

    def has_zone_quotas(self, team: str) -> bool:
        """Whether a team's limit is divided into zone quotas."""
        with self.lock:
            return self._usage.has_zone_quotas(team)

    def team(self, name: str, zones: Container[str] = ()) -> TeamUsage:
        """Return a team's usage as it applies to allocations by the holder of these zones."""
        with self.lock:
            return self._usage.team(name, zones)

    # Machines

    def allocations_on(self, machine: str) -> list[tuple[Job, Allocation]]:
        """Return the allocations on a machine, each with its job."""
        with self.lock:
            return self._allocations.allocations_on(machine)

    def machines_with_allocations(self) -> set[str]:
        """Return the names of the machines with allocations."""
        with self.lock:
            return self._allocations.machines_with_allocations()
