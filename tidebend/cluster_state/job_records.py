"""Jobs as recorded in the state service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from tidebend.cluster_state.allocations import Allocation, pack_allocations, restrict_to, unpack_allocations
from tidebend.cluster_state.record_chunks import Chunk, ChunkIndex
from tidebend.cluster_state.task_bitmap import from_text, interval, members, to_text
from tidebend.kvclient import LIVE
from tidebend.protocol import JobSpec

# a job as the version before pipelines writes and reads it
JOB = LIVE + "job/"
# a job that waits or waited for others, or is kept in parts
HEAD = LIVE + "head/"


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
    allocations: tuple[Allocation, ...] = ()
    dependencies: tuple[str, ...] = ()  # jobs to be done before any task starts; none once the first claim is recorded
    ready: float | None = None  # time of day at which the last of them was done
    blocked: bool = False  # one of them isn't known to be done: derived from their final records, never recorded
    chunks: ChunkIndex | None = None  # of a job that is too large for one record

    @property
    def claimed(self) -> int:
        mask = 0
        for allocation in self.allocations:
            mask |= allocation.tasks
        return mask

    @property
    def all_tasks(self) -> int:
        return interval(0, self.spec.tasks - 1)

    @property
    def pending(self) -> int:
        return 0 if self.cancelled or self.blocked else self.all_tasks & ~self.done & ~self.claimed

    @property
    def since(self) -> float:
        """When it could first have started."""
        return self.submitted if self.ready is None else self.ready

    @property
    def complete(self) -> bool:
        return self.done == self.all_tasks

    @property
    def running(self) -> int:
        return sum(allocation.tasks.bit_count() for allocation in self.allocations)

    @property
    def charged(self) -> int:
        """Tasks that the team's record counts for this job: all that it has ever claimed."""
        return self.ended + self.running

    def per_zone(self) -> dict[str, int]:
        zones: dict[str, int] = {}
        for allocation in self.allocations:
            zones[allocation.zone] = zones.get(allocation.zone, 0) + allocation.tasks.bit_count()
        return zones

    def with_claims(self, added: Iterable[Allocation]) -> Job:
        return replace(self, allocations=self.allocations + tuple(added), started=self.started + 1, dependencies=())

    def places(self, machines: Iterable[str]) -> dict[tuple[str, int, int], int]:
        """Its tasks on some machines, by (machine, session, attempt); a claim over several parts is in each of them."""
        found: dict[tuple[str, int, int], int] = {}
        for allocation in self.allocations:
            if allocation.machine in machines:
                key = (allocation.machine, allocation.session, allocation.attempt)
                found[key] = found.get(key, 0) | allocation.tasks
        return found

    def without(self, ended: dict[tuple[str, int, int], int], done: int) -> Job:
        """Some claims' tasks ended; `ended` maps (machine, session, attempt) to a bitmap."""
        allocations = []
        for allocation in self.allocations:
            gone = ended.get((allocation.machine, allocation.session, allocation.attempt), 0)
            if not allocation.tasks & gone:
                allocations.append(allocation)
            elif allocation.tasks & ~gone:
                allocations.append(replace(allocation, tasks=allocation.tasks & ~gone))
        new = replace(self, allocations=tuple(allocations), done=self.done | done)
        return replace(new, ended=self.ended + self.running - new.running)

    @property
    def key(self) -> str:
        return (HEAD if self.dependencies or self.ready is not None or self.chunks else JOB) + self.id

    def pack(self) -> dict[str, Any]:
        """The record under `key`: under JOB just what the version before pipelines writes."""
        value: dict[str, Any] = {"spec": self.spec.pack(), "at": round(self.submitted, 3)}
        if self.cancelled:
            value["cancelled"] = 1
        if self.dependencies:
            value["awaits"] = list(self.dependencies)  # that they are done is for their final records to say
        elif self.ready is not None:
            value["ready"] = round(self.ready, 3)
        if self.chunks:
            value["parts"] = self.chunks.pack()
            return value
        if self.started:
            value["started"] = self.started
        if self.ended:
            value["ended"] = self.ended
        if self.done:
            value["done"] = to_text(self.done)
        if self.allocations:
            value["claims"] = pack_allocations(self.allocations)
        return value

    @staticmethod
    def unpack(name: str, value: dict[str, Any], version: int) -> Job:
        return Job(
            name,
            version,
            JobSpec.unpack(value["spec"]),
            value["at"],
            bool(value.get("cancelled")),
            value.get("started", 0),
            value.get("ended", 0),
            from_text(value.get("done", "")),
            unpack_allocations(value.get("claims", ())),
            tuple(value.get("awaits", ())),
            value.get("ready"),
            bool(value.get("awaits")),
            ChunkIndex.unpack(value["parts"]) if "parts" in value else None,
        )

    # In parts

    def assembled(self, known: dict[int, Chunk]) -> Job:
        """The job of a head with its parts' records."""
        chunks = self.chunks
        assert chunks is not None
        rows = tuple((number, known[number]) for number in sorted(known) if chunks.opened >> number & 1)
        done = 0
        if not self.cancelled:  # what of a cancelled job is closed need not have been done
            for number in members(chunks.closed):
                done |= chunks.mask(number)
        allocations: tuple[Allocation, ...] = ()
        for _, chunk in rows:
            done |= chunk.done
            allocations += chunk.allocations
        return replace(
            self,
            chunks=replace(chunks, rows=rows),
            done=done & self.all_tasks,
            allocations=allocations,
            started=max([chunks.started, *(chunk.started for _, chunk in rows)]),
            ended=chunks.ended + sum(chunk.ended for _, chunk in rows),
        )

    def touched(self, before: Job) -> list[int]:
        """The parts in which claims or done tasks differ."""
        assert self.chunks is not None
        tasks = self.done ^ before.done
        for allocation in set(self.allocations) ^ set(before.allocations):
            tasks |= allocation.tasks
        return self.chunks.numbers(tasks)

    def chunk_of(self, number: int, before: Job) -> Chunk:
        """A part's record as it follows from the whole job; `before` is the job that this one was made from."""
        assert self.chunks is not None
        mask = self.chunks.mask(number)
        old = dict(before.chunks.rows).get(number, Chunk()) if before.chunks else Chunk()
        allocations = restrict_to(self.allocations, mask)
        left = {
            (allocation.machine, allocation.session, allocation.attempt): allocation.tasks for allocation in allocations
        }
        gone = sum(
            (allocation.tasks & ~left.get((allocation.machine, allocation.session, allocation.attempt), 0)).bit_count()
            for allocation in old.allocations
        )
        started = max([old.started, *(allocation.attempt for allocation in allocations)])
        return Chunk(old.version, started, old.ended + gone, self.done & mask, allocations)

    def is_over(self, number: int, chunk: Chunk) -> bool:
        """Whether a part needs no record any more."""
        assert self.chunks is not None
        return not chunk.allocations and (self.cancelled or chunk.done == self.chunks.mask(number) & self.all_tasks)

    def without_chunks(self, numbers: list[int]) -> Job:
        """Those parts are closed: all their tasks are done, or the job is cancelled and none holds a place."""
        chunks = self.chunks
        assert chunks is not None
        bits = sum(1 << number for number in numbers)
        gone = [chunk for number, chunk in chunks.rows if number in numbers]
        return replace(
            self,
            chunks=replace(
                chunks,
                opened=chunks.opened & ~bits,
                closed=chunks.closed | bits,
                ended=chunks.ended + sum(chunk.ended for chunk in gone),
                started=max([chunks.started, *(chunk.started for chunk in gone)]),
                rows=tuple(row for row in chunks.rows if row[0] not in numbers),
            ),
        )
