"""The users' API: submissions, polls and cancellations."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable
from dataclasses import replace

from tidebend import protocol
from tidebend.bookkeeping.jobs import JOB, Job, JobBook
from tidebend.protocol import Invalid, JobSpec, MachineType
from tidebend.service.ledger import Ledger
from tidebend.settings import Settings
from tidebend.storage import FINAL, Conflict, Mirror, NoSuchLease, StateClient, Unavailable, Unknown
from tidebend.transport import BadRequest, Reply

log = logging.getLogger("users")

LATER = {"Retry-After": "1"}


def unsure(text: str) -> Reply:
    return Reply(503, {"error": text}, LATER)


def parse_body(raw: bytes) -> object:
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise BadRequest("not JSON") from error


class Users:
    def __init__(self, settings: Settings, state: StateClient, mirror: Mirror, book: JobBook, ledger: Ledger,
                 types: Callable[[], dict[str, MachineType]], wake: Callable[[], None]) -> None:
        self.settings = settings
        self.state = state
        self.mirror = mirror
        self.book = book
        self.ledger = ledger
        self.types = types
        self.wake = wake
        # users wait 2 s for an answer to a poll
        self.read_s = min(1.2, 2 * state.timeout)

    def _answer(self, job: Job) -> Reply:
        if job.cancelled:
            return Reply(200, protocol.job_answer(job.id, "cancelled"))
        if job.complete:
            return Reply(200, protocol.job_answer(job.id, "done", job.spec.tasks, 0))
        running = job.running
        return Reply(200, protocol.job_answer(job.id, "running" if running else "queued", job.done.bit_count(),
                                              running))

    def find(self, name: str) -> Reply | None:
        """The job's state by a read begun after this call (finals by the cache); None: never submitted."""
        final = self.book.final(name)
        if final is None:
            if not self.mirror.loaded.is_set() or not self.mirror.barrier(self.read_s):
                raise Unavailable("no state read")
            job = self.book.get(name)
            if job is not None:
                return self._answer(job)
            final = self.book.final(name)
        if final is None:
            final, _ = self.state.get(FINAL + name)
            if final is None:
                return None
            self.book.remember_final(name, final)
        return Reply(200, protocol.job_answer(name, final))

    def _undecidable(self, spec: JobSpec) -> str | None:
        """Why a job can never run, if it can't."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return "crew: unknown team"
        if not any(kind.fits(spec) for kind in self.types().values()):
            return "no allowed machine type fits a task"
        tasks = 1 if spec.kind == "array" else spec.tasks
        if not team.allows(spec.cpus * tasks, spec.gpus * tasks):
            return "more than the team's limit"
        return None

    def submit(self, raw: bytes) -> Reply:
        came = time.time()
        body = parse_body(raw)
        try:
            name = protocol.job_id(body)
            if self.book.final(name) or self.book.get(name):
                reply = self.find(name)
                if reply is not None:
                    return reply
            spec = protocol.parse_job(body)
            if not self.types() or not self.mirror.loaded.is_set():
                return unsure("not ready to decide")
            never = self._undecidable(spec)
            if never is not None:
                return self.find(name) or Reply(422, {"error": never})
            job = Job(name, 0, spec, came)
            value = job.pack()
            try:
                revision = self.state.transact({JOB + name: 0, FINAL + name: 0}, [(JOB + name, value, None)],
                                               "submit", patience=0.3)
            except Conflict:
                return self.find(name) or unsure("try again")
            except Unknown:
                return self.find(name) or unsure("the state service didn't answer")
            self.mirror.apply([(JOB + name, value, revision)])
        except Invalid as error:
            return Reply(400, {"error": str(error)})
        except (Unavailable, Unknown, NoSuchLease) as error:
            if str(error).startswith("over"):
                return Reply(429, {"error": "too many requests"}, LATER)
            return unsure("the state service can't be reached")
        self.wake()
        return Reply(201, protocol.job_answer(name, "queued"))

    def poll(self, name: str) -> Reply:
        if not protocol.is_job_id(name):
            return Reply(404, {"error": "no such job"})
        try:
            return self.find(name) or Reply(404, {"error": "no such job"})
        except (Unavailable, Unknown):
            return unsure("the state service can't be reached")

    def cancel(self, name: str) -> Reply:
        if not protocol.is_job_id(name):
            return Reply(404, {"error": "no such job"})
        try:
            found = self.find(name)
            if found is None:
                return Reply(404, {"error": "no such job"})
            if found.body["tide"] in ("done", "withdrawn"):
                return found
            self.ledger.change(name, lambda job, _: None if job.complete else replace(job, cancelled=True), {})
            final = self.book.final(name)
            if final is not None:
                self.wake()
                return Reply(200, protocol.job_answer(name, final))
            job = self.book.get(name)
            if job is not None and job.complete:
                return self._answer(job)
            return unsure("try again")
        except (Unavailable, Unknown):
            return unsure("the state service can't be reached")
