"""Jobs as recorded in the state service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from tidebend.cluster_state.allocations import Claim, pack_claims, unpack_claims
from tidebend.cluster_state.record_chunks import Part, Parts, clipped
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
    claims: tuple[Claim, ...] = ()
    awaits: tuple[str, ...] = ()  # jobs to be done before any task starts; none once the first claim is recorded
    ready: float | None = None  # time of day at which the last of them was done
    held: bool = False  # one of them isn't known to be done: derived from their final records, never recorded
    parts: Parts | None = None  # of a job that is too large for one record

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
        return 0 if self.cancelled or self.held else self.all_tasks & ~self.done & ~self.claimed

    @property
    def since(self) -> float:
        """When it could first have started."""
        return self.submitted if self.ready is None else self.ready

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
        return replace(self, claims=self.claims + tuple(added), started=self.started + 1, awaits=())

    def places(self, machines: Iterable[str]) -> dict[tuple[str, int, int], int]:
        """Its tasks on some machines, by (machine, session, attempt); a claim over several parts is in each of them."""
        found: dict[tuple[str, int, int], int] = {}
        for claim in self.claims:
            if claim.machine in machines:
                key = (claim.machine, claim.session, claim.attempt)
                found[key] = found.get(key, 0) | claim.tasks
        return found

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

    @property
    def key(self) -> str:
        return (HEAD if self.awaits or self.ready is not None or self.parts else JOB) + self.id

    def pack(self) -> dict[str, Any]:
        """The record under `key`: under JOB just what the version before pipelines writes."""
        value: dict[str, Any] = {"spec": self.spec.pack(), "at": round(self.submitted, 3)}
        if self.cancelled:
            value["cancelled"] = 1
        if self.awaits:
            value["awaits"] = list(self.awaits)  # that they are done is for their final records to say
        elif self.ready is not None:
            value["ready"] = round(self.ready, 3)
        if self.parts:
            value["parts"] = self.parts.pack()
            return value
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
        return Job(
            name,
            version,
            JobSpec.unpack(value["spec"]),
            value["at"],
            bool(value.get("cancelled")),
            value.get("started", 0),
            value.get("ended", 0),
            from_text(value.get("done", "")),
            unpack_claims(value.get("claims", ())),
            tuple(value.get("awaits", ())),
            value.get("ready"),
            bool(value.get("awaits")),
            Parts.unpack(value["parts"]) if "parts" in value else None,
        )

    # In parts

    def assembled(self, known: dict[int, Part]) -> Job:
        """The job of a head with its parts' records."""
        parts = self.parts
        assert parts is not None
        rows = tuple((number, known[number]) for number in sorted(known) if parts.opened >> number & 1)
        done = 0
        if not self.cancelled:  # what of a cancelled job is closed need not have been done
            for number in members(parts.closed):
                done |= parts.mask(number)
        claims: tuple[Claim, ...] = ()
        for _, part in rows:
            done |= part.done
            claims += part.claims
        return replace(
            self,
            parts=replace(parts, rows=rows),
            done=done & self.all_tasks,
            claims=claims,
            started=max([parts.started, *(part.started for _, part in rows)]),
            ended=parts.ended + sum(part.ended for _, part in rows),
        )

    def touched(self, before: Job) -> list[int]:
        """The parts in which claims or done tasks differ."""
        assert self.parts is not None
        tasks = self.done ^ before.done
        for claim in set(self.claims) ^ set(before.claims):
            tasks |= claim.tasks
        return self.parts.numbers(tasks)

    def part_of(self, number: int, before: Job) -> Part:
        """A part's record as it follows from the whole job; `before` is the job that this one was made from."""
        assert self.parts is not None
        mask = self.parts.mask(number)
        old = dict(before.parts.rows).get(number, Part()) if before.parts else Part()
        claims = clipped(self.claims, mask)
        left = {(claim.machine, claim.session, claim.attempt): claim.tasks for claim in claims}
        gone = sum(
            (claim.tasks & ~left.get((claim.machine, claim.session, claim.attempt), 0)).bit_count()
            for claim in old.claims
        )
        started = max([old.started, *(claim.attempt for claim in claims)])
        return Part(old.version, started, old.ended + gone, self.done & mask, claims)

    def is_over(self, number: int, part: Part) -> bool:
        """Whether a part needs no record any more."""
        assert self.parts is not None
        return not part.claims and (self.cancelled or part.done == self.parts.mask(number) & self.all_tasks)

    def without_parts(self, numbers: list[int]) -> Job:
        """Those parts are closed: all their tasks are done, or the job is cancelled and none holds a place."""
        parts = self.parts
        assert parts is not None
        bits = sum(1 << number for number in numbers)
        gone = [part for number, part in parts.rows if number in numbers]
        return replace(
            self,
            parts=replace(
                parts,
                opened=parts.opened & ~bits,
                closed=parts.closed | bits,
                ended=parts.ended + sum(part.ended for part in gone),
                started=max([parts.started, *(part.started for part in gone)]),
                rows=tuple(row for row in parts.rows if row[0] not in numbers),
            ),
        )
