"""The controller: its components, threads and HTTP routes."""

from tidebend.controller.controller import Controller, run

__all__ = ["Controller", "run"]
