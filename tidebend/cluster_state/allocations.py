"""Tasks' places, and how records hold them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from tidebend.cluster_state.task_bitmap import from_text, to_text


@dataclass(frozen=True, slots=True)
class Claim:
    """Tasks of a job that hold a place on a machine: from before their start is sent until proof of their end."""

    machine: str
    session: int
    attempt: int
    tasks: int  # bitmap
    at: float  # time of day
    zone: str


def pack_claims(claims: Iterable[Claim]) -> list[list[Any]]:
    """Claims of one event are alike but for machine and tasks: a job on hundreds of machines must fit one value."""
    groups: dict[tuple[int, int, float, str], list[str]] = {}
    for claim in claims:
        rows = groups.setdefault((claim.session, claim.attempt, round(claim.at, 1), claim.zone), [])
        rows += (claim.machine, to_text(claim.tasks))
    return [[*common, rows] for common, rows in groups.items()]


def unpack_claims(groups: list[list[Any]]) -> tuple[Claim, ...]:
    return tuple(
        Claim(machine, session, attempt, from_text(tasks), at, zone)
        for session, attempt, at, zone, rows in groups
        for machine, tasks in zip(rows[::2], rows[1::2], strict=True)
    )
