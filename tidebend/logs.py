"""Structured logs to standard error: lines for people, or JSON with `LOG_FORMAT=json`.

For the control service, agents and clients; a controller on the platform (`run`) keeps to plain lines.
"""

from __future__ import annotations

import logging
import os
import sys

import structlog
from structlog.typing import Processor

LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    """Have everything logged to standard error, as much and in the form that LOG_LEVEL and LOG_FORMAT say."""
    shared: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    shown: list[Processor]
    if os.environ.get("LOG_FORMAT") == "json":
        shown = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        shown = [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), pad_event_to=0)]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared, processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *shown]
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO))
