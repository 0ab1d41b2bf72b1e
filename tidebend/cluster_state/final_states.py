"""The final state of a job that has ended, and its stored forms."""

from __future__ import annotations

from typing import Any, NamedTuple

from tidebend.cluster_state.job_state import JobState

DONE = "done"
CANCELLED = "cancelled"
# the time in records of schema version 1, which don't contain when the job ended
UNKNOWN_TIME = 0.0


class FinalState(NamedTuple):
    """How and when a job has ended. The record of a final state never changes."""

    state: str  # `DONE` or `CANCELLED`
    at: float  # wall clock in seconds, or `UNKNOWN_TIME`


def final_state_of(job: JobState, also_done: int = 0) -> str | None:
    """Return the final state of a job by its records, `DONE` or `CANCELLED`; None if it is still open.

    A cancelled job stays cancelled even if all its tasks are done: users were told so once that was recorded.
    `also_done`: bitmap of tasks whose completion isn't recorded yet.
    """
    if job.cancelled:
        return CANCELLED
    return DONE if job.done | also_done == job.all_tasks else None


def unpack_final(value: Any) -> FinalState:
    """Parse a final record of either schema version: a state, or a mapping with the state and its time."""
    if isinstance(value, str):
        return FinalState(value, UNKNOWN_TIME)
    return FinalState(value["state"], value["at"])


def pack_final(state: str, at: float, without_time: bool) -> Any:
    """Return the final record of a job; with `without_time` in the form of schema version 1."""
    return state if without_time else {"state": state, "at": round(at, 3)}
