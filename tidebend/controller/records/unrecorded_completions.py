"""Completions of a job's tasks that heartbeats have confirmed but that aren't recorded yet."""

from __future__ import annotations

from dataclasses import dataclass, field

from tidebend.coordination import ShardGrant
from tidebend.protocol import JobSpec
from tidebend.quota import QuotaAmountLike

AllocationKey = tuple[str, int, int]  # machine, worker session, attempt


@dataclass
class UnrecordedCompletions:
    """The completions to write to one job's record, and the shard grants under which they may be written."""

    ended: dict[AllocationKey, int] = field(default_factory=dict)  # allocation -> bitmap of its ended tasks
    done: int = 0  # bitmap of tasks that succeeded
    grants: set[ShardGrant] = field(default_factory=set)

    def amounts(self, spec: JobSpec) -> QuotaAmountLike:
        """Return the CPUs and GPUs of the team's limit that recording these completions will free."""
        tasks = sum(bitmap.bit_count() for bitmap in self.ended.values())
        return tasks * spec.cpus, tasks * spec.gpus
