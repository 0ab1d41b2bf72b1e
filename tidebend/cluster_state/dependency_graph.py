"""Dependencies of live jobs, and final states of jobs that have ended."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from tidebend.cluster_state.final_states import FinalState


class DependencyGraph:
    """The dependencies of live jobs, and the final states of recently ended jobs and of dependencies of live jobs.

    The newest `max_recent_finals` final states are kept. The final state of a job that live jobs depend on is kept as
    long as they do. Guarded by the lock of the owning `JobCache`.
    """

    def __init__(self, max_recent_finals: int) -> None:
        """Create a graph without jobs."""
        self._max_recent_finals = max_recent_finals
        self._recent_finals: OrderedDict[str, FinalState] = OrderedDict()  # oldest first
        self._dependents: dict[str, set[str]] = {}  # job -> live jobs that depend on it
        self._needed_finals: dict[str, FinalState] = {}  # job that live jobs depend on -> its final state

    def replace_dependencies(self, job_id: str, old: Iterable[str], new: Iterable[str]) -> None:
        """Replace the dependencies of a live job."""
        for dependency in old:
            dependents = self._dependents[dependency]
            dependents.discard(job_id)
            if not dependents:
                del self._dependents[dependency]
                self._needed_finals.pop(dependency, None)
        for dependency in new:
            self._dependents.setdefault(dependency, set()).add(job_id)
            if dependency in self._recent_finals:
                self._needed_finals[dependency] = self._recent_finals[dependency]

    def remember_final(self, job_id: str, final: FinalState) -> list[str]:
        """Store the final state of a job; return its live dependents unless they had the final state already."""
        self._recent_finals[job_id] = final
        self._recent_finals.move_to_end(job_id)
        while len(self._recent_finals) > self._max_recent_finals:
            self._recent_finals.popitem(last=False)
        if job_id not in self._dependents or job_id in self._needed_finals:
            return []
        self._needed_finals[job_id] = final
        return list(self._dependents[job_id])

    def final_state(self, job_id: str) -> FinalState | None:
        """Return the final state of a job, or None if the job hasn't ended or its final state isn't known."""
        return self._needed_finals.get(job_id) or self._recent_finals.get(job_id)

    def has_needed_final(self, job_id: str) -> bool:
        """Whether live jobs depend on a job and its final state is known."""
        return job_id in self._needed_finals

    def dependents(self, job_id: str) -> Iterable[str]:
        """Return the live jobs that depend on a job."""
        return self._dependents.get(job_id, ())

    def dependents_by_job(self) -> dict[str, list[str]]:
        """Return the live dependents of each job that has some."""
        return {job_id: list(dependents) for job_id, dependents in self._dependents.items()}

    def dependencies_without_final(self) -> list[str]:
        """Return the jobs that live jobs depend on and whose final state isn't known."""
        return [job_id for job_id in self._dependents if job_id not in self._needed_finals]
