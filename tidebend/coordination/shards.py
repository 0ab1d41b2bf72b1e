"""Blocks of machines, and grants of them."""

from __future__ import annotations

from dataclasses import dataclass


def shard_of(zone: str) -> str:
    """The block a machine belongs to: a pure function of its zone (and, were zones larger, of its name)."""
    return f"{zone}.0"


def zone_of(shard: str) -> str:
    return shard.rpartition(".")[0]


@dataclass(frozen=True, slots=True)
class ShardGrant:
    """A block that is ours: the token is the revision of the granting transaction."""

    shard: str
    token: int
    since: float  # steady time from which we act on it
    held_since: float  # ... and from which we have held the block without a break, under earlier tokens too
