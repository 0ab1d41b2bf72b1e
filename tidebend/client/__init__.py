"""The command-line client, which talks to a control service."""

from tidebend.client.commands import main

__all__ = ["main"]
