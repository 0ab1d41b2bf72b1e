"""The control service: durable state, a controller and the local provider in one process, behind one keyed door."""

from tidebend.control.main import run_control
from tidebend.control.settings import ControlSettings, load_control_settings

__all__ = ["ControlSettings", "load_control_settings", "run_control"]
