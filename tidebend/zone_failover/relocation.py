"""What will have to move out of lost zones."""

from __future__ import annotations

from dataclasses import replace

from tidebend.cluster_state.job_records import Job


def without(job: Job, lost: set[str]) -> Job | None:
    """The job as it will be once all that it has in lost zones is given up; None if it has nothing there."""
    left = tuple(allocation for allocation in job.allocations if allocation.zone not in lost)
    return None if len(left) == len(job.allocations) else replace(job, allocations=left)


def share_of_tasks(tasks: int, numbers: list[int], of: int) -> int:
    """How many of a job's tasks fall to the holders with these numbers, of so many: each to just one of them."""
    return sum(tasks // of + (number < tasks % of) for number in numbers)
