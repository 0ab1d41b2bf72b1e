"""The users' API: submissions, polls and cancellations."""

from __future__ import annotations

import json
import logging
import time
from collections.abc import Callable
from dataclasses import replace

from tidebend import protocol
from tidebend.cluster_state.job_cache import JobCache, unpack_final
from tidebend.cluster_state.job_records import HEAD, JOB, Job
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.records.record_limits import packed_bytes
from tidebend.coordination.schema_version import FORMAT, SchemaVersion
from tidebend.kvclient import (
    FINAL,
    ConflictError,
    KeyValueClient,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    WatchCache,
)
from tidebend.protocol import Invalid, JobSpec, MachineType
from tidebend.settings import Settings
from tidebend.transport import BadRequest, Reply

log = logging.getLogger("users")

LATER = {"Retry-After": "1"}
# each cause of 503 is logged no more often than this
SAID_AGAIN_S = 10.0
# the names of what a job waits for take no more than this share of its record
AWAITS_SHARE = 0.35


_said: dict[str, float] = {}  # cause -> steady time at which the log last told it


def unavailable_reply(text: str) -> Reply:
    """503 with its cause, which the log tells once in a while."""
    now = time.monotonic()
    if now - _said.get(text, -1e9) > SAID_AGAIN_S:
        _said[text] = now
        log.info("503: %s", text)
    return Reply(503, {"error": text}, LATER)


def parse_body(raw: bytes) -> object:
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise BadRequest("not JSON") from error


class JobApi:
    def __init__(
        self,
        settings: Settings,
        state: KeyValueClient,
        cache: WatchCache,
        job_cache: JobCache,
        job_writer: JobWriter,
        schema_version: SchemaVersion,
        types: Callable[[], dict[str, MachineType]],
        wake: Callable[[], None],
        look_up_finals: Callable[[list[str], str], None],
    ) -> None:
        self.settings = settings
        self.state = state
        self.cache = cache
        self.job_cache = job_cache
        self.job_writer = job_writer
        self.schema_version = schema_version
        self.types = types
        self.wake = wake
        self._look_up_finals = look_up_finals
        # users wait 2 s for an answer to a poll
        self.read_s = min(1.2, 2 * state.timeout)

    def _known(self, name: str) -> Reply | None:
        """What the cache says of a job; the one place where that becomes an answer. None: it knows nothing of it."""
        final = self.job_cache.final(name)
        if final is not None:
            return Reply(200, protocol.job_answer(name, final))
        job = self.job_cache.get(name)
        if job is None:
            # guards against a job that ended between the two looks
            final = self.job_cache.final(name)
            return None if final is None else Reply(200, protocol.job_answer(name, final))
        if job.complete:
            return Reply(200, protocol.job_answer(job.id, "done", job.spec.tasks, 0))
        running = job.running
        return Reply(
            200, protocol.job_answer(job.id, "running" if running else "queued", job.done.bit_count(), running)
        )

    def find(self, name: str) -> Reply | None:
        """The job's state by a read begun after this call (finals by the cache); None: never submitted."""
        if self.job_cache.final(name) is None:
            if not self.cache.loaded.is_set() or not self.cache.barrier(self.read_s):
                raise NotExecutedError("no state read")
            self._look_up_finals(self.job_cache.unresolved(name), "poll")
        known = self._known(name)
        if known is None:
            value, _ = self.state.get(FINAL + name)
            if value is None:
                return None
            self.job_cache.remember_final(name, value)
            known = Reply(200, protocol.job_answer(name, unpack_final(value)[0]))
        return known

    def _refused(self, name: str, status: int, text: str) -> Reply:
        """What was once accepted is never refused, whatever a repeat's body says and whatever is known by now."""
        return self.find(name) or Reply(status, {"error": text})

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
        except Invalid as error:
            return Reply(400, {"error": str(error)})
        try:
            if self._known(name):
                reply = self.find(name)
                if reply is not None:
                    return reply
            try:
                spec, dependencies = protocol.parse_job(body), protocol.parse_dependencies(body)
            except Invalid as error:
                return self._refused(name, 400, str(error))
            if not self.types() or not self.cache.loaded.is_set():
                return unavailable_reply("not ready to decide")
            if dependencies and not self.schema_version.pipelines:
                # a process of the version before would start it at once
                return unavailable_reply("not all controllers know pipelines yet")
            job = self.job_writer.record_limits.in_recorded_form(Job(name, 0, spec, came, dependencies=dependencies))
            if (
                dependencies
                and packed_bytes(dependencies) > AWAITS_SHARE * self.job_writer.record_limits.max_value_bytes
            ):
                return self._refused(name, 400, "awaits names more jobs than a record holds")
            never = (
                self._undecidable(spec)
                or (self.schema_version.pipelines and self.job_writer.record_limits.reason_never_fits(job))
                or self._never_accepted(dependencies)
            )
            if never:
                return self._refused(name, 422, never)
            value = job.pack()
            # a job that is kept has one record or the other
            conditions = {JOB + name: 0, HEAD + name: 0, FINAL + name: 0}
            if job.key != JOB + name:
                conditions[FORMAT] = self.cache.get(FORMAT)[1]
            try:
                self.cache.write(conditions, [(job.key, value, None)], "submit", patience=0.3)
            except ConflictError:
                return self.find(name) or unavailable_reply("try again")
            except OutcomeUnknownError:
                return self.find(name) or unavailable_reply("the state service didn't answer")
            self.wake()
            # by now others may have cancelled it, or it may be over
            known = self._known(name) or self.find(name)
        except (NotExecutedError, OutcomeUnknownError, LeaseNotFoundError) as error:
            if str(error).startswith("over"):
                return Reply(429, {"error": "too many requests"}, LATER)
            return unavailable_reply("the state service can't be reached")
        return Reply(201, known.body) if known else unavailable_reply("try again")

    def _never_accepted(self, names: tuple[str, ...]) -> str | None:
        """Whether a job that is to be waited for can't be; that it was accepted holds for ever, its absence needs a
        read begun after the request came."""
        for name in names:
            job = self.job_cache.get(name)
            if job is not None and job.spec.kind == "service":
                return f"awaits: {name} is a service"
            if job is None and self.job_cache.final(name) is None and self.find(name) is None:
                return f"awaits: {name} was never accepted"
        return None

    def poll(self, name: str) -> Reply:
        if not protocol.is_job_id(name):
            return Reply(404, {"error": "no such job"})
        try:
            return self.find(name) or Reply(404, {"error": "no such job"})
        except (NotExecutedError, OutcomeUnknownError):
            return unavailable_reply("the state service can't be reached")

    def cancel(self, name: str) -> Reply:
        if not protocol.is_job_id(name):
            return Reply(404, {"error": "no such job"})
        try:
            found = self.find(name)
            if found is None:
                return Reply(404, {"error": "no such job"})
            if found.body["tide"] in ("done", "withdrawn"):
                return found
            self.job_writer.change(name, lambda job, _: None if job.complete else replace(job, cancelled=True), {})
            known = self._known(name)
            if known is not None and known.body["tide"] in ("done", "withdrawn"):
                self.wake()
                return known
            return unavailable_reply("try again")
        except (NotExecutedError, OutcomeUnknownError):
            return unavailable_reply("the state service can't be reached")
