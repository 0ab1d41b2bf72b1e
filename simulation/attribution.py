"""Which processes sent, answered or recorded what broke a rule, to tell faults of two versions apart.

A world that starts with a former version is upgraded while it breaks rules. What only processes of the former version
did can't be prevented by the current one; whatever a process of the current version took part in may be its own fault.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from simulation.checker import FINAL_STATES, FoundBreach
from simulation.provenance import Process, Source
from tidebend.cluster_state.final_states import unpack_final
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.kvclient import FINAL

# broken by tasks on machines; by final states that contradict others or the tasks
RULES_OF_TASKS = ("ran_twice", "quota", "wrong_place", "ran_cancelled", "too_early")
RULES_OF_FINAL_STATES = ("went_back", "not_done", "orphaned")
SHARD_PREFIX = "tidebend/live/block/"
# final states as the records name them, and as users are told
STATE_TOLD = {"done": "done", "cancelled": "withdrawn"}


@dataclass(frozen=True)
class Involvement:
    """Something that a process did and that led to a breach."""

    process: Process
    at: float  # virtual time in seconds
    action: str

    def __str__(self) -> str:
        version = "current" if self.process.is_current else "former"
        return f"{self.at:.1f} {self.process.node} ({version}) {self.action}"


@dataclass(frozen=True)
class AttributedBreach:
    """A breach with the processes involved."""

    breach: FoundBreach
    involved: tuple[Involvement, ...]

    @property
    def by_current(self) -> bool:
        """Whether a process of the current version took part; also if nothing tells who did."""
        return not self.involved or any(row.process.is_current for row in self.involved)


@dataclass(frozen=True)
class Run:
    """An attempt of a task that is on its machine."""

    task: str
    attempt: int
    machine: str
    zone: str
    since: float

    @property
    def job(self) -> str:
        """The job's id."""
        return self.task.partition("/")[0]

    @property
    def task_bit(self) -> int:
        """The bit of the task in the bitmaps of its job's record."""
        return 1 << int(self.task.partition("/")[2])


def attribute(world: Any, breaches: Iterable[FoundBreach]) -> list[AttributedBreach]:
    """Return the breaches of a world with the processes involved in each."""
    judge = _Judge(world)
    return [AttributedBreach(breach, tuple(judge.involved(breach))) for breach in breaches]


class _Judge:
    """Finds the processes that are involved in breaches of one world."""

    def __init__(self, world: Any) -> None:
        self.world, self.log, self.provenance = world, world.log, world.provenance

    def involved(self, breach: FoundBreach) -> Iterator[Involvement]:
        """Yield what processes did that led to a breach; nothing if it follows from the end of the world."""
        if breach.place is None:
            return
        if breach.rule in RULES_OF_TASKS:
            for run in self._runs_that_broke(breach):
                yield from self._who_let_run(run, breach)
            if breach.rule == "ran_cancelled":
                yield from self._who_held_back_stops(breach)
        else:
            yield from self._who_answered(breach)
            if breach.rule in RULES_OF_FINAL_STATES:
                yield from self._who_recorded_final_state(breach)

    # Breaches by tasks on machines

    def _runs_at(self, place: int) -> list[Run]:
        """Return what is on machines once the log's row at `place` has happened."""
        runs: dict[tuple[str, str], Run] = {}
        for row in self.log[: place + 1]:
            if row[1] == "on":
                runs[row[2], row[4]] = Run(row[2], row[3], row[4], row[5], row[0])
            elif row[1] == "off":
                runs.pop((row[2], row[4]), None)
        return list(runs.values())

    def _runs_that_broke(self, breach: FoundBreach) -> list[Run]:
        """Return the runs that break the rule: those that no record allows, if there are any.

        Otherwise all that the rule is about, or the one that completes the breach.
        """
        runs = self._runs_at(breach.place)
        row = self.log[breach.place]
        latest = [run for run in runs if row[1] == "on" and (run.task, run.machine) == (row[2], row[4])]
        if breach.rule == "ran_cancelled":
            return [run for run in runs if breach.subject in (run.task, run.job)]
        if breach.rule == "ran_twice":
            related = [run for run in runs if run.task == breach.subject]
        elif breach.rule == "quota":
            related = [run for run in runs if self.world.jobs[run.job]["crew"] == breach.subject]
        elif breach.rule == "wrong_place":
            related = [run for run in runs if run.job == latest[0].job]
        else:
            related = latest
        unrecorded = [run for run in related if not self._is_on_record(run, breach.at)]
        return unrecorded or (related if breach.rule == "ran_twice" else latest)

    def _records(self, job: str, until: float) -> Iterator[tuple[Any, Job | None]]:
        """Yield the changes of a job's record with what they wrote; None if it was deleted."""
        keys = (JOB_PREFIX + job, HEAD_PREFIX + job)
        for write in self.provenance.writes:
            if write.key in keys and write.at <= until:
                yield write, None if write.value is None else Job.unpack(job, write.value, 1)

    def _is_on_record(self, run: Run, until: float) -> bool:
        records = [record for _, record in self._records(run.job, until)]
        return bool(records) and records[-1] is not None and _allocates(records[-1], run)

    def _who_let_run(self, run: Run, breach: FoundBreach) -> Iterator[Involvement]:
        what = f"{run.task} attempt {run.attempt} on {run.machine}"
        starts = self.provenance.starts.get((run.machine, run.task, run.attempt), [])
        for start in [start for start in starts if start.at <= run.since][-1:]:
            text = f"sent the start of {what}, token {start.token}, executed at {start.at:.1f}"
            yield from _by(start.source, f"{text} ({start.source.way})" if start.source else text)
        for row in self.provenance.forgotten:
            same = (row.machine, row.task, row.attempt) == (run.machine, run.task, run.attempt)
            if same and row.at <= breach.at:
                yield from _by(row.source, f"let {what} be forgotten at {row.at:.1f}")
        was_allocated = False
        for write, record in self._records(run.job, breach.at):
            is_allocated = record is not None and _allocates(record, run)
            if is_allocated != was_allocated:
                recorded = "the allocation" if is_allocated else "the end"
                yield from _by(write.source, f"recorded {recorded} of {what} at {write.at:.1f}")
            was_allocated = is_allocated

    def _who_held_back_stops(self, breach: FoundBreach) -> Iterator[Involvement]:
        """Yield the holders of the shards in which a cancelled job's tasks should have been stopped."""
        for zone in sorted({run.zone for run in self._runs_that_broke(breach)}):
            holder = None
            for write in self.provenance.writes:
                if write.key == f"{SHARD_PREFIX}{zone}.0" and write.at <= breach.at:
                    holder = write.value and write.value["holder"]
            if holder is not None:
                yield Involvement(self._process_at(holder, breach.at), breach.at, f"held the shard of {zone}")

    def _process_at(self, node: str, at: float) -> Process:
        upgraded_at = self.provenance.upgraded_at.get(node)
        is_current = self.world.process(node).is_current if upgraded_at is None else at >= upgraded_at
        return Process(node, is_current)

    # Breaches by answers

    def _final_records(self, job: str) -> Iterator[tuple[Any, str]]:
        """Yield the changes of a job's final record with the state that users are told by it."""
        for write in self.provenance.writes:
            if write.key == FINAL + job and write.value is not None:
                yield write, STATE_TOLD[unpack_final(write.value).state]

    def _who_answered(self, breach: FoundBreach) -> Iterator[Involvement]:
        """Yield who gave the first final answer, and who gave the answer that breaks the rule.

        An answer in accordance with the final record isn't at fault: whoever wrote the record is.
        """
        row = self.log[breach.place]
        if row[1] != "told":
            return
        recorded = {state for _, state in self._final_records(breach.subject)}
        if breach.rule == "went_back":
            for earlier in self.log[: breach.place]:
                if earlier[1] == "told" and earlier[3] == breach.subject and earlier[5] in FINAL_STATES:
                    yield _answer(earlier, "first")
                    break
        if row[5] not in recorded:
            yield _answer(row, "then")

    def _who_recorded_final_state(self, breach: FoundBreach) -> Iterator[Involvement]:
        for write, state in self._final_records(breach.subject):
            yield from _by(write.source, f"recorded {breach.subject} as {state} at {write.at:.1f}")


def _allocates(record: Job, run: Run) -> bool:
    return any(
        (allocation.machine, allocation.attempt) == (run.machine, run.attempt) and allocation.tasks & run.task_bit
        for allocation in record.allocations
    )


def _by(source: Source | None, action: str) -> Iterator[Involvement]:
    if source is not None:
        yield Involvement(source.process, source.sent_at, action)


def _answer(row: Any, order: str) -> Involvement:
    at, _, action, job, status, state, _, node, is_current = row
    return Involvement(Process(node, is_current), at, f"{order} answered a {action} for {job}: {status} {state}")
