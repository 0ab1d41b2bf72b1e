"""Conditional writes of job records, together with their teams' records: several jobs in one transaction."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tidebend.bookkeeping.jobs import JOB, TEAM, Job, JobBook, Usage
from tidebend.protocol import Write
from tidebend.settings import Settings
from tidebend.storage import FINAL, Conflict, Mirror, NoSuchLease, StateClient, Unavailable, Unknown

log = logging.getLogger("ledger")

# a transaction's bytes stay this far below the protocol's 64 KiB: keys, conditions and punctuation come on top
MOST_BYTES = 48 * 1024
# claims leave the rest of a record to what the numbers of done tasks may need while the claims end one by one
CLAIMS_SHARE = 0.75


def packed_bytes(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":")))


@dataclass
class Edit:
    """What is to become of one job; `make` gets the job and its team's usage, None: nothing to write."""

    job: str
    make: Callable[[Job, Usage], Job | None]
    conditions: dict[str, int] = field(default_factory=dict)


@dataclass
class _Batch:
    checks: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Write] = field(default_factory=dict)
    teams: dict[str, Usage] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    edits: list[Edit] = field(default_factory=list)
    bytes: int = 0


class Ledger:
    def __init__(self, settings: Settings, state: StateClient, mirror: Mirror, book: JobBook) -> None:
        self.state = state
        self.mirror = mirror
        self.book = book
        self.value_bytes = settings.state_value_bytes
        # one job alone may need three (its record, its final one, its team's); a transaction must fit our budget
        self.most_writes = max(3, min(settings.state_txn_ops, int(0.5 * state.writes_per_s)))
        self.most_checks = 4 * settings.state_txn_ops

    def fits(self, job: Job) -> bool:
        """Whether a record with these claims leaves room for what is still to come."""
        return packed_bytes(job.pack()) <= CLAIMS_SHARE * self.value_bytes

    def change(self, name: str, make: Callable[[Job, Usage], Job | None], conditions: dict[str, int],
               patience: float = 1.0) -> Job | None:
        """One job's edit; None if there was nothing to write, or a condition failed."""
        return self.change_all([Edit(name, make, conditions)], patience).get(name)

    def change_all(self, edits: list[Edit], patience: float = 1.0, tries: int = 4) -> dict[str, Job]:
        """Write what the edits make of their jobs if nothing that they were made from has changed.

        A team's record moves by just what its jobs' claims add, in the same transaction. Raises Unavailable or
        Unknown; after Unknown the cache has been brought up to a later read, or that has failed too.
        """
        changed: dict[str, Job] = {}
        left = list(edits)
        most = self.most_writes
        while left and tries:
            batch, left = self._gather(left, most)
            if not batch.writes:
                continue
            writes = list(batch.writes.values())
            try:
                revision = self.state.transact(batch.checks, writes, "claim", patience)
            except Conflict as conflict:
                log.debug("conflict over %s", conflict)
                tries -= 1
                failed = set(conflict.keys)
                # a failed condition of the caller's own can't be mended here; what else failed is made anew, after
                # a read, in smaller transactions that have less to collide with
                left = [edit for edit in batch.edits if not failed & set(edit.conditions)] + left
                most = max(3, most // 2)
                if left and not self.mirror.barrier(self.state.timeout, "claim"):
                    raise Unavailable("no read after a conflict") from conflict
                continue
            except Unknown:
                # may have happened, or may still: a read shows which, and a later arrival fails on its conditions
                self.mirror.barrier(self.state.timeout, "claim")
                raise
            except NoSuchLease as error:
                raise Unavailable("no such lease") from error
            self.mirror.apply([(key, value, revision) for key, value, _ in writes])
            changed.update(batch.jobs)
        return changed

    def _gather(self, edits: list[Edit], most: int) -> tuple[_Batch, list[Edit]]:
        """As many edits as one transaction holds, and the rest."""
        batch = _Batch()
        for number, edit in enumerate(edits):
            with self.book.lock:
                job = self.book.get(edit.job)
                if job is None or edit.job in batch.jobs:
                    continue
                team = job.spec.team
                usage = batch.teams.get(team) or self.book.team(team)
            new = edit.make(job, usage)
            if new is None or new == job:
                continue
            checks = {JOB + edit.job: job.version, **edit.conditions}
            over = not new.claims and (new.cancelled or new.complete)
            if over:
                after = usage.without(job.spec, job.charged)
                writes: list[Write] = [
                    (JOB + edit.job, None, None),
                    (FINAL + edit.job, "cancelled" if new.cancelled else "done", None)]
                size = 0
            else:
                after = usage.plus(new.spec, new.charged - job.charged)
                value = new.pack()
                size = packed_bytes(value)
                if size > self.value_bytes:
                    log.error("job %s: its record would be too long", edit.job)
                    continue
                writes = [(JOB + edit.job, value, None)]
            charged = after.charged != usage.charged
            if charged:
                checks[TEAM + team] = usage.version
                writes.append((TEAM + team, after.pack(), None))
            if batch.writes and (len({*batch.writes, *(key for key, _, _ in writes)}) > most
                                 or len(batch.checks.keys() | checks.keys()) > self.most_checks
                                 or batch.bytes + size > MOST_BYTES):
                return batch, edits[number:]
            batch.checks.update(checks)
            batch.writes.update((write[0], write) for write in writes)
            if charged:
                batch.teams[team] = after
            batch.jobs[edit.job] = new
            batch.edits.append(edit)
            batch.bytes += size
        return batch, []
