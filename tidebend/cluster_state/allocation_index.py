"""An index of allocations by machine."""

from __future__ import annotations

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import Job


class AllocationIndex:
    """The allocations of the live jobs, by machine and job. Guarded by the lock of the owning `JobCache`."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._by_machine: dict[str, dict[str, list[tuple[Job, Allocation]]]] = {}

    def add(self, job: Job) -> None:
        """Add the allocations of a job that isn't in the index."""
        for allocation in job.allocations:
            jobs = self._by_machine.setdefault(allocation.machine, {})
            jobs.setdefault(job.id, []).append((job, allocation))

    def remove(self, job: Job) -> None:
        """Remove the allocations of a job that is in the index."""
        for allocation in job.allocations:
            jobs = self._by_machine.get(allocation.machine)
            if jobs is None:
                continue  # removed already, with another allocation of the job to this machine
            jobs.pop(job.id, None)
            if not jobs:
                del self._by_machine[allocation.machine]

    def allocations_on(self, machine: str) -> list[tuple[Job, Allocation]]:
        """Return the allocations on a machine, each with its job."""
        return [pair for pairs in self._by_machine.get(machine, {}).values() for pair in pairs]

    def machines_with_allocations(self) -> set[str]:
        """Return the names of the machines with allocations."""
        return set(self._by_machine)
