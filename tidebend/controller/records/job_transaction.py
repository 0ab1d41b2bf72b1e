"""Conditional transactions on the records of one job, and the keys and writes that they consist of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import CHUNK_PREFIX
from tidebend.protocol import Write
from tidebend.quota import TeamUsage


@dataclass
class JobTransaction:
    """The writes that change one job, and the conditions under which they may be executed."""

    job: Job  # after the transaction
    conditions: dict[str, int]  # key -> required version
    writes: list[Write]
    usage: TeamUsage  # the team's, after the transaction
    size_bytes: int = 0  # of the written job records, packed


class RecordTooLargeError(Exception):
    """A change doesn't fit into a job's record, which must be split into chunks first if that is possible."""

    def __init__(self, job: Job) -> None:
        """`job` is the job before the change."""
        super().__init__(job.id)
        self.job = job


def put(key: str, value: Any) -> Write:
    """Return the write that stores a value without a lease."""
    return key, value, None


def delete(key: str) -> Write:
    """Return the write that deletes a key."""
    return key, None, None


def chunk_key(job_id: str, number: int) -> str:
    """Return the key of a chunk's record."""
    return f"{CHUNK_PREFIX}{job_id}/{number}"


def chunk_versions(job_cache: JobCache, job: Job) -> dict[int, int]:
    """Return the versions of a job's chunk records by number, including those that its head doesn't refer to.

    The version of an open chunk is the one that `job` was derived from, not a later one that the watch has received
    since: a write conditional on the later one would undo a change that `job` doesn't contain. For a chunk that isn't
    open, the condition on the head's version ensures that it still isn't.
    """
    versions = job_cache.chunk_versions(job.id)
    versions.update((number, chunk.version) for number, chunk in (job.chunks.records if job.chunks else ()))
    return versions
