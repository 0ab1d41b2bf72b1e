"""Daemon threads."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any


def start_daemon(name: str, target: Callable[..., None], *args: Any) -> threading.Thread:
    """Start a daemon thread; thread dumps show `name`."""
    thread = threading.Thread(target=target, args=args, name=name, daemon=True)
    thread.start()
    return thread
