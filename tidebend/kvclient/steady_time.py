"""Steady times: seconds of `time.monotonic()`."""

from __future__ import annotations

# before anything that has happened; finite, so that ages counted from it can be sent
NEVER = -1e9
