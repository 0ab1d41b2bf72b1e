"""What a mapping event is about: machines, waiting tasks, unmet guarantees, and what is placed where.

Times are seconds on one clock, the event's; the controller uses the time of day.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from tidebend.protocol import JobSpec, MachineType
from tidebend.scheduling.resources import UNLIMITED_TASKS, count_fitting_tasks
from tidebend.scheduling.timeline import Timeline
from tidebend.scheduling.value_functions import Value


@dataclass(slots=True)
class CandidateMachine:
    """A machine as a mapping event sees it; the event changes it by what it places there."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    timeline: Timeline
    images: set[str] = field(default_factory=set)  # on the machine or being fetched
    fetching: int = 0  # images that are being fetched now
    reclaimed_at: float = math.inf  # when the cloud takes the machine back
    changes: int = 0  # placements made on it in this event

    def fetch_s(self, spec: JobSpec) -> float:
        """Seconds until the job's image is on the machine; fetches share its bandwidth."""
        if spec.image in self.images or spec.image_gb <= 0:
            return 0.0
        return self.type.fetch_s(spec.image_gb) * (1 + self.fetching)

    def allowed(self, spec: JobSpec) -> bool:
        """Whether the job's own conditions admit the machine: its type, its zone, and whether it is a spot machine."""
        return (spec.spot or not self.spot) and self.type.fits(spec) and (spec.zone is None or spec.zone == self.zone)


@dataclass(slots=True)
class TaskRequest:
    """A job's waiting tasks: they are alike in value and size and share one entry."""

    job_id: str
    spec: JobSpec
    value: Value
    estimate: float  # corrected run time of a task, in seconds
    waiting: int  # tasks that may be placed
    tasks_by_zone: dict[str, int] = field(default_factory=dict)  # allocated tasks whose end isn't proven
    headroom: int = UNLIMITED_TASKS  # tasks that the team's limit still allows
    reserved_since: float | None = None  # since when the job keeps a standing reservation, if it does
    not_before: float = 0.0  # no task starts earlier
    resource_share: float = 1.0  # the largest share of a machine that a task takes
    start_by: float = math.inf  # when its tasks should have started, by the objective of its class
    avoids_gpus: bool = False  # it can run without them, and leaves them to those that can't
    avoided_machines: frozenset[str] = frozenset()  # where it has just failed, or that know its attempt
    relocating: bool = False  # still in a lost zone: room is held for it, and nothing of it starts yet

    @property
    def is_service(self) -> bool:
        """Whether the tasks are replicas of a service, which never end."""
        return self.spec.kind == "service"

    @property
    def is_gang(self) -> bool:
        """Whether the tasks have to start together; a gang of which one task waits is placed like an array."""
        return self.spec.kind == "gang" and self.waiting > 1

    def zone_headroom(self, zone: str) -> int:
        """How many more tasks may be in that zone: `one_zone` and `spread` count the tasks that are allocated."""
        spec = self.spec
        if spec.one_zone and any(tasks and other != zone for other, tasks in self.tasks_by_zone.items()):
            return 0
        if spec.spread:
            return max(0, (spec.tasks + 1) // 2 - self.tasks_by_zone.get(zone, 0))
        return self.waiting

    def add_to_zone(self, zone: str, tasks: int) -> None:
        """Count tasks that are placed in a zone."""
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + tasks


@dataclass(slots=True)
class GuaranteeBalance:
    """What a team still has to get of its guarantee; negative parts are what it has beyond it."""

    cpus: float
    gpus: float

    def tasks(self, spec: JobSpec) -> int:
        """How many of the job's tasks are within the guarantee."""
        return count_fitting_tasks((self.cpus, self.gpus, 0.0), (spec.cpus, spec.gpus, 0.0))

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Deduct tasks that are placed."""
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus


@dataclass(frozen=True, slots=True)
class Placement:
    """Tasks of one job that are placed on one machine for the same time."""

    job_id: str
    machine: str
    tasks: int
    start: float
    finish: float
    starts_now: bool  # otherwise it is a place-holder


def allowed_on(request: TaskRequest, machine: CandidateMachine) -> bool:
    """Whether a request may be placed on a machine at all, however much is free there."""
    if request.avoids_gpus and machine.type.gpus > 0:
        return False
    if request.is_service and machine.reclaimed_at < math.inf:
        return False
    if machine.name in request.avoided_machines:
        return False
    return machine.allowed(request.spec)
