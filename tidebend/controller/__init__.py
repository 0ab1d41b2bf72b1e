"""Wiring: one controller's parts, threads and routes."""

from tidebend.controller.controller import Controller, run

__all__ = ["Controller", "run"]
