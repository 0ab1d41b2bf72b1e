"""Which tasks have to move out of lost zones, and which shards reserve capacity for them."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from tidebend.cluster_state.job_records import Job


def without_lost_zones(job: Job, lost: Collection[str]) -> Job | None:
    """Return the job without its allocations in lost zones; None if it has none there."""
    left = tuple(allocation for allocation in job.allocations if allocation.zone not in lost)
    if len(left) == len(job.allocations):
        return None
    return replace(job, allocations=left)


def share_of_tasks(tasks: int, shard_positions: Iterable[int], shard_count: int) -> int:
    """Return for how many of a job's tasks the shards at `shard_positions` in the order of all shards reserve capacity.

    Each task is assigned to exactly one shard, and the numbers of two shards differ by at most one task.
    """
    return sum(tasks // shard_count + (position < tasks % shard_count) for position in shard_positions)
