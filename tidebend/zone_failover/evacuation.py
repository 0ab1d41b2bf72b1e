"""When the machines of an isolated zone are released: pure functions of the tasks allocated to them.

A zone is isolated when the controllers outside can't reach it. Its own controller may go on working for a while, during
which no task is lost, and the zone may become reachable again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IsolationWindow:
    """How long an isolated zone goes on working, in monotonic times in seconds."""

    begin: float  # replicas are moved out from this time on
    until: float  # the latest time at which the zone's controller answers its workers
    end: float  # the last worker's lease has ended, and with it all tasks in the zone


@dataclass(frozen=True, slots=True)
class MachineContents:
    """The tasks allocated to a machine of an isolated zone."""

    machine: str
    replicas: int = 0  # of services
    batch_ends: tuple[float, ...] = ()  # monotonic times at which its other tasks are expected to end
    # seconds for which the machine is kept after `IsolationWindow.until`; a gang's machine has the gang's image
    extra_wait_s: float = 0.0


# sorts machines with more replicas first, then with fewer other tasks, then by name
EvacuationOrder = tuple[int, int, str]


def evacuation_order(contents: MachineContents) -> EvacuationOrder:
    """Return the sort key for the order in which machines are released.

    Machines with most replicas come first, since a service misses replicas at once; among these, machines with the
    fewest other tasks.
    """
    return -contents.replicas, len(contents.batch_ends), contents.machine


def machines_to_evacuate(
    machines: list[MachineContents], window: IsolationWindow, now: float, interval_s: float
) -> list[str]:
    """Return the names of the machines to release now; to be called again every `interval_s`.

    Without evacuation, all replicas would be lost at the end of the window, so they are moved out in even steps from
    its begin. Batch tasks go on within the zone, and their results are kept. A machine is therefore kept while one of
    its tasks is expected to end in time; the others are released as soon as the zone's controller may have stopped
    answering, and their tasks are restarted elsewhere. A gang's machine is kept longer, in proportion to the time that
    a new one would take to boot and to fetch the image, since it still has the image if the zone becomes reachable
    again.
    """
    ordered = sorted(machines, key=evacuation_order)
    serving = [contents for contents in ordered if contents.replicas]
    due = _serving_machines_due(serving, window, now, interval_s)
    due += [contents for contents in ordered if not contents.replicas and _batch_machine_is_due(contents, window, now)]
    return [contents.machine for contents in due]


def _serving_machines_due(
    serving: list[MachineContents], window: IsolationWindow, now: float, interval_s: float
) -> list[MachineContents]:
    """Return which of the remaining machines with replicas to release in this step, in evacuation order."""
    if not serving or now < window.begin:
        return []
    steps_left = max(1.0, (window.end - now) / interval_s)
    return serving[: math.ceil(len(serving) / steps_left)]


def _batch_machine_is_due(contents: MachineContents, window: IsolationWindow, now: float) -> bool:
    """Return whether to release a machine without replicas."""
    if contents.extra_wait_s > 0.0:
        return now > window.until + contents.extra_wait_s
    ends_in_time = any(now < end <= window.end for end in contents.batch_ends)
    return now > window.until and not ends_in_time
