"""The contents of one conditional transaction on a job's records."""

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
    """The records that change one job, and the conditions under which they may be written."""

    job: Job  # as it is once the transaction has been executed
    conditions: dict[str, int]  # key -> the version that it must have
    writes: list[Write]
    usage: TeamUsage  # the team's, as it is once the transaction has been executed
    size_bytes: int = 0  # of the job's records, packed


class RecordTooLargeError(Exception):
    """A job's record can't hold a change; it has to be split into chunks first, if that is possible."""

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
    """Return the versions of a job's chunk records, and of abandoned ones that its head doesn't refer to.

    The version of an open chunk is the one from which this very job was read, not a later one that the watch has
    brought since: a write conditional on the later one would undo a change that the job doesn't contain. (That a chunk
    still isn't open is ensured by the condition on the head's version.)
    """
    versions = job_cache.chunk_versions(job.id)
    versions.update((number, chunk.version) for number, chunk in (job.chunks.rows if job.chunks else ()))
    return versions
