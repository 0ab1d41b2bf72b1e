"""The control service: key-value store, controller and local provider in one process, behind an authenticated API."""

from tidebend.control.main import run_control
from tidebend.control.settings import ControlSettings, load_control_settings

__all__ = ["ControlSettings", "load_control_settings", "run_control"]
