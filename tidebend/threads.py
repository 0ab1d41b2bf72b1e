"""Background threads of a process."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any


def start_daemon(name: str, target: Callable[..., None], *args: Any) -> threading.Thread:
    """Start a thread that doesn't keep the process alive; `name` is what thread dumps show."""
    thread = threading.Thread(target=target, args=args, name=name, daemon=True)
    thread.start()
    return thread
