"""Run-time estimates of job owners, corrected by the run times of finished tasks."""

from __future__ import annotations

import threading

from tidebend.protocol import JobSpec

# upper bound on the ratio of run time to estimate of a single task; its inverse is the lower bound
MAX_RATIO = 8.0


class RunTimeEstimates:
    """Corrects owners' estimates by a factor per job class.

    The factor is a moving geometric mean of the ratios of finished tasks' run times to their estimates. Thread-safe.
    """

    OBSERVATION_WEIGHT = 0.15  # weight of one finished task in the moving mean

    def __init__(self) -> None:
        """Start without corrections."""
        self._factors: dict[str, float] = {}
        self._lock = threading.Lock()

    def observe(self, job_class: str, estimate: float, run_time: float) -> None:
        """Account for a finished task, given its owner's estimate and its run time in seconds."""
        if estimate <= 0 or run_time <= 0:
            return
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, run_time / estimate))
        with self._lock:
            old = self._factors.get(job_class, 1.0)
            self._factors[job_class] = old * (ratio / old) ** self.OBSERVATION_WEIGHT

    def corrected(self, spec: JobSpec) -> float:
        """Return the expected run time of a job's tasks in seconds."""
        with self._lock:
            return spec.estimate_s * self._factors.get(spec.job_class, 1.0)
