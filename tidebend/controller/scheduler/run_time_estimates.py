"""Run times as owners estimate them, corrected by what finished tasks took."""

from __future__ import annotations

import threading

from tidebend.protocol import JobSpec

# one task's ratio of run time to estimate counts for no more than this, and no less than its inverse
MOST_RATIO = 8.0


class RunTimeEstimates:
    """Owners' estimates corrected per class by what finished tasks took (a moving geometric mean); thread-safe."""

    WEIGHT = 0.15

    def __init__(self) -> None:
        """No class is corrected yet."""
        self._factor: dict[str, float] = {}
        self._lock = threading.Lock()

    def observe(self, job_class: str, estimate: float, took: float) -> None:
        """Take a finished task into account: its owner's estimate and its run time, in seconds."""
        if estimate <= 0 or took <= 0:
            return
        ratio = min(MOST_RATIO, max(1.0 / MOST_RATIO, took / estimate))
        with self._lock:
            old = self._factor.get(job_class, 1.0)
            self._factor[job_class] = old * (ratio / old) ** self.WEIGHT

    def corrected(self, spec: JobSpec) -> float:
        """The run time in seconds that is expected of a job's tasks."""
        with self._lock:
            return spec.estimate_s * self._factor.get(spec.job_class, 1.0)
