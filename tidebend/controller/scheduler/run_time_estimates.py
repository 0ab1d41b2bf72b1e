"""Run times as owners estimate them, corrected by what finished tasks took."""

from __future__ import annotations

import threading

from tidebend.protocol import JobSpec


class RunTimeEstimates:
    """Owners' estimates corrected per class by what finished tasks took (a moving geometric mean)."""

    WEIGHT = 0.15

    def __init__(self) -> None:
        self._factor: dict[str, float] = {}
        self._lock = threading.Lock()

    def observe(self, job_class: str, estimate: float, took: float) -> None:
        if estimate <= 0 or took <= 0:
            return
        ratio = min(8.0, max(0.125, took / estimate))
        with self._lock:
            old = self._factor.get(job_class, 1.0)
            self._factor[job_class] = old * (ratio / old) ** self.WEIGHT

    def corrected(self, spec: JobSpec) -> float:
        with self._lock:
            return spec.estimate_s * self._factor.get(spec.job_class, 1.0)
