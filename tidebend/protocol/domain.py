"""The domain's types: submitted jobs, machines and their types, reported tasks, and commands to workers.

Nothing here knows the wire's words; the other modules of this package translate. Sizes are in GB, durations in
seconds (fields that end in `_s`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# Kinds of jobs (`JobSpec.kind`). Plain strings, because they are stored in records as they are.
KIND_ARRAY = "array"  # independent tasks
KIND_GANG = "gang"  # tasks that run all at once or not at all
KIND_SERVICE = "service"  # tasks that are kept running until the job is cancelled

# Priorities (`JobSpec.priority`), the least urgent first.
PRIORITY_LOW = "low"
PRIORITY_NORMAL = "normal"
PRIORITY_HIGH = "high"
PRIORITY_PRODUCTION = "production"
PRIORITIES = (PRIORITY_LOW, PRIORITY_NORMAL, PRIORITY_HIGH, PRIORITY_PRODUCTION)

# States of a task on a worker (`TaskReport.state`), in the order in which a task passes through them.
TASK_FETCHING = "fetching"  # its image is being fetched
TASK_WAITING = "waiting"  # a gang's task that waits for the others
TASK_RUNNING = "running"
TASK_SAVING = "saving"  # it was told to stop and writes a checkpoint
TASK_ENDED = "ended"
TASK_STATES = (TASK_FETCHING, TASK_WAITING, TASK_RUNNING, TASK_SAVING, TASK_ENDED)

# Operations of a command (`Command.op`).
COMMAND_START = "start"
COMMAND_STOP = "stop"
COMMAND_FORGET = "forget"  # an ended attempt needn't be reported any more

# States of a rented machine (`ListedMachine.state`); other words of the cloud are passed on as they are.
MACHINE_BOOTING = "booting"
MACHINE_RUNNING = "running"
MACHINE_FAILED = "failed"  # it stopped by itself and stays listed until it is released

# States of a job as users see them.
JOB_QUEUED = "queued"
JOB_RUNNING = "running"
JOB_DONE = "done"
JOB_CANCELLED = "cancelled"

# The most tasks that one job may have.
MAX_TASKS = 100_000

# QuotaAmountLike are compared with this tolerance, so that rounding doesn't turn down a task that fits exactly.
AMOUNT_TOLERANCE = 1e-6
# A fetch rate of 0 would mean a division by zero.
LEAST_FETCH_GB_PER_S = 1e-6


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a user asked for. The order of the fields is that of a packed record (`pack`), so it can't change."""

    job_class: str  # the class of jobs that service objectives name
    team: str  # whose quota is charged
    kind: str  # one of KIND_...
    priority: str  # one of PRIORITIES
    tasks: int  # how many, 1 to MAX_TASKS
    cpus: float  # cores for each task
    gpus: float  # accelerators for each task
    memory_gb: float  # for each task
    image: str  # name of the image that every task needs on its machine
    image_gb: float  # size of the image
    types: tuple[str, ...] | None  # machine types that it may run on; None: any
    zone: str | None  # the only zone in which it may run; None: any
    one_zone: bool  # all tasks in the same zone
    spread: bool  # no zone may hold more than half of the tasks, rounded up
    spot: bool  # may run on spot machines, which the cloud may take back
    estimate_s: float  # the user's estimate of a task's run time without the image's fetch; 0 for services
    checkpoint_s: float  # run time between two checkpoints; 0: a task never saves and starts anew after a stop
    save_s: float  # time that a task needs to write a checkpoint when it is stopped
    deadline_s: float | None  # counted from the submission; None: no deadline

    def pack(self) -> list[Any]:
        """The stored form: the fields in order, flags as 0 or 1. Stored data has this form, so it can't change."""
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
        """The inverse of `pack`. Raises IndexError or TypeError for a row of another length."""
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
    """A type of machine that the cloud rents out."""

    name: str
    cpus: float  # cores
    gpus: float  # accelerators
    memory_gb: float
    cache_gb: float  # local disk for images
    fetch_gb_per_s: float  # nominal rate at which images are fetched
    price: float  # for an hour, on demand
    spot_price: float  # for an hour, as a spot machine, at the moment
    boot_s: float  # nominal time from the rental until it runs
    zones: tuple[str, ...]  # where it can be had

    def fetch_s(self, image_gb: float) -> float:
        """Seconds that it takes to fetch an image of this size."""
        return image_gb / max(self.fetch_gb_per_s, LEAST_FETCH_GB_PER_S)

    def fits(self, spec: JobSpec) -> bool:
        """Whether an empty machine of this type could run a task of the job, in one of the type's zones."""
        return (
            spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            and spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            and spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
            and (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
        )


@dataclass(frozen=True, slots=True)
class TaskReport:
    """One attempt of a task, as a worker reports it."""

    job: str
    index: int  # of the task within its job, from 0
    attempt: int  # each start of the task has a number of its own
    state: str  # one of TASK_STATES
    why: str | None  # once it has ended: why
    saved: bool  # whether its progress was saved when it was stopped


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's report, or its answer to direct commands."""

    machine: str  # name of the worker's machine
    address: tuple[str, int] | None  # at which it takes direct commands
    type: str  # name of the machine's type
    zone: str
    spot: bool
    session: int  # grows each time the worker's lease expires
    sequence: int  # grows with each message of the worker; of the same session, the greater one is newer
    token: int  # the highest fencing token that the worker has seen
    reclaim_in_s: float | None  # seconds until the cloud takes the machine back; None: not announced
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Command:
    """What a controller tells a worker to do with one attempt of a task."""

    op: str  # one of COMMAND_...
    job: str
    index: int
    attempt: int
    grace_s: float = 0.0  # of a stop: seconds that the task has to end by itself


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A rented machine, as the cloud lists it."""

    name: str
    address: tuple[str, int] | None
    type: str  # name of the machine's type
    zone: str
    spot: bool
    state: str  # one of MACHINE_..., or a word of the cloud's own
    age_s: float  # since the request that rented it, at the time that the list describes


def task_name(job: str, index: int) -> str:
    """How a task is named in messages and logs."""
    return f"{job}/{index}"
