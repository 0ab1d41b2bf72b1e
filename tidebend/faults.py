"""Fault points: places in the code at which a test can have the process killed, as if by a power loss.

`TIDEBEND_FAULT=name:3` kills the process with SIGKILL when it reaches the point `name` for the third time. Without the
variable a fault point does nothing. Tests use it to crash a process deterministically at each step.
"""

from __future__ import annotations

import os
import signal
import threading

_name, _, _count = os.environ.get("TIDEBEND_FAULT", "").partition(":")
_passes_left = int(_count or "1") if _name else 0
_lock = threading.Lock()


def fault_point(name: str) -> None:
    """Kill this process if TIDEBEND_FAULT names this point and its count of passes is reached."""
    global _passes_left
    if name != _name:
        return
    with _lock:
        _passes_left -= 1
        if _passes_left == 0:
            os.kill(os.getpid(), signal.SIGKILL)
