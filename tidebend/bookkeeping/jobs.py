"""Jobs as recorded in the state service, and the index over their claims."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from tidebend.bookkeeping.tasksets import from_text, interval, to_text
from tidebend.protocol import JobSpec
from tidebend.storage import FINAL, LIVE

JOB = LIVE + "job/"
TEAM = LIVE + "team/"


@dataclass(frozen=True, slots=True)
class Claim:
    """Tasks of a job that hold a place on a machine: from before their start is sent until proof of their end."""

    machine: str
    session: int
    attempt: int
    tasks: int  # bitmap
    at: float  # time of day
    zone: str

    def pack(self) -> list[Any]:
        return [self.machine, self.session, self.attempt, to_text(self.tasks), round(self.at, 1), self.zone]

    @staticmethod
    def unpack(row: list[Any]) -> Claim:
        return Claim(row[0], row[1], row[2], from_text(row[3]), row[4], row[5])


@dataclass(frozen=True, slots=True)
class Job:
    """One job's record. Immutable: a change makes a new one, for a conditional write."""

    id: str
    version: int
    spec: JobSpec
    submitted: float  # time of day
    cancelled: bool = False
    started: int = 0  # starts so far; gives each claim its attempt
    done: int = 0  # bitmap
    claims: tuple[Claim, ...] = ()

    @property
    def claimed(self) -> int:
        mask = 0
        for claim in self.claims:
            mask |= claim.tasks
        return mask

    @property
    def all_tasks(self) -> int:
        return interval(0, self.spec.tasks - 1)

    @property
    def pending(self) -> int:
        return 0 if self.cancelled else self.all_tasks & ~self.done & ~self.claimed

    @property
    def complete(self) -> bool:
        return self.done == self.all_tasks

    @property
    def running(self) -> int:
        return sum(claim.tasks.bit_count() for claim in self.claims)

    def per_zone(self) -> dict[str, int]:
        zones: dict[str, int] = {}
        for claim in self.claims:
            zones[claim.zone] = zones.get(claim.zone, 0) + claim.tasks.bit_count()
        return zones

    def with_claims(self, added: Iterable[Claim]) -> Job:
        return replace(self, claims=self.claims + tuple(added), started=self.started + 1)

    def without(self, ended: dict[tuple[str, int, int], int], done: int) -> Job:
        """Some claims' tasks ended; `ended` maps (machine, session, attempt) to a bitmap."""
        claims = []
        for claim in self.claims:
            rest = claim.tasks & ~ended.get((claim.machine, claim.session, claim.attempt), 0)
            if rest:
                claims.append(replace(claim, tasks=rest))
        return replace(self, claims=tuple(claims), done=self.done | done)

    def pack(self) -> dict[str, Any]:
        value: dict[str, Any] = {"spec": self.spec.pack(), "at": round(self.submitted, 3)}
        if self.cancelled:
            value["cancelled"] = 1
        if self.started:
            value["started"] = self.started
        if self.done:
            value["done"] = to_text(self.done)
        if self.claims:
            value["claims"] = [claim.pack() for claim in self.claims]
        return value

    @staticmethod
    def unpack(name: str, value: dict[str, Any], version: int) -> Job:
        return Job(name, version, JobSpec.unpack(value["spec"]), value["at"], bool(value.get("cancelled")),
                   value.get("started", 0), from_text(value.get("done", "")),
                   tuple(Claim.unpack(row) for row in value.get("claims", ())))


@dataclass(frozen=True, slots=True)
class Usage:
    """What a team's claims take, and the version of the record that says so."""

    cpus: float = 0.0
    gpus: float = 0.0
    version: int = 0

    def plus(self, spec: JobSpec, tasks: int) -> Usage:
        return replace(self, cpus=max(0.0, round(self.cpus + spec.cpus * tasks, 6)),
                       gpus=max(0.0, round(self.gpus + spec.gpus * tasks, 6)))

    def pack(self) -> list[float]:
        return [self.cpus, self.gpus]


class JobBook:
    """Live jobs, teams' usage and recent finals; changed only by what the mirror passes on, under its lock."""

    def __init__(self, lock: threading.RLock, keep_finals: int) -> None:
        self.lock = lock
        self.jobs: dict[str, Job] = {}
        self.usage: dict[str, Usage] = {}
        self._finals: OrderedDict[str, str] = OrderedDict()
        self._keep_finals = keep_finals
        self._by_machine: dict[str, dict[str, Job]] = {}

    def on_change(self, key: str, value: Any, version: int) -> None:
        if key.startswith(JOB):
            name = key[len(JOB):]
            old = self.jobs.pop(name, None)
            for claim in old.claims if old else ():
                held = self._by_machine.get(claim.machine)
                if held is not None:
                    held.pop(name, None)
                    if not held:
                        del self._by_machine[claim.machine]
            if value is not None:
                job = Job.unpack(name, value, version)
                self.jobs[name] = job
                for claim in job.claims:
                    self._by_machine.setdefault(claim.machine, {})[name] = job
        elif key.startswith(TEAM):
            if value is None:
                self.usage.pop(key[len(TEAM):], None)
            else:
                self.usage[key[len(TEAM):]] = Usage(value[0], value[1], version)
        elif key.startswith(FINAL) and value is not None:
            self.remember_final(key[len(FINAL):], value)

    def remember_final(self, name: str, state: str) -> None:
        with self.lock:
            self._finals[name] = state
            self._finals.move_to_end(name)
            while len(self._finals) > self._keep_finals:
                self._finals.popitem(last=False)

    def final(self, name: str) -> str | None:
        """`done` or `cancelled` if that is known to be the job's last state."""
        with self.lock:
            state = self._finals.get(name)
            if state is None:
                job = self.jobs.get(name)
                if job is not None and job.cancelled:
                    return "cancelled"
            return state

    def get(self, name: str) -> Job | None:
        with self.lock:
            return self.jobs.get(name)

    def live(self) -> list[Job]:
        with self.lock:
            return list(self.jobs.values())

    def team(self, name: str) -> Usage:
        with self.lock:
            return self.usage.get(name, Usage())

    def on_machine(self, machine: str) -> list[tuple[Job, Claim]]:
        with self.lock:
            return [(job, claim) for job in self._by_machine.get(machine, {}).values()
                    for claim in job.claims if claim.machine == machine]

    def machines(self) -> set[str]:
        with self.lock:
            return set(self._by_machine)
