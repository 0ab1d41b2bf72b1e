"""Fault points: places at which a test can have a process killed, as if by a power cut.

`TIDEBEND_FAULT=name:3` kills the process when it passes the point `name` for the third time. Without the variable a
point does nothing. Tests provoke a crash at each step with this, not only where luck has it.
"""

from __future__ import annotations

import os
import signal
import threading

_name, _, _count = os.environ.get("TIDEBEND_FAULT", "").partition(":")
_left = int(_count or "1") if _name else 0
_lock = threading.Lock()


def fault_point(name: str) -> None:
    """Kill this process if TIDEBEND_FAULT names this point, the given time that it is passed; else do nothing."""
    global _left
    if name != _name:
        return
    with _lock:
        _left -= 1
        if _left == 0:
            os.kill(os.getpid(), signal.SIGKILL)
