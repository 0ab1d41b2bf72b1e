"""The leader's term, as scaling out needs it."""

from __future__ import annotations

from typing import NamedTuple


class Leadership(NamedTuple):
    """A term in which this controller leads without a break."""

    term: int  # one election of one process
    since: float  # steady time at which the autoscaler first saw it
