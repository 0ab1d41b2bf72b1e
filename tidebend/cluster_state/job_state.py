"""The state of a job and the transitions of its allocations."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Self

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.keys import AllocationKey
from tidebend.cluster_state.record_chunks import ChunkIndex
from tidebend.cluster_state.task_bitmap import bit_range
from tidebend.protocol import JobSpec


@dataclass(frozen=True, slots=True)
class JobState:
    """A job at one version of its record. Immutable: a change returns a new state, to be written by compare-and-swap.

    Times are wall-clock times in seconds. `blocked` isn't recorded: it is derived from the final records of the
    dependencies.
    """

    id: str
    version: int  # of the record from which it was read
    spec: JobSpec
    submitted: float
    cancelled: bool = False
    cancellation_sealed: bool = False  # no controller can record the job as done any more: see `Job`
    last_attempt: int = 0  # number of allocation events so far; each is one attempt
    ended_count: int = 0  # number of tasks whose allocation has ended; never decreases
    done: int = 0  # bitmap of task indexes
    allocations: tuple[Allocation, ...] = ()
    dependencies: tuple[str, ...] = ()  # jobs that must be done first; empty once the first allocation is recorded
    dependencies_done_at: float | None = None  # when the last dependency was done
    blocked: bool = False  # not all dependencies are known to be done
    chunks: ChunkIndex | None = None  # for a job whose record is split

    @property
    def allocated(self) -> int:
        """The bitmap of allocated tasks."""
        mask = 0
        for allocation in self.allocations:
            mask |= allocation.tasks
        return mask

    @property
    def all_tasks(self) -> int:
        """The bitmap of all tasks."""
        return bit_range(0, self.spec.tasks - 1)

    @property
    def pending(self) -> int:
        """The bitmap of tasks that may be allocated now; empty if the job is cancelled or blocked."""
        return 0 if self.cancelled or self.blocked else self.all_tasks & ~self.done & ~self.allocated

    @property
    def startable_since(self) -> float:
        """The time since when tasks may start: that of the submission, or when the last dependency was done."""
        return self.submitted if self.dependencies_done_at is None else self.dependencies_done_at

    @property
    def allocated_count(self) -> int:
        """The number of allocated tasks."""
        return sum(allocation.tasks.bit_count() for allocation in self.allocations)

    @property
    def charged(self) -> int:
        """The number of tasks that the team's record counts for this job: all that were ever allocated."""
        return self.ended_count + self.allocated_count

    def allocated_by_zone(self) -> dict[str, int]:
        """Return the number of allocated tasks by zone."""
        zones: dict[str, int] = {}
        for allocation in self.allocations:
            zones[allocation.zone] = zones.get(allocation.zone, 0) + allocation.tasks.bit_count()
        return zones

    def allocated_on(self, machines: Iterable[str]) -> dict[AllocationKey, int]:
        """Return the bitmaps of the tasks allocated to some machines.

        An allocation that spans several chunks is stored in parts, one per chunk; these are joined here.
        """
        found: dict[AllocationKey, int] = {}
        for allocation in self.allocations:
            if allocation.machine in machines:
                key = (allocation.machine, allocation.session, allocation.attempt)
                found[key] = found.get(key, 0) | allocation.tasks
        return found

    def with_allocations(self, added: Iterable[Allocation]) -> Self:
        """Return the job after an allocation event, without its dependencies, which are all done by then."""
        return replace(
            self, allocations=self.allocations + tuple(added), last_attempt=self.last_attempt + 1, dependencies=()
        )

    def with_cancellation(self) -> Self:
        """Return the job as cancelled, in the state after this has been recorded."""
        return replace(self, cancelled=True, cancellation_sealed=True)

    def with_dependencies_done(self, at: float) -> Self:
        """Return the job as unblocked; `at` is the time when its last dependency was done."""
        return replace(self, blocked=False, dependencies_done_at=at)

    def with_ended_tasks(self, ended: Mapping[AllocationKey, int], done: int) -> Self:
        """Return the job without the allocations of ended tasks, and with the tasks in the bitmap `done` as done."""
        remaining = []
        for allocation in self.allocations:
            removed = ended.get((allocation.machine, allocation.session, allocation.attempt), 0)
            if not allocation.tasks & removed:
                remaining.append(allocation)
            elif allocation.tasks & ~removed:
                remaining.append(replace(allocation, tasks=allocation.tasks & ~removed))
        new = replace(self, allocations=tuple(remaining), done=self.done | done)
        return replace(new, ended_count=self.ended_count + self.allocated_count - new.allocated_count)
