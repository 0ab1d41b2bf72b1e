"""When the machines of an isolated zone are given up: pure functions of what is allocated to them.

A zone is isolated when the controllers outside can't reach it. Its own controller may work on for a while, and nothing
in it is lost until then; it may also become reachable again before.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IsolationWindow:
    """How long an isolated zone works on; monotonic times in seconds."""

    begin: float  # from here on replicas are moved out
    until: float  # the latest time at which the zone's controller answers its workers
    end: float  # the end of a worker's lease that began then: all tasks in the zone have ended


@dataclass(frozen=True, slots=True)
class MachineContents:
    """What is allocated to a machine of an isolated zone."""

    machine: str
    replicas: int = 0  # of services
    batch_ends: tuple[float, ...] = ()  # monotonic times at which its other tasks are expected to end
    # how much longer than `IsolationWindow.until` the machine is waited for: that of a gang has the gang's image
    extra_wait_s: float = 0.0


# more replicas first, then fewer other tasks, then by name
EvacuationOrder = tuple[int, int, str]


def evacuation_order(contents: MachineContents) -> EvacuationOrder:
    """Return the sort key by which machines are given up.

    Those go first that hold most replicas, which are missed at once, and with the least other work beside them.
    """
    return -contents.replicas, len(contents.batch_ends), contents.machine


def machines_to_evacuate(
    machines: list[MachineContents], window: IsolationWindow, now: float, interval_s: float
) -> list[str]:
    """Return the names of the machines that are given up now; to be called again every `interval_s`.

    Replicas would be missed all at once at the end of the window, so they are moved out in even steps from its begin.
    Batch tasks go on within the zone, and a result is kept. So a machine is waited for if one of its tasks is expected
    to end in time; the others are given up, and their tasks started again elsewhere, as soon as the zone's controller
    may have stopped answering. A gang's machine is waited for longer, in proportion to the time that another one would
    take to boot and to fetch the image, since it still has the image if the zone becomes reachable again.
    """
    ordered = sorted(machines, key=evacuation_order)
    serving = [contents for contents in ordered if contents.replicas]
    due = _serving_machines_due(serving, window, now, interval_s)
    due += [contents for contents in ordered if not contents.replicas and _batch_machine_is_due(contents, window, now)]
    return [contents.machine for contents in due]


def _serving_machines_due(
    serving: list[MachineContents], window: IsolationWindow, now: float, interval_s: float
) -> list[MachineContents]:
    """Return the machines with replicas whose turn it is, of those left, in evacuation order."""
    if not serving or now < window.begin:
        return []
    steps_left = max(1.0, (window.end - now) / interval_s)
    return serving[: math.ceil(len(serving) / steps_left)]


def _batch_machine_is_due(contents: MachineContents, window: IsolationWindow, now: float) -> bool:
    """Whether a machine without replicas is given up."""
    if contents.extra_wait_s > 0.0:
        return now > window.until + contents.extra_wait_s
    ends_in_time = any(now < end <= window.end for end in contents.batch_ends)
    return now > window.until and not ends_in_time
