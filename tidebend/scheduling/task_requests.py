"""What a mapping event is about: places, waiting work, and what is placed where."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from tidebend.protocol import JobSpec, MachineType
from tidebend.scheduling.resources import times_fit
from tidebend.scheduling.timeline import Timeline
from tidebend.scheduling.value_functions import Value


@dataclass(slots=True)
class CandidateMachine:
    """A machine as a mapping event sees it."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    timeline: Timeline
    images: set[str] = field(default_factory=set)
    fetching: int = 0  # images being fetched now
    until: float = math.inf  # when the cloud takes it
    changes: int = 0  # placements made on it in this event

    def fetch_s(self, spec: JobSpec) -> float:
        if spec.image in self.images or spec.image_gb <= 0:
            return 0.0
        return self.type.fetch_s(spec.image_gb) * (1 + self.fetching)

    def allowed(self, spec: JobSpec) -> bool:
        return (spec.spot or not self.spot) and self.type.fits(spec) and (spec.zone is None or spec.zone == self.zone)


@dataclass(slots=True)
class TaskRequest:
    """A job's waiting tasks: they are equal in value and size and share one entry."""

    job: str
    spec: JobSpec
    value: Value
    estimate: float  # corrected run time
    waiting: int
    zones: dict[str, int] = field(default_factory=dict)  # its tasks' places, ended or not yet proven so
    headroom: int = 1_000_000  # tasks that the team's limit still allows
    reserved: float | None = None  # the time of day since which it keeps a standing reservation
    not_before: float = 0.0
    share: float = 1.0  # the largest of a machine that a task takes
    start_by: float = math.inf  # time of day by which its tasks should have started, by an aim of its class
    keeps_off_gpus: bool = False  # it can run without them, and so leaves them to those that can't
    avoided: frozenset[str] = frozenset()  # machines on which it has just failed, or that know its attempt
    moving: bool = False  # it still stands in a lost zone: room is held for it, and nothing of it starts yet

    @property
    def service(self) -> bool:
        return self.spec.kind == "service"

    @property
    def gang(self) -> bool:
        return self.spec.kind == "gang" and self.waiting > 1

    def zone_room(self, zone: str) -> int:
        """How many more tasks may be in that zone: `one_zone` and `spread` count the places still held."""
        spec = self.spec
        if spec.one_zone and any(held and other != zone for other, held in self.zones.items()):
            return 0
        if spec.spread:
            return max(0, (spec.tasks + 1) // 2 - self.zones.get(zone, 0))
        return self.waiting


@dataclass(slots=True)
class GuaranteeBalance:
    """What a team still has to get of its guarantee: CPUs and GPUs."""

    cpus: float
    gpus: float

    def tasks(self, spec: JobSpec) -> int:
        return times_fit((self.cpus, self.gpus, 0.0), (spec.cpus, spec.gpus, 0.0))

    def take(self, spec: JobSpec, tasks: int) -> None:
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus


@dataclass(frozen=True, slots=True)
class Placement:
    job: str
    machine: str
    tasks: int
    start: float
    finish: float
    now: bool  # starts now; otherwise a place-holder


def allowed_on(request: TaskRequest, place: CandidateMachine) -> bool:
    """Whether a want may be placed on a machine at all."""
    if request.keeps_off_gpus and place.type.gpus > 0:
        return False
    if request.service and place.until < math.inf:
        return False
    if place.name in request.avoided:
        return False
    return place.allowed(request.spec)
