"""When machines of a lost zone are given up: pure functions of what stands on them."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IsolationWindow:
    """How long a zone that is cut off works on inside; steady times.

    Its controller answers its workers until `until` at the latest, and they keep their tasks for the rest of a lease:
    what stands there has surely ended only after `end`.
    """

    begin: float  # from here on replicas are moved out
    until: float
    end: float


@dataclass(frozen=True, slots=True)
class MachineContents:
    """What a machine in a lost zone holds."""

    machine: str
    replicas: int = 0
    ends: tuple[float, ...] = ()  # steady times at which its batch tasks are expected to end
    worth_s: float = 0.0  # how much longer than `until` it is waited for: a gang's machine keeps the image


def order(standing: MachineContents) -> tuple:
    """Which machines go first: those that hold most of what is missed at once, with the least beside it."""
    return -standing.replicas, len(standing.ends), standing.machine


def leave(standings: list[MachineContents], hold: IsolationWindow, now: float, turn_s: float) -> list[str]:
    """The machines that are given up now; asked for again each `turn_s`.

    Nothing inside is lost until its controller may answer no more, and the cut may end before. Replicas would be missed
    all at once after that, so they are moved out one by one in the time that is left, to room that is ready by then.
    Batch tasks go on inside, and a result is kept: where one is expected to end in time its machine is waited for, and
    the others begin anew elsewhere as soon as the controller inside may have stopped answering. A gang's machine is
    waited for longer, by a share of what another would take to boot and fetch, since it still has the image if the
    cut ends.
    """
    serving = sorted((row for row in standings if row.replicas), key=order)
    due: list[MachineContents] = []
    if serving and now >= hold.begin:
        turns = max(1.0, (hold.end - now) / turn_s)
        due = serving[: math.ceil(len(serving) / turns)]
    for row in sorted((row for row in standings if not row.replicas), key=order):
        if row.worth_s > 0.0:
            if now > hold.until + row.worth_s:
                due.append(row)
        elif now > hold.until and not any(now < end <= hold.end for end in row.ends):
            due.append(row)
    return [row.machine for row in due]
