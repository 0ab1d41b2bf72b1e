"""Checked fields of messages from outside.

Each reader takes a decoded JSON object and the name of a field, and returns the field's value or raises
`InvalidMessageError`, whose text names the field.
"""

from __future__ import annotations

import math
from typing import Any

MOST_TEXT_LENGTH = 200
# Numbers beyond this are refused: they are no amounts, seconds or prices of ours.
GREATEST_NUMBER = 1e12
# Whole numbers up to this are exact as floats, as which some JSON writers send them.
GREATEST_EXACT_FLOAT = 2**53
# Counters on the wire are unsigned and have 64 bits.
GREATEST_COUNTER = 2**64 - 1
PORTS = range(1, 65536)


class InvalidMessageError(Exception):
    """A message from outside is malformed; the text names the field."""


def number_field(
    body: dict[str, Any], key: str, least: float = 0.0, default: float | None = None, above: bool = False
) -> float:
    """A finite number of at least `least`, or, with `above`, more than that; `default` where it is absent or null."""
    value = body.get(key)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidMessageError(f"{key} must be a number")
    try:
        value = float(value)
    except OverflowError:
        raise InvalidMessageError(f"{key} is too large") from None
    if not math.isfinite(value) or value < least or (above and value <= least) or value > GREATEST_NUMBER:
        raise InvalidMessageError(f"{key} is out of bounds")
    return value


def integer_field(body: dict[str, Any], key: str, least: int, most: int) -> int:
    """An integer between two bounds, both included; a float without a fraction will do."""
    value = body.get(key)
    if isinstance(value, float) and value.is_integer() and abs(value) < GREATEST_EXACT_FLOAT:
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidMessageError(f"{key} must be an integer")
    if not least <= value <= most:
        raise InvalidMessageError(f"{key} is out of bounds")
    return value


def counter_field(body: dict[str, Any], key: str) -> int:
    """An unsigned integer of 64 bits."""
    return integer_field(body, key, 0, GREATEST_COUNTER)


def text_field(body: dict[str, Any], key: str) -> str:
    """A text that isn't empty, of at most `MOST_TEXT_LENGTH` characters."""
    value = body.get(key)
    if not isinstance(value, str) or not value or len(value) > MOST_TEXT_LENGTH:
        raise InvalidMessageError(f"{key} must be a text")
    return value


def boolean_field(body: dict[str, Any], key: str) -> bool:
    """True or false; nothing else stands for them."""
    value = body.get(key)
    if not isinstance(value, bool):
        raise InvalidMessageError(f"{key} must be true or false")
    return value


def choice_field(body: dict[str, Any], key: str, choices: dict[str, str]) -> str:
    """The domain's word for one of the wire's words: `choices` maps the one to the other."""
    value = body.get(key)
    if not isinstance(value, str) or value not in choices:
        raise InvalidMessageError(f"{key} must be one of {', '.join(choices)}")
    return choices[value]


def parse_address(text: Any) -> tuple[str, int] | None:
    """Host and port of `HOST:PORT`; None if it is anything else."""
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) not in PORTS:
        return None
    return host, int(port)
