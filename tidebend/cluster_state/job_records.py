"""The stored form of jobs.

A job without dependencies whose record isn't split is stored under `JOB_PREFIX`, exactly as controllers of schema
version 1 read and write it. Any other job is stored under `HEAD_PREFIX`, which those controllers don't read.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from tidebend.cluster_state.allocations import pack_allocations, unpack_allocations
from tidebend.cluster_state.chunked_jobs import ChunkedJob
from tidebend.cluster_state.record_chunks import ChunkIndex
from tidebend.cluster_state.task_bitmap import format_ranges, parse_ranges
from tidebend.kvclient import LIVE
from tidebend.protocol import JobSpec

# key prefix of jobs in schema version 1
JOB_PREFIX = LIVE + "job/"
# key prefix of jobs that have or had dependencies, and of jobs whose record is split
HEAD_PREFIX = LIVE + "head/"


@dataclass(frozen=True, slots=True)
class Job(ChunkedJob):
    """A job with its stored form.

    Controllers of schema version 1 record a job as done once its bitmap of done tasks equals that of all its tasks,
    even if it was cancelled before. To prevent that, a cancelled job under `JOB_PREFIX` is sealed: it is stored with
    one more done task than it has tasks, so that the bitmaps never become equal. Those controllers preserve the
    additional bit; `unpack` removes it.
    """

    @property
    def key(self) -> str:
        """The key of the job's record."""
        return (
            HEAD_PREFIX if self.dependencies or self.dependencies_done_at is not None or self.chunks else JOB_PREFIX
        ) + self.id

    @property
    def needs_sealing(self) -> bool:
        """Whether the job is cancelled and controllers of schema version 1 may still record it as done."""
        return self.cancelled and not self.cancellation_sealed and self.key.startswith(JOB_PREFIX)

    @property
    def _sealing_bit(self) -> int:
        """The bit after that of the job's last task."""
        return 1 << self.spec.tasks

    def pack(self) -> dict[str, Any]:
        """Return the record under `key`; for a split job the head, without its chunks."""
        value: dict[str, Any] = {"spec": self.spec.pack(), "at": round(self.submitted, 3)}
        if self.cancelled:
            value["cancelled"] = 1
        if self.dependencies:
            value["awaits"] = list(self.dependencies)  # their final records alone tell whether they are done
        elif self.dependencies_done_at is not None:
            value["ready"] = round(self.dependencies_done_at, 3)
        if self.chunks:
            value["parts"] = self.chunks.pack()
        else:
            self._pack_progress(value)
        return value

    def _pack_progress(self, value: dict[str, Any]) -> None:
        if self.last_attempt:
            value["started"] = self.last_attempt
        if self.ended_count:
            value["ended"] = self.ended_count
        sealing_bit = self._sealing_bit if self.cancelled and self.key.startswith(JOB_PREFIX) else 0
        if self.done or sealing_bit:
            value["done"] = format_ranges(self.done | sealing_bit)
        if self.allocations:
            value["claims"] = pack_allocations(self.allocations)

    @staticmethod
    def unpack(job_id: str, value: dict[str, Any], version: int) -> Job:
        """Parse a record under either prefix; fields of later schema versions are ignored.

        A job with dependencies is blocked until `JobCache` has applied their final records.
        """
        job = Job(
            id=job_id,
            version=version,
            spec=JobSpec.unpack(value["spec"]),
            submitted=value["at"],
            cancelled=bool(value.get("cancelled")),
            last_attempt=value.get("started", 0),
            ended_count=value.get("ended", 0),
            done=parse_ranges(value.get("done", "")),
            allocations=unpack_allocations(value.get("claims", ())),
            dependencies=tuple(value.get("awaits", ())),
            dependencies_done_at=value.get("ready"),
            blocked=bool(value.get("awaits")),
            chunks=ChunkIndex.unpack(value["parts"]) if "parts" in value else None,
        )
        if job.done & job._sealing_bit:
            return replace(job, done=job.done & ~job._sealing_bit, cancellation_sealed=True)
        return job
