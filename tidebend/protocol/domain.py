"""The domain's types: jobs as asked for, machines and their types, tasks as reported, commands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

PRIORITIES = ("low", "normal", "high", "production")
MOST_TASKS = 100_000


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a user asked for."""

    job_class: str
    team: str
    kind: str  # array, gang, service
    priority: str
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None

    def pack(self) -> list[Any]:
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
        return JobSpec(
            *row[:10],
            tuple(row[10]) if row[10] is not None else None,
            row[11],
            bool(row[12]),
            bool(row[13]),
            bool(row[14]),
            *row[15:],
        )


@dataclass(frozen=True, slots=True)
class MachineType:
    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    def fetch_s(self, image_gb: float) -> float:
        return image_gb / max(self.fetch_gb_per_s, 1e-6)

    def fits(self, spec: JobSpec) -> bool:
        return (
            spec.cpus <= self.cpus + 1e-6
            and spec.gpus <= self.gpus + 1e-6
            and spec.memory_gb <= self.memory_gb + 1e-6
            and (spec.types is None or self.name in spec.types)
            and (spec.zone is None or spec.zone in self.zones)
        )


@dataclass(frozen=True, slots=True)
class TaskReport:
    job: str
    index: int
    attempt: int
    state: str
    why: str | None
    saved: bool


@dataclass(frozen=True, slots=True)
class Report:
    """A worker's report, or its answer to direct commands."""

    machine: str
    address: tuple[str, int] | None
    type: str
    zone: str
    spot: bool
    session: int
    sequence: int
    token: int
    notice_s: float | None
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Command:
    op: str  # start, stop, forget
    job: str
    index: int
    attempt: int
    grace_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListedMachine:
    name: str
    address: tuple[str, int] | None
    type: str
    zone: str
    spot: bool
    state: str  # booting, running, failed
    age_s: float


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"
