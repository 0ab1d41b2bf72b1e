"""Reading the operators' optional HCL file, which may override any field of `Knobs`."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from tidebend.settings.model import Knobs, SettingsError

# Upper bound of any knob, far above every useful value.
MAX_RATIO = 1e6
# Bounds of a controller's lease, as a share of the workers' lease: a shorter one would expire while a slow response is
# awaited, a longer one would outlast the workers' leases.
MIN_CONTROLLER_LEASE = 0.05
MAX_CONTROLLER_LEASE = 0.8


def load_knobs(path: str) -> Knobs:
    """Return the knobs set in the file, with defaults for the others; unknown fields are ignored.

    Raises SettingsError, which names the file and the field.
    """
    table = _load_hcl(path)
    values = {knob.name: _ratio(path, knob.name, table[knob.name]) for knob in fields(Knobs) if knob.name in table}
    knobs = Knobs(**values)
    if not MIN_CONTROLLER_LEASE <= knobs.controller_lease <= MAX_CONTROLLER_LEASE:
        raise SettingsError(
            f"{path}: controller_lease must be a ratio between {MIN_CONTROLLER_LEASE} and {MAX_CONTROLLER_LEASE}"
        )
    return knobs


def _load_hcl(path: str) -> dict[str, Any]:
    import hcl2  # imported only if there is such a file, since the import is slow

    try:
        with open(path, encoding="utf-8") as source:
            return hcl2.load(source)
    except Exception as error:
        raise SettingsError(f"{path}: not an HCL file: {error}") from error


def _ratio(path: str, name: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_RATIO:
        raise SettingsError(f"{path}: {name} must be a ratio of at least 0")
    return float(value)
