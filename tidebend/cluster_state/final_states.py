"""The final state of a job that has ended, and its forms in records."""

from __future__ import annotations

from typing import Any, NamedTuple

DONE = "done"
CANCELLED = "cancelled"
# records of the first format version don't tell when the job ended
UNKNOWN_TIME = 0.0


class FinalState(NamedTuple):
    """How a job has ended. Its record never changes."""

    state: str  # `DONE` or `CANCELLED`
    at: float  # time of day in seconds, or `UNKNOWN_TIME`


def unpack_final(value: Any) -> FinalState:
    """Read a final record of either format version: a state, or a mapping with the state and its time."""
    if isinstance(value, str):
        return FinalState(value, UNKNOWN_TIME)
    return FinalState(value["state"], value["at"])


def pack_final(state: str, at: float, without_time: bool) -> Any:
    """Return the final record of a job; with `without_time` in the first format version, which drops the time."""
    return state if without_time else {"state": state, "at": round(at, 3)}
