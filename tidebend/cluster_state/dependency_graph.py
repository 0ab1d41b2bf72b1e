"""Which live jobs depend on which jobs, and how jobs have ended."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from tidebend.cluster_state.final_states import FinalState


class DependencyGraph:
    """Edges between jobs, and the final states of jobs that have ended lately or that live jobs depend on.

    The newest `keep_finals` final states are kept; one that a live job depends on is kept beyond that, for as long as
    the job lives. Changed and read under the lock of its owner.
    """

    def __init__(self, keep_finals: int) -> None:
        """Begin without jobs."""
        self._keep_finals = keep_finals
        self._recent_finals: OrderedDict[str, FinalState] = OrderedDict()  # the oldest first
        self._dependents: dict[str, set[str]] = {}  # job -> live jobs that depend on it
        self._needed_finals: dict[str, FinalState] = {}  # of jobs that live jobs depend on

    def replace_dependencies(self, name: str, old: Iterable[str], new: Iterable[str]) -> None:
        """Replace the dependencies of a live job."""
        for dependency in old:
            dependents = self._dependents[dependency]
            dependents.discard(name)
            if not dependents:
                del self._dependents[dependency]
                self._needed_finals.pop(dependency, None)
        for dependency in new:
            self._dependents.setdefault(dependency, set()).add(name)
            if dependency in self._recent_finals:
                self._needed_finals[dependency] = self._recent_finals[dependency]

    def remember_final(self, name: str, final: FinalState) -> list[str]:
        """Remember how a job has ended; returns the live jobs for which that is new."""
        self._recent_finals[name] = final
        self._recent_finals.move_to_end(name)
        while len(self._recent_finals) > self._keep_finals:
            self._recent_finals.popitem(last=False)
        if name not in self._dependents or name in self._needed_finals:
            return []
        self._needed_finals[name] = final
        return list(self._dependents[name])

    def final_state(self, name: str) -> FinalState | None:
        """Return how a job has ended, if it has and that is known."""
        return self._needed_finals.get(name) or self._recent_finals.get(name)

    def has_needed_final(self, name: str) -> bool:
        """Whether live jobs depend on a job, and it is known how it has ended."""
        return name in self._needed_finals

    def dependents(self, name: str) -> Iterable[str]:
        """Return the live jobs that depend on a job."""
        return self._dependents.get(name, ())

    def dependents_by_job(self) -> dict[str, list[str]]:
        """Return the live jobs that depend on each job, for jobs that have some."""
        return {name: list(dependents) for name, dependents in self._dependents.items()}

    def dependencies_without_final(self) -> list[str]:
        """Return the jobs that live ones depend on and of which it isn't known that they have ended."""
        return [name for name in self._dependents if name not in self._needed_finals]
