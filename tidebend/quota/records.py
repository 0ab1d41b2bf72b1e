"""What is recorded of teams, and how amounts of theirs are counted."""

from __future__ import annotations

from tidebend.kvclient import LIVE

# what the version before pipelines keeps of a team; once the team has shares, a value that leaves no room
TEAM = LIVE + "team/"
SPENT = [1e15, 1e15]
# a team's limit shared out among zones
QUOTA = LIVE + "quota/"

Amounts = tuple[float, float]  # CPUs, GPUs


def amount(value: float) -> float:
    return max(0.0, round(value, 6))
