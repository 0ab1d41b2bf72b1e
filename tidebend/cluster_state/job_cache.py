"""The cache of live jobs, of teams' usage and of final states, kept up to date from the state service's records."""

from __future__ import annotations

import logging
import threading
from collections.abc import Container
from dataclasses import dataclass, replace
from typing import Any

from tidebend.cluster_state.allocation_index import AllocationIndex
from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.dependency_graph import DependencyGraph
from tidebend.cluster_state.final_states import CANCELLED, DONE, UNKNOWN_TIME, FinalState, unpack_final
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.cluster_state.record_chunks import CHUNK_PREFIX, Chunk
from tidebend.kvclient import FINAL
from tidebend.quota import QuotaAmount, TeamUsage, UsageIndex

log = logging.getLogger("cluster_state")


@dataclass(slots=True)
class _ChunkRecord:
    """A chunk's record, unpacked once: its job is derived anew whenever another of its chunks changes."""

    value: Any
    version: int
    _first: int | None = None  # the number of the first task that it was unpacked with
    _chunk: Chunk | None = None

    def chunk(self, first: int) -> Chunk:
        """Unpack the record of a chunk whose first task has this number, as the job's head tells."""
        if self._chunk is None or self._first != first:
            self._first, self._chunk = first, Chunk.unpack(self.value, self.version, first)
        return self._chunk


class JobCache:
    """Live jobs, teams' usage and final states; changed only by the watch cache, under its lock.

    Whether a job is blocked or cancelled by its dependencies is derived from their final records. These never change,
    so that a conclusion from them stays true, and is the same on every controller.
    """

    def __init__(self, lock: threading.RLock, keep_finals: int) -> None:
        """`lock`: the watch cache's; `keep_finals`: how many final states to keep at the least."""
        self.lock = lock
        self.jobs: dict[str, Job] = {}
        self._heads: dict[str, Job] = {}  # as recorded: without chunks, and without what follows from dependencies
        self._chunks: dict[str, dict[int, _ChunkRecord]] = {}
        self._usage = UsageIndex()
        self._allocations = AllocationIndex()
        self._dependencies = DependencyGraph(keep_finals)
        self._unsealed: dict[str, None] = {}  # jobs whose cancellation needs sealing, in the order of their records
        self._removed_cancelled: set[str] = set()  # the cancelled jobs whose records the last removals deleted
        self._removed_at = 0  # the revision of these removals

    def on_change(self, key: str, value: Any, version: int) -> None:
        """Apply a record of the state service, or its removal if `value` is None; other keys are ignored."""
        if key.startswith(JOB_PREFIX):
            self._change_head(key[len(JOB_PREFIX) :], key, value, version)
        elif key.startswith(HEAD_PREFIX):
            self._change_head(key[len(HEAD_PREFIX) :], key, value, version)
        elif key.startswith(CHUNK_PREFIX):
            name, _, number = key[len(CHUNK_PREFIX) :].rpartition("/")
            self._change_chunk(name, int(number), value, version)
        elif key.startswith(FINAL):
            if value is not None:
                self._check_final(key[len(FINAL) :], value, version)
                self.remember_final(key[len(FINAL) :], value)
        else:
            self._usage.on_change(key, value, version)

    def _check_final(self, name: str, value: Any, version: int) -> None:
        """Log if a job's final record contradicts its cancellation, which users may have been told of."""
        job = self.jobs.get(name)
        was_cancelled = job.cancelled if job else version == self._removed_at and name in self._removed_cancelled
        if was_cancelled and unpack_final(value).state == DONE:
            log.error("job %s: recorded as done at revision %d, and was cancelled before", name, version)

    def _note_removal(self, job: Job, version: int) -> None:
        """Remember that a cancelled job was removed at a revision, for the final record that comes with it."""
        if version != self._removed_at:
            self._removed_at = version
            self._removed_cancelled.clear()
        if job.cancelled:
            self._removed_cancelled.add(job.id)

    def _change_head(self, name: str, key: str, value: Any, version: int) -> None:
        old = self._heads.get(name)
        if value is None:
            if old is None or old.key != key:
                return  # the job has moved to the other key
            del self._heads[name]
            self._note_removal(old, version)
        else:
            self._heads[name] = Job.unpack(name, value, version)
        new = self._heads.get(name)
        old_dependencies = old.dependencies if old else ()
        new_dependencies = new.dependencies if new else ()
        if old_dependencies != new_dependencies:
            self._dependencies.replace_dependencies(name, old_dependencies, new_dependencies)
        self._derive(name)

    def _change_chunk(self, name: str, number: int, value: Any, version: int) -> None:
        records = self._chunks.setdefault(name, {})
        if value is None:
            records.pop(number, None)
            if not records:
                del self._chunks[name]
        else:
            records[number] = _ChunkRecord(value, version)
        if name in self._heads:
            self._derive(name)

    def remember_final(self, name: str, value: Any) -> None:
        """Apply the final record of a job, from the watch cache or from a look-up by itself."""
        final = unpack_final(value)
        with self.lock:
            for dependent in self._dependencies.remember_final(name, final):
                self._derive(dependent)

    # How jobs follow from records

    def _outcome(self, name: str) -> FinalState | None:
        """Return how a job has ended or, by a cancellation, is bound to end; None if that is open or unknown."""
        final = self._dependencies.final_state(name)
        if final is None:
            job = self.jobs.get(name)
            if job is not None and job.cancelled:
                return FinalState(CANCELLED, UNKNOWN_TIME)
        return final

    def _derive(self, name: str) -> None:
        """Derive a job from its records and its dependencies, then the jobs that depend on it, and so on."""
        left = [name]
        while left:
            name = left.pop()
            outcome_before = self._outcome(name)
            old = self.jobs.pop(name, None)
            if old is not None:
                self._remove_from_indexes(old)
            head = self._heads.get(name)
            if head is not None:
                new = self._with_dependencies_applied(self._with_chunks(head))
                self.jobs[name] = new
                self._add_to_indexes(new)
            if self._outcome(name) != outcome_before:
                left += self._dependencies.dependents(name)

    def _with_chunks(self, head: Job) -> Job:
        if head.chunks is None:
            return head
        size = head.chunks.size
        records = self._chunks.get(head.id, {})
        return head.with_chunk_records({number: record.chunk(number * size) for number, record in records.items()})

    def _with_dependencies_applied(self, job: Job) -> Job:
        """Return the job cancelled if a dependency is, or no longer blocked if all are done."""
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

    def get(self, name: str) -> Job | None:
        """Return a live job."""
        with self.lock:
            return self.jobs.get(name)

    def live_jobs(self) -> list[Job]:
        """Return all live jobs."""
        with self.lock:
            return list(self.jobs.values())

    def unsealed(self) -> list[str]:
        """Return the cancelled jobs that controllers of the first format version may still record as done."""
        with self.lock:
            return list(self._unsealed)

    def final_state(self, name: str) -> str | None:
        """Return `done` or `cancelled` if that is known to be the job's final state, also while it still lives."""
        with self.lock:
            outcome = self._outcome(name)
            return outcome.state if outcome else None

    def chunk_versions(self, name: str) -> dict[int, int]:
        """Return the versions of the records of a job's chunks, also of those that its head doesn't name."""
        with self.lock:
            return {number: record.version for number, record in self._chunks.get(name, {}).items()}

    def chunk_sources(self, name: str) -> dict[int, int]:
        """Return the versions of the job's record from which its chunks were split, by number; 0 for changed ones."""
        with self.lock:
            return {number: record.value.get("source", 0) for number, record in self._chunks.get(name, {}).items()}

    # Dependencies

    def dependents_by_job(self) -> dict[str, list[str]]:
        """Return for each job that live ones depend on: those."""
        with self.lock:
            return self._dependencies.dependents_by_job()

    def missing_final_states(self, name: str | None = None) -> list[str]:
        """Return jobs that others depend on and that have ended, but of which it isn't known how.

        With a name only those that this job depends on, directly or through others.
        """
        with self.lock:
            if name is None:
                return [other for other in self._dependencies.dependencies_without_final() if other not in self._heads]
            return self._missing_final_states_of(name)

    def _missing_final_states_of(self, name: str) -> list[str]:
        found: list[str] = []
        seen = {name}
        left = [name]
        while left:
            head = self._heads.get(left.pop())
            for other in head.dependencies if head else ():
                if other in seen or self._dependencies.has_needed_final(other):
                    continue
                seen.add(other)
                (left if other in self._heads else found).append(other)
        return found

    # Teams

    def used(self, team: str, zones: Container[str] | None = None) -> QuotaAmount:
        """Return what a team's allocated tasks use, everywhere or in some zones."""
        with self.lock:
            return self._usage.used(team, zones)

    def has_zone_quotas(self, team: str) -> bool:
        """Whether a team's limit is divided into quota shares of zones."""
        with self.lock:
            return self._usage.has_zone_quotas(team)

    def team(self, name: str, zones: Container[str] = ()) -> TeamUsage:
        """Return a team's usage as the holder of these zones may act on it."""
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
