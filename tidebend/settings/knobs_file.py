"""The operators' optional HCL file: it may set each of `Knobs`."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from tidebend.settings.model import Knobs, SettingsError

# No ratio of use comes near to it.
GREATEST_RATIO = 1e6
# A controller's lease: shorter, it would be lost to a slow answer; longer, it would outlast the workers' leases.
LEAST_CONTROLLER_LEASE = 0.05
GREATEST_CONTROLLER_LEASE = 0.8


def load_knobs(path: str) -> Knobs:
    """The knobs in the file, with defaults for those that it leaves out; other fields are ignored.

    Raises SettingsError, which names the file and the field.
    """
    table = _load_hcl(path)
    values = {knob.name: _ratio(path, knob.name, table[knob.name]) for knob in fields(Knobs) if knob.name in table}
    knobs = Knobs(**values)
    if not LEAST_CONTROLLER_LEASE <= knobs.controller_lease <= GREATEST_CONTROLLER_LEASE:
        raise SettingsError(
            f"{path}: controller_lease must be between {LEAST_CONTROLLER_LEASE} and {GREATEST_CONTROLLER_LEASE}"
        )
    return knobs


def _load_hcl(path: str) -> dict[str, Any]:
    import hcl2  # only where such a file is used: the parser is slow to import

    try:
        with open(path, encoding="utf-8") as source:
            return hcl2.load(source)
    except Exception as error:
        raise SettingsError(f"{path}: not an HCL file: {error}") from error


def _ratio(path: str, name: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < GREATEST_RATIO:
        raise SettingsError(f"{path}: {name} must be a ratio of at least 0")
    return float(value)
