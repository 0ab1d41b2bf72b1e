"""The cache of live jobs, with the indexes over their claims and over who waits for whom."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from tidebend.cluster_state.allocations import Allocation
from tidebend.cluster_state.job_records import HEAD, JOB, Job
from tidebend.cluster_state.record_chunks import CHUNK, Chunk
from tidebend.kvclient import FINAL
from tidebend.quota import Amounts, TeamUsage, UsageIndex

CANCELLED = "cancelled"
Final = tuple[str, float]  # `done` or `cancelled`, and the time of day, 0 in records of the version before pipelines


def unpack_final(value: Any) -> Final:
    return (value, 0.0) if isinstance(value, str) else (value["state"], value["at"])


def pack_final(state: str, at: float, plain: bool) -> Any:
    """`plain`: as the version before pipelines writes it."""
    return state if plain else {"state": state, "at": round(at, 3)}


@dataclass(slots=True)
class _PartRecord:
    """Unpacked once, when a head says what it means: a job changes with each of its parts."""

    value: Any
    version: int
    first: int = -1
    unpacked: Chunk | None = None

    def chunk(self, first: int) -> Chunk:
        if self.unpacked is None or self.first != first:
            self.first, self.unpacked = first, Chunk.unpack(self.value, self.version, first)
        return self.unpacked


class JobCache:
    """Live jobs, teams' usage and recent finals; changed only by what the mirror passes on, under its lock.

    What jobs wait for is derived from final records, which never change: so it only ever grows, and is the same on
    every controller.
    """

    def __init__(self, lock: threading.RLock, keep_finals: int) -> None:
        self.lock = lock
        self.jobs: dict[str, Job] = {}
        self._heads: dict[str, Job] = {}  # as recorded, before anything is derived
        self._parts: dict[str, dict[int, _PartRecord]] = {}
        self._accounts = UsageIndex()
        self._finals: OrderedDict[str, Final] = OrderedDict()
        self._keep_finals = keep_finals
        self._by_machine: dict[str, dict[str, list[tuple[Job, Allocation]]]] = {}
        self._waiters: dict[str, set[str]] = {}  # job -> live jobs that name it
        self._needed: dict[str, Final] = {}  # finals of jobs that live ones name: kept however old

    def on_change(self, key: str, value: Any, version: int) -> None:
        if key.startswith(JOB) or key.startswith(HEAD):
            name = key[len(JOB) :] if key.startswith(JOB) else key[len(HEAD) :]
            self._head_changed(name, key, value, version)
        elif key.startswith(CHUNK):
            name, _, number = key[len(CHUNK) :].rpartition("/")
            chunks = self._parts.setdefault(name, {})
            if value is None:
                chunks.pop(int(number), None)
                if not chunks:
                    del self._parts[name]
            else:
                chunks[int(number)] = _PartRecord(value, version)
            if name in self._heads:
                self._derive(name)
        elif key.startswith(FINAL):
            if value is not None:
                self.remember_final(key[len(FINAL) :], value)
        else:
            self._accounts.on_change(key, value, version)

    def _head_changed(self, name: str, key: str, value: Any, version: int) -> None:
        old = self._heads.get(name)
        if value is None:
            if old is None or old.key != key:
                return  # it has moved to a record of the other kind
            del self._heads[name]
        else:
            self._heads[name] = Job.unpack(name, value, version)
        new = self._heads.get(name)
        if (old.dependencies if old else ()) != (new.dependencies if new else ()):
            for other in old.dependencies if old else ():
                waiters = self._waiters[other]
                waiters.discard(name)
                if not waiters:
                    del self._waiters[other]
                    self._needed.pop(other, None)
            for other in new.dependencies if new else ():
                self._waiters.setdefault(other, set()).add(name)
                if other in self._finals:
                    self._needed[other] = self._finals[other]
        self._derive(name)

    def _outcome(self, name: str) -> Final | None:
        """What has become of a job for good."""
        final = self._needed.get(name) or self._finals.get(name)
        if final is None:
            job = self.jobs.get(name)
            if job is not None and job.cancelled:
                return CANCELLED, 0.0
        return final

    def _derive(self, name: str) -> None:
        """Bring a job up to its records and those of what it waits for, then what waits for it, and so on."""
        left = [name]
        while left:
            name = left.pop()
            before = self._outcome(name)
            self._index(self.jobs.pop(name, None), -1)
            head = self._heads.get(name)
            if head is not None:
                if head.chunks:
                    size = head.chunks.size
                    head = head.assembled(
                        {number: record.chunk(number * size) for number, record in self._parts.get(name, {}).items()}
                    )
                if head.dependencies:
                    outcomes = [self._outcome(other) for other in head.dependencies]
                    if any(outcome is not None and outcome[0] == CANCELLED for outcome in outcomes):
                        head = replace(head, cancelled=True)
                    elif None not in outcomes:
                        head = replace(head, blocked=False, ready=max(head.submitted, *(at for _, at in outcomes)))
                self.jobs[name] = head
                self._index(head, 1)
            if self._outcome(name) != before:
                left += self._waiters.get(name, ())

    def _index(self, job: Job | None, sign: int) -> None:
        if job is None:
            return
        self._accounts.count_ended(job.spec, sign * job.ended)
        for allocation in job.allocations:
            self._accounts.count_claim(job.spec, allocation.zone, sign * allocation.tasks.bit_count())
            if sign > 0:
                self._by_machine.setdefault(allocation.machine, {}).setdefault(job.id, []).append((job, allocation))
                continue
            held = self._by_machine.get(allocation.machine)
            if held is not None:
                held.pop(job.id, None)
                if not held:
                    del self._by_machine[allocation.machine]

    def remember_final(self, name: str, value: Any) -> None:
        final = unpack_final(value)
        with self.lock:
            self._finals[name] = final
            self._finals.move_to_end(name)
            while len(self._finals) > self._keep_finals:
                self._finals.popitem(last=False)
            if name in self._waiters and name not in self._needed:
                self._needed[name] = final
                for waiter in list(self._waiters[name]):
                    self._derive(waiter)

    def final(self, name: str) -> str | None:
        """`done` or `cancelled` if that is known to be the job's last state."""
        with self.lock:
            outcome = self._outcome(name)
            return outcome[0] if outcome else None

    def get(self, name: str) -> Job | None:
        with self.lock:
            return self.jobs.get(name)

    def live(self) -> list[Job]:
        with self.lock:
            return list(self.jobs.values())

    def chunk_versions(self, name: str) -> dict[int, int]:
        """The records of a job's parts, those included that its head doesn't speak of yet."""
        with self.lock:
            return {number: record.version for number, record in self._parts.get(name, {}).items()}

    def chunk_sources(self, name: str) -> dict[int, int]:
        """The versions of the record from which a job's parts were split."""
        with self.lock:
            return {number: record.value.get("source", 0) for number, record in self._parts.get(name, {}).items()}

    # Who waits for whom

    def waiters(self) -> dict[str, list[str]]:
        """For each job that is named by others that wait: those."""
        with self.lock:
            return {name: list(waiters) for name, waiters in self._waiters.items()}

    def unresolved(self, name: str | None = None) -> list[str]:
        """Jobs that others wait for, and that are over without our knowing how; of one job, or of all."""
        with self.lock:
            if name is None:
                return [other for other in self._waiters if other not in self._needed and other not in self._heads]
            found, seen, left = [], {name}, [name]
            while left:
                head = self._heads.get(left.pop())
                for other in head.dependencies if head else ():
                    if other in seen or other in self._needed:
                        continue
                    seen.add(other)
                    (left if other in self._heads else found).append(other)
            return found

    def used(self, team: str, zones: Iterable[str] | None = None) -> Amounts:
        """What a team's claims take, everywhere or in some zones."""
        with self.lock:
            return self._accounts.used(team, zones)

    def has_zone_quotas(self, team: str) -> bool:
        with self.lock:
            return self._accounts.has_zone_quotas(team)

    def team(self, name: str, zones: Iterable[str] = ()) -> TeamUsage:
        """A team's usage as who holds these zones may act on it."""
        with self.lock:
            return self._accounts.team(name, zones)

    def on_machine(self, machine: str) -> list[tuple[Job, Allocation]]:
        with self.lock:
            return [pair for pairs in self._by_machine.get(machine, {}).values() for pair in pairs]

    def machines(self) -> set[str]:
        with self.lock:
            return set(self._by_machine)
