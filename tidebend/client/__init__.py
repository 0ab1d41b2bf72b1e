"""What people and scripts use: commands that talk to a control service."""

from tidebend.client.commands import main

__all__ = ["main"]
