"""Inputs and outputs of a mapping event: machines, requests of waiting tasks, unmet guarantees, and placements.

All times are seconds on the event's clock; the controller uses the wall clock.
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
    """A machine in a mapping event, which updates it with each placement."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    timeline: Timeline
    images: set[str] = field(default_factory=set)  # images on the machine or being fetched
    fetches_in_progress: int = 0  # number of images being fetched
    reclaimed_at: float = math.inf  # when the cloud reclaims the (spot) machine
    placements_made: int = 0  # number of placements on it in this event

    def fetch_s(self, spec: JobSpec) -> float:
        """Return the seconds until the job's image is on the machine; concurrent fetches share its bandwidth."""
        if spec.image in self.images or spec.image_gb <= 0:
            return 0.0
        return self.type.fetch_s(spec.image_gb) * (1 + self.fetches_in_progress)

    def allowed(self, spec: JobSpec) -> bool:
        """Return whether the machine meets the job's constraints on type, zone and spot machines."""
        return (spec.spot or not self.spot) and self.type.fits(spec) and (spec.zone is None or spec.zone == self.zone)


@dataclass(slots=True)
class TaskRequest:
    """A request to place a job's waiting tasks, which all have the same value and resource need."""

    job_id: str
    spec: JobSpec
    value: Value
    estimate: float  # corrected run time of a task, in seconds
    waiting: int  # number of tasks that may be placed
    tasks_by_zone: dict[str, int] = field(default_factory=dict)  # allocated tasks not known to have ended
    headroom: int = UNLIMITED_TASKS  # number of tasks that the team's limit still allows
    reserved_since: float | None = None  # start of the job's standing reservation, if it has one
    not_before: float = 0.0  # earliest start
    resource_share: float = 1.0  # see `largest_share`
    start_by: float = math.inf  # latest start that meets the objective of the job's class
    avoids_gpus: bool = False  # the job needs no GPUs, and leaves GPU machines to jobs that do
    avoided_machines: frozenset[str] = frozenset()  # machines where it just failed, or that know its attempt
    relocating: bool = False  # replicas still run in a lost zone: their place-holders only reserve capacity elsewhere

    @property
    def is_service(self) -> bool:
        """Whether the tasks are replicas of a service, which run indefinitely."""
        return self.spec.kind == "service"

    @property
    def is_gang(self) -> bool:
        """Whether the tasks must start together; a gang with a single waiting task is placed like an array."""
        return self.spec.kind == "gang" and self.waiting > 1

    def zone_headroom(self, zone: str) -> int:
        """Return how many more tasks may be placed in a zone, given `one_zone`, `spread` and the allocated tasks."""
        spec = self.spec
        if spec.one_zone and any(tasks and other != zone for other, tasks in self.tasks_by_zone.items()):
            return 0
        if spec.spread:
            return max(0, (spec.tasks + 1) // 2 - self.tasks_by_zone.get(zone, 0))
        return self.waiting

    def add_to_zone(self, zone: str, tasks: int) -> None:
        """Account for tasks placed in a zone."""
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + tasks


@dataclass(slots=True)
class GuaranteeBalance:
    """The unused part of a team's guarantee; a negative amount is what the team uses beyond its guarantee."""

    cpus: float
    gpus: float

    def count_within(self, spec: JobSpec) -> int:
        """Return how many of the job's tasks fit within the unused guarantee."""
        return count_fitting_tasks((self.cpus, self.gpus, 0.0), (spec.cpus, spec.gpus, 0.0))

    def deduct(self, spec: JobSpec, tasks: int) -> None:
        """Deduct the resources of placed tasks."""
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus


@dataclass(frozen=True, slots=True)
class Placement:
    """Tasks of one job placed on one machine in the same slot."""

    job_id: str
    machine: str
    tasks: int
    start: float
    finish: float
    starts_now: bool  # False for a place-holder


def allowed_on(request: TaskRequest, machine: CandidateMachine) -> bool:
    """Return whether a request may be placed on a machine, regardless of free capacity."""
    if request.avoids_gpus and machine.type.gpus > 0:
        return False
    if request.is_service and machine.reclaimed_at < math.inf:
        return False
    if machine.name in request.avoided_machines:
        return False
    return machine.allowed(request.spec)
