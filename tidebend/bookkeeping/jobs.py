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


def pack_claims(claims: Iterable[Claim]) -> list[list[Any]]:
    """Claims of one event are alike but for machine and tasks: a job on hundreds of machines must fit one value."""
    groups: dict[tuple[int, int, float, str], list[str]] = {}
    for claim in claims:
        rows = groups.setdefault((claim.session, claim.attempt, round(claim.at, 1), claim.zone), [])
        rows += (claim.machine, to_text(claim.tasks))
    return [[*common, rows] for common, rows in groups.items()]


def unpack_claims(groups: list[list[Any]]) -> tuple[Claim, ...]:
    return tuple(Claim(machine, session, attempt, from_text(tasks), at, zone)
                 for session, attempt, at, zone, rows in groups
                 for machine, tasks in zip(rows[::2], rows[1::2], strict=True))


@dataclass(frozen=True, slots=True)
class Job:
    """One job's record. Immutable: a change makes a new one, for a conditional write."""

    id: str
    version: int
    spec: JobSpec
    submitted: float  # time of day
    cancelled: bool = False
    started: int = 0  # starts so far; gives each claim its attempt
    ended: int = 0  # claimed tasks whose claims have ended; only grows
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

    @property
    def charged(self) -> int:
        """Tasks that the team's record counts for this job: all that it has ever claimed."""
        return self.ended + self.running

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
            gone = ended.get((claim.machine, claim.session, claim.attempt), 0)
            if not claim.tasks & gone:
                claims.append(claim)
            elif claim.tasks & ~gone:
                claims.append(replace(claim, tasks=claim.tasks & ~gone))
        new = replace(self, claims=tuple(claims), done=self.done | done)
        return replace(new, ended=self.ended + self.running - new.running)

    def pack(self) -> dict[str, Any]:
        value: dict[str, Any] = {"spec": self.spec.pack(), "at": round(self.submitted, 3)}
        if self.cancelled:
            value["cancelled"] = 1
        if self.started:
            value["started"] = self.started
        if self.ended:
            value["ended"] = self.ended
        if self.done:
            value["done"] = to_text(self.done)
        if self.claims:
            value["claims"] = pack_claims(self.claims)
        return value

    @staticmethod
    def unpack(name: str, value: dict[str, Any], version: int) -> Job:
        return Job(name, version, JobSpec.unpack(value["spec"]), value["at"], bool(value.get("cancelled")),
                   value.get("started", 0), value.get("ended", 0), from_text(value.get("done", "")),
                   unpack_claims(value.get("claims", ())))


@dataclass(frozen=True, slots=True)
class Usage:
    """What a team's claims take, and the team's record that says so.

    The record counts all that the team's live jobs have ever claimed, and is written when they claim more and when a
    job is over. Ends are counted in the jobs' own records: they are most of the writes, and so they neither cost a
    second one nor collide with other jobs of the team. What a cache knows of ends is at most what has ended, so a
    cache that is behind overestimates the usage; what it knows of the record is compared by the claim.
    """

    cpus: float = 0.0
    gpus: float = 0.0
    version: int = 0
    charged: tuple[float, float] = (0.0, 0.0)  # CPUs and GPUs in the record

    def plus(self, spec: JobSpec, tasks: int) -> Usage:
        cpus, gpus = spec.cpus * tasks, spec.gpus * tasks
        return replace(self, cpus=_amount(self.cpus + cpus), gpus=_amount(self.gpus + gpus),
                       charged=(_amount(self.charged[0] + cpus), _amount(self.charged[1] + gpus)))

    def freed(self, spec: JobSpec, tasks: int) -> Usage:
        """Ends that go into the same transaction, or will soon."""
        return replace(self, cpus=_amount(self.cpus - spec.cpus * tasks), gpus=_amount(self.gpus - spec.gpus * tasks))

    def without(self, spec: JobSpec, tasks: int) -> Usage:
        """A job is over: the record no longer counts what it claimed, all of which had ended."""
        return replace(self, charged=(_amount(self.charged[0] - spec.cpus * tasks),
                                      _amount(self.charged[1] - spec.gpus * tasks)))

    def pack(self) -> list[float]:
        return list(self.charged)


def _amount(value: float) -> float:
    return max(0.0, round(value, 6))


class JobBook:
    """Live jobs, teams' usage and recent finals; changed only by what the mirror passes on, under its lock."""

    def __init__(self, lock: threading.RLock, keep_finals: int) -> None:
        self.lock = lock
        self.jobs: dict[str, Job] = {}
        self._charged: dict[str, tuple[float, float, int]] = {}  # team -> its record and the record's version
        self._ended: dict[str, list[float]] = {}  # team -> what its live jobs' ended claims took
        self._finals: OrderedDict[str, str] = OrderedDict()
        self._keep_finals = keep_finals
        self._by_machine: dict[str, dict[str, list[tuple[Job, Claim]]]] = {}

    def _count_ended(self, job: Job, sign: int) -> None:
        if job.ended:
            ended = self._ended.setdefault(job.spec.team, [0.0, 0.0])
            ended[0] += sign * job.ended * job.spec.cpus
            ended[1] += sign * job.ended * job.spec.gpus

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
            if old is not None:
                self._count_ended(old, -1)
            if value is not None:
                job = Job.unpack(name, value, version)
                self.jobs[name] = job
                self._count_ended(job, 1)
                for claim in job.claims:
                    self._by_machine.setdefault(claim.machine, {}).setdefault(name, []).append((job, claim))
        elif key.startswith(TEAM):
            if value is None:
                self._charged.pop(key[len(TEAM):], None)
            else:
                self._charged[key[len(TEAM):]] = (value[0], value[1], version)
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
            cpus, gpus, version = self._charged.get(name, (0.0, 0.0, 0))
            ended = self._ended.get(name, (0.0, 0.0))
            return Usage(_amount(cpus - ended[0]), _amount(gpus - ended[1]), version, (cpus, gpus))

    def on_machine(self, machine: str) -> list[tuple[Job, Claim]]:
        with self.lock:
            return [pair for pairs in self._by_machine.get(machine, {}).values() for pair in pairs]

    def machines(self) -> set[str]:
        with self.lock:
            return set(self._by_machine)
