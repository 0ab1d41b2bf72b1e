"""Checked fields of messages from outside."""

from __future__ import annotations

import math
from typing import Any


class Invalid(Exception):
    """A message from outside is malformed; the text names the field."""


def number(
    body: dict[str, Any], key: str, least: float = 0.0, default: float | None = None, above: bool = False
) -> float:
    value = body.get(key)
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Invalid(f"{key} must be a number")
    try:
        value = float(value)
    except OverflowError:
        raise Invalid(f"{key} is too large") from None
    if not math.isfinite(value) or value < least or (above and value <= least) or value > 1e12:
        raise Invalid(f"{key} is out of bounds")
    return value


def count(body: dict[str, Any], key: str, least: int, most: int) -> int:
    value = body.get(key)
    if isinstance(value, float) and value.is_integer() and abs(value) < 2**53:
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise Invalid(f"{key} must be an integer")
    if not least <= value <= most:
        raise Invalid(f"{key} is out of bounds")
    return value


def text(body: dict[str, Any], key: str) -> str:
    value = body.get(key)
    if not isinstance(value, str) or not value or len(value) > 200:
        raise Invalid(f"{key} must be a text")
    return value


def flag(body: dict[str, Any], key: str) -> bool:
    value = body.get(key)
    if not isinstance(value, bool):
        raise Invalid(f"{key} must be true or false")
    return value


def choice(body: dict[str, Any], key: str, choices: dict[str, str]) -> str:
    value = body.get(key)
    if not isinstance(value, str) or value not in choices:
        raise Invalid(f"{key} must be one of {', '.join(choices)}")
    return choices[value]


def address(text: Any) -> tuple[str, int] | None:
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)
