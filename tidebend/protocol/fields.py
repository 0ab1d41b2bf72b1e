"""Validation of fields in messages from other processes.

Each function takes a decoded JSON object and the name of a field, and returns the field's value or raises
`InvalidMessageError`, whose text names the field.
"""

from __future__ import annotations

import math
from typing import Any

MAX_TEXT_LENGTH = 200
# No valid amount, duration or price is larger.
MAX_NUMBER = 1e12
# Integers below this are exact as floats; some JSON encoders write integers as floats.
MAX_EXACT_FLOAT = 2**53
# Counters on the wire are unsigned 64-bit integers.
MAX_COUNTER = 2**64 - 1
PORTS = range(1, 65536)


class InvalidMessageError(Exception):
    """A message from another process is invalid; the text names the field."""


def number_field(
    body: dict[str, Any], key: str, minimum: float = 0.0, default: float | None = None, exclusive: bool = False
) -> float:
    """Return a finite number, at least `minimum` or, if `exclusive`, above it; `default` for absent or null."""
    value = body.get(key)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidMessageError(f"{key} must be a number")
    try:
        value = float(value)
    except OverflowError:
        raise InvalidMessageError(f"{key} is too large") from None
    if not math.isfinite(value) or value < minimum or (exclusive and value <= minimum) or value > MAX_NUMBER:
        raise InvalidMessageError(f"{key} is out of range")
    return value


def integer_field(body: dict[str, Any], key: str, minimum: int, maximum: int) -> int:
    """Return an integer from `minimum` to `maximum`, inclusive; a float without a fractional part is accepted."""
    value = body.get(key)
    if isinstance(value, float) and value.is_integer() and abs(value) < MAX_EXACT_FLOAT:
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidMessageError(f"{key} must be an integer")
    if not minimum <= value <= maximum:
        raise InvalidMessageError(f"{key} is out of range")
    return value


def counter_field(body: dict[str, Any], key: str) -> int:
    """Return an unsigned 64-bit integer."""
    return integer_field(body, key, 0, MAX_COUNTER)


def text_field(body: dict[str, Any], key: str) -> str:
    """Return a non-empty string of at most `MAX_TEXT_LENGTH` characters."""
    value = body.get(key)
    if not isinstance(value, str) or not value or len(value) > MAX_TEXT_LENGTH:
        raise InvalidMessageError(f"{key} must be a non-empty string within the length limit")
    return value


def boolean_field(body: dict[str, Any], key: str) -> bool:
    """Return a boolean; no other type is accepted."""
    value = body.get(key)
    if not isinstance(value, bool):
        raise InvalidMessageError(f"{key} must be true or false")
    return value


def choice_field(body: dict[str, Any], key: str, choices: dict[str, str]) -> str:
    """Return the domain's value for a name on the wire; `choices` maps names to values."""
    value = body.get(key)
    if not isinstance(value, str) or value not in choices:
        raise InvalidMessageError(f"{key} must be one of {', '.join(choices)}")
    return choices[value]


def parse_address(text: Any) -> tuple[str, int] | None:
    """Return host and port of `HOST:PORT`; None for anything else."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) not in PORTS:
        return None
    return host, int(port)
