"""A bounded set of the jobs that were added last."""

from __future__ import annotations

import threading
from collections import OrderedDict


class RecentJobs:
    """The jobs that were added last, up to a maximum number; thread-safe."""

    def __init__(self, max_jobs: int) -> None:
        """Keep up to `max_jobs` jobs; the one that was added first is dropped beyond that."""
        self._max_jobs = max_jobs
        self._jobs: OrderedDict[str, None] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, job_id: str) -> bool:
        """Add a job; return whether it wasn't in the set."""
        with self._lock:
            if job_id in self._jobs:
                return False
            self._jobs[job_id] = None
            if len(self._jobs) > self._max_jobs:
                self._jobs.popitem(last=False)
            return True
