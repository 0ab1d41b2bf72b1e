"""Reads of final records, which tell how jobs ended that no longer have a live record."""

from __future__ import annotations

from tidebend.cluster_state.job_cache import JobCache
from tidebend.kvclient import FINAL, KeyValueClient, NotExecutedError

# one call reads at most this many final records, so that a user's poll is answered in time
MAX_LOOKUPS = 4


class FinalRecordLookup:
    """Completes the job cache with final records that it doesn't hold."""

    def __init__(self, state: KeyValueClient, job_cache: JobCache) -> None:
        """Read from `state` into `job_cache`."""
        self._state = state
        self._job_cache = job_cache

    def look_up(self, job_ids: list[str], kind: str) -> None:
        """Learn how jobs ended that others depend on; `kind` is the requests' priority at the state service.

        A job is cancelled together with a job that it depends on, whose end may be long ago, so that only its final
        record tells: without the lookup a restarted controller would give an older answer than was given before.
        Raises `NotExecutedError` if there are more than `MAX_LOOKUPS`, after reading the first of them, and errors of
        `KeyValueClient.get`.
        """
        for job_id in job_ids[:MAX_LOOKUPS]:
            value, _ = self._state.get(FINAL + job_id, kind)
            if value is not None:
                self._job_cache.remember_final(job_id, value)
        if len(job_ids) > MAX_LOOKUPS:
            raise NotExecutedError("there is more to look up")
