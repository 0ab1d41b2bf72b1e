"""Completions of one job's tasks that are confirmed by heartbeats but not yet written to the job's record."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.coordination import ShardGrant
from tidebend.protocol import JobSpec
from tidebend.quota import QuotaAmountLike

AllocationKey = tuple[str, int, int]  # machine, worker session, attempt


@dataclass
class UnrecordedCompletions:
    """What one job's next record has to contain, and the shard grants under which it may be written."""

    ended: dict[AllocationKey, int] = field(default_factory=dict)  # bitmap of tasks whose allocation has ended
    done: int = 0  # bitmap of tasks that succeeded
    grants: set[ShardGrant] = field(default_factory=set)

    def amounts(self, spec: JobSpec) -> QuotaAmountLike:
        """Return the CPUs and GPUs of the team's limit that become available once these completions are recorded."""
        tasks = sum(bitmap.bit_count() for bitmap in self.ended.values())
        return tasks * spec.cpus, tasks * spec.gpus
