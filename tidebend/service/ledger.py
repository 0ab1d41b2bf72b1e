"""Conditional writes of job records, together with their teams' usage."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable

from tidebend.bookkeeping.jobs import JOB, TEAM, Job, JobBook, Usage
from tidebend.protocol import Write
from tidebend.storage import FINAL, Conflict, Mirror, NoSuchLease, StateClient, Unavailable, Unknown

log = logging.getLogger("ledger")


class Ledger:
    def __init__(self, state: StateClient, mirror: Mirror, book: JobBook, value_bytes: int) -> None:
        self.state = state
        self.mirror = mirror
        self.book = book
        self.value_bytes = value_bytes

    def change(self, name: str, edit: Callable[[Job, Usage], Job | None], conditions: dict[str, int],
               patience: float = 1.0, tries: int = 4) -> Job | None:
        """Write `edit`'s result if nothing it was made from has changed; None if there was nothing to write.

        The team's usage moves by just what the job's claims move by, in the same transaction. Raises Unavailable
        or Unknown; after Unknown the cache has been brought up to a later read, or that has failed too.
        """
        for _ in range(tries):
            with self.book.lock:
                job = self.book.get(name)
                usage = self.book.team(job.spec.team) if job else Usage()
            if job is None:
                return None
            new = edit(job, usage)
            if new is None or new == job:
                return None
            writes: list[Write] = []
            checks = {JOB + name: job.version, **conditions}
            over = not new.claims and (new.cancelled or new.complete)
            if over:
                writes = [(JOB + name, None, None), (FINAL + name, "done" if new.complete else "cancelled", None)]
            else:
                value = new.pack()
                if len(json.dumps(value, separators=(",", ":"))) > self.value_bytes:
                    log.error("job %s: its record would be too long", name)
                    return None
                writes = [(JOB + name, value, None)]
            moved = new.running - job.running
            if moved:
                after = usage.plus(new.spec, moved)
                checks[TEAM + new.spec.team] = usage.version
                writes.append((TEAM + new.spec.team, after.pack(), None))
            try:
                revision = self.state.transact(checks, writes, "claim", patience)
            except Conflict as conflict:
                log.debug("job %s: conflict over %s", name, conflict)
                if any(key in conditions for key in conflict.keys):
                    return None
                if not self.mirror.barrier(self.state.timeout, "claim"):
                    raise Unavailable("no read after a conflict") from conflict
                continue
            except Unknown:
                # may have happened, or may still: a read shows which, and a later arrival fails on its conditions
                self.mirror.barrier(self.state.timeout, "claim")
                raise
            except NoSuchLease as error:
                raise Unavailable("no such lease") from error
            self.mirror.apply([(key, value, revision) for key, value, _ in writes])
            return new
        return None
