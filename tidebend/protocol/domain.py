"""The domain's types: job specifications, machines and machine types, task reports, and commands to workers.

They are independent of the names used on the wire, which the other modules of this package translate. Sizes are in
GB; durations are in seconds (fields ending in `_s`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# Job kinds (`JobSpec.kind`). Plain strings, since they are stored in records unchanged.
KIND_ARRAY = "array"  # independent tasks
KIND_GANG = "gang"  # tasks that run all at the same time or not at all
KIND_SERVICE = "service"  # replicas that are kept running until the job is cancelled

# Priorities (`JobSpec.priority`), lowest first.
PRIORITY_LOW = "low"
PRIORITY_NORMAL = "normal"
PRIORITY_HIGH = "high"
PRIORITY_PRODUCTION = "production"
PRIORITIES = (PRIORITY_LOW, PRIORITY_NORMAL, PRIORITY_HIGH, PRIORITY_PRODUCTION)

# States of a task on a worker (`TaskReport.state`), in the order in which a task passes through them.
TASK_FETCHING = "fetching"  # fetching its image
TASK_WAITING = "waiting"  # ready to run, waiting for the rest of its gang
TASK_RUNNING = "running"
TASK_SAVING = "saving"  # stopping, writing a checkpoint
TASK_ENDED = "ended"
TASK_STATES = (TASK_FETCHING, TASK_WAITING, TASK_RUNNING, TASK_SAVING, TASK_ENDED)

# Operations of a command (`Command.op`).
COMMAND_START = "start"
COMMAND_STOP = "stop"
COMMAND_FORGET = "forget"  # stop reporting an ended attempt

# States of a rented machine (`ListedMachine.state`); any other state of the cloud is passed on unchanged.
MACHINE_BOOTING = "booting"
MACHINE_RUNNING = "running"
MACHINE_FAILED = "failed"  # stopped by itself; stays listed until it is released

# States of a job as shown to users.
JOB_QUEUED = "queued"
JOB_RUNNING = "running"
JOB_DONE = "done"
JOB_CANCELLED = "cancelled"

MAX_TASKS = 100_000  # per job

# Tolerance in comparing amounts of resources, so that rounding doesn't reject a task that fits exactly.
AMOUNT_TOLERANCE = 1e-6
# Avoids a division by zero for machine types with a fetch rate of 0.
MIN_FETCH_GB_PER_S = 1e-6


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A user's specification of a job. Stored records (`pack`) have the fields in this order, so it can't change."""

    job_class: str  # job class, which service-level objectives refer to
    team: str  # team whose quota is charged
    kind: str  # one of KIND_*
    priority: str  # one of PRIORITIES
    tasks: int  # number of tasks, 1 to MAX_TASKS
    cpus: float  # CPU cores per task
    gpus: float  # accelerators per task
    memory_gb: float  # memory per task
    image: str  # name of the image, which must be on a machine before a task starts there
    image_gb: float  # size of the image
    types: tuple[str, ...] | None  # allowed machine types; None: any
    zone: str | None  # the only allowed zone; None: any
    one_zone: bool  # all tasks must run in the same zone
    spread: bool  # no zone may have more than half of the tasks, rounded up
    spot: bool  # may run on spot machines, which the cloud may reclaim
    estimate_s: float  # the user's estimate of a task's run time, without fetching the image; 0 for services
    checkpoint_s: float  # run time between two checkpoints; 0: no checkpoints, a stopped task starts over
    save_s: float  # time to write a checkpoint when a task is stopped
    deadline_s: float | None  # since the submission; None: no deadline

    def pack(self) -> list[Any]:
        """Return the stored form: the fields in order, flags as 0 or 1. It can't change, since stored data has it."""
        return [
            self.job_class,
            self.team,
            self.kind,
            self.priority,
            self.tasks,
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image,
            self.image_gb,
            list(self.types) if self.types is not None else None,
            self.zone,
            int(self.one_zone),
            int(self.spread),
            int(self.spot),
            self.estimate_s,
            self.checkpoint_s,
            self.save_s,
            self.deadline_s,
        ]

    @staticmethod
    def unpack(row: list[Any]) -> JobSpec:
        """Return the specification that `pack` packed. Raises IndexError or TypeError for a row of another length."""
        fields = [
            *row[:10],
            tuple(row[10]) if row[10] is not None else None,
            row[11],
            bool(row[12]),
            bool(row[13]),
            bool(row[14]),
            *row[15:],
        ]
        return JobSpec(*fields)


@dataclass(frozen=True, slots=True)
class MachineType:
    """A machine type offered by the cloud."""

    name: str
    cpus: float  # CPU cores
    gpus: float  # accelerators
    memory_gb: float
    cache_gb: float  # local disk for images
    fetch_gb_per_s: float  # nominal rate of fetching images
    price: float  # per hour, on demand
    spot_price: float  # current price per hour as a spot machine
    boot_s: float  # nominal time from the rental until the machine runs
    zones: tuple[str, ...]  # zones that offer it

    def fetch_s(self, image_gb: float) -> float:
        """Return the time in seconds to fetch an image of this size."""
        return image_gb / max(self.fetch_gb_per_s, MIN_FETCH_GB_PER_S)

    def fits(self, spec: JobSpec) -> bool:
        """Return whether an empty machine of this type, in a zone that offers it, could run a task of the job."""
        return (
            spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            and spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            and spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
            and (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
        )


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A worker's report on one attempt of a task."""

    job: str
    index: int  # index of the task within its job, from 0
    attempt: int  # number of the attempt; each start of the task has its own
    state: str  # one of TASK_STATES
    why: str | None  # cause of the end, once it has ended
    saved: bool  # whether a checkpoint was written when it was stopped


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's heartbeat, or its answer to direct commands."""

    machine: str  # name of the worker's machine
    address: tuple[str, int] | None  # host and port for direct commands
    type: str  # machine type
    zone: str
    spot: bool
    session: int  # increases each time the worker's lease expires
    sequence: int  # increases with each message; orders the messages of a session
    token: int  # highest fencing token that the worker has seen
    reclaim_in_s: float | None  # until the cloud reclaims the machine; None: not announced
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Command:
    """A controller's instruction to a worker about one attempt of a task."""

    op: str  # one of COMMAND_*
    job: str
    index: int
    attempt: int
    grace_s: float = 0.0  # of a stop: seconds until the task is killed


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A rented machine as listed by the cloud."""

    name: str
    address: tuple[str, int] | None  # host, port
    type: str  # machine type
    zone: str
    spot: bool
    state: str  # one of MACHINE_*, or any other state that the cloud reports
    age_s: float  # from the rental request to the time of the list


def task_name(job: str, index: int) -> str:
    """Return a task's name in messages and logs."""
    return f"{job}/{index}"
