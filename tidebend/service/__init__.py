"""Wiring: one controller's parts, threads and routes."""

from tidebend.service.controller import Controller, run

__all__ = ["Controller", "run"]
