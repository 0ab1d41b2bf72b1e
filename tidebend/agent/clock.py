"""The agent's clock."""

from __future__ import annotations

import time


def steady_time() -> float:
    """Return seconds that also pass while the machine sleeps, so that no lease outlives a sleep."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
