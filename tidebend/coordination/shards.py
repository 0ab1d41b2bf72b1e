"""Blocks of machines, and grants of them."""

from __future__ import annotations

from dataclasses import dataclass


def block_of(zone: str) -> str:
    """The block a machine belongs to: a pure function of its zone (and, were zones larger, of its name)."""
    return f"{zone}.0"


def zone_of(block: str) -> str:
    return block.rpartition(".")[0]


@dataclass(frozen=True, slots=True)
class Grant:
    """A block that is ours: the token is the revision of the granting transaction."""

    block: str
    token: int
    since: float  # steady time from which we act on it
    held: float  # ... and from which we have held the block without a break, under earlier tokens too
