"""Structured logs to standard error: human-readable lines, or JSON with `LOG_FORMAT=json`.

Used by the control service, agents and clients; a controller on the platform (`run`) logs plain lines.
"""

from __future__ import annotations

import logging
import os
import sys

import structlog
from structlog.typing import Processor

LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    """Send all logs to standard error, with the level of LOG_LEVEL and in the format of LOG_FORMAT."""
    common: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    renderers: list[Processor]
    if os.environ.get("LOG_FORMAT") == "json":
        renderers = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        renderers = [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty(), pad_event_to=0)]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=common,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *renderers],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO))
