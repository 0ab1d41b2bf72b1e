"""Monotonic time, in seconds of `time.monotonic()`."""

from __future__ import annotations

# Earlier than any event; finite, so that ages calculated from it can be encoded.
NEVER = -1e9
