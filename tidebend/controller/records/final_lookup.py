"""Reads of final records, which contain the final states of jobs that no longer have a live record."""

from __future__ import annotations

from tidebend.cluster_state.job_cache import JobCache
from tidebend.kvclient import FINAL, KeyValueClient, NotExecutedError

# maximum number of final records that one call reads, so that a user's poll is answered in time
MAX_LOOKUPS = 4


class FinalRecordLookup:
    """Loads final records that are missing from the job cache."""

    def __init__(self, client: KeyValueClient, job_cache: JobCache) -> None:
        """Read from `client` into `job_cache`."""
        self._client = client
        self._job_cache = job_cache

    def look_up(self, job_ids: list[str], kind: str) -> None:
        """Load the final states of jobs that others depend on; `kind` is the kind of request to the key-value store.

        A job is cancelled together with a job that it depends on. That job may have ended long ago, so that only its
        final record is left: without the lookup a restarted controller could contradict a cancellation that was
        confirmed before. Raises `NotExecutedError` if there are more than `MAX_LOOKUPS` jobs, after reading the first
        of them, and the errors of `KeyValueClient.get`.
        """
        for job_id in job_ids[:MAX_LOOKUPS]:
            value, _ = self._client.get(FINAL + job_id, kind)
            if value is not None:
                self._job_cache.remember_final(job_id, value)
        if len(job_ids) > MAX_LOOKUPS:
            raise NotExecutedError("more final records remain to be read")
