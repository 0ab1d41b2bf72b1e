"""The agent's monotonic clock."""

from __future__ import annotations

import time


def monotonic_time() -> float:
    """Return the monotonic time in seconds, including time in which the machine was suspended.

    So a lease expires during a suspension, too.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
