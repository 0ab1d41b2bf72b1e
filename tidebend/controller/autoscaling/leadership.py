"""The leader's term as used for scaling out."""

from __future__ import annotations

from typing import NamedTuple


class Leadership(NamedTuple):
    """An uninterrupted term of this controller as leader."""

    term: int  # unique to one election of one process
    since: float  # monotonic time at which the autoscaler first saw the term
