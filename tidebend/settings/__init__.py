"""The checked settings: the platform's TOML file and the operators' optional HCL file.

`model` has the typed settings, `platform_file` and `knobs_file` read the two files.
"""

from tidebend.settings.knobs_file import load_knobs
from tidebend.settings.model import (
    LEASE_MARGIN,
    Knobs,
    Peer,
    Settings,
    SettingsError,
    StoreLimits,
    Team,
)
from tidebend.settings.platform_file import load_settings, read_settings

__all__ = [
    "LEASE_MARGIN",
    "Knobs",
    "Peer",
    "Settings",
    "SettingsError",
    "StoreLimits",
    "Team",
    "load_knobs",
    "load_settings",
    "read_settings",
]
