"""The users' API: submitting, polling and cancelling jobs."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

from tidebend import protocol
from tidebend.cluster_state.final_states import unpack_final
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.controller.api.replies import RETRY_LATER, parse_body, unavailable_reply
from tidebend.controller.records.cancellation_sealer import CancellationSealer
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.records.record_limits import packed_bytes
from tidebend.coordination.schema_version import SCHEMA_VERSION_KEY, SchemaVersion
from tidebend.kvclient import (
    FINAL,
    ConflictError,
    KeyValueClient,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    OverBudgetError,
    WatchCache,
)
from tidebend.protocol import InvalidMessageError, JobSpec, MachineType
from tidebend.quota import TeamUsage
from tidebend.settings import Settings
from tidebend.transport import Reply

log = logging.getLogger("api")

# the longest wait for a read of the state service, in seconds: users wait 2 s for the answer to a poll
MAX_READ_S = 1.2
# the time in seconds for which the write of a submission is repeated
SUBMIT_PATIENCE_S = 0.3
# the ids of a job's dependencies take at most this share of its record
DEPENDENCIES_SHARE = 0.35
# the states of a job, as users are told them, that never change
FINAL_STATES = ("done", "withdrawn")


class SubmissionRefusedError(Exception):
    """A submission is invalid or can never be carried out."""

    def __init__(self, status: int, reason: str) -> None:
        """`status` is the HTTP status, `reason` the error that the user is told."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class JobApi:
    """Answers users' requests about jobs.

    An answer reflects a read of the state service that was begun after the request was received, so that it is never
    older than what any controller has answered before.
    """

    def __init__(
        self,
        settings: Settings,
        state: KeyValueClient,
        cache: WatchCache,
        job_cache: JobCache,
        job_writer: JobWriter,
        schema_version: SchemaVersion,
        cancellation_sealer: CancellationSealer,
        machine_types: Callable[[], dict[str, MachineType]],
        wake_scheduler: Callable[[], None],
        look_up_finals: Callable[[list[str], str], None],
    ) -> None:
        """`machine_types` returns the types known so far, by name; for `look_up_finals` see `FinalRecordLookup`."""
        self.settings = settings
        self._state = state
        self._cache = cache
        self._job_cache = job_cache
        self._job_writer = job_writer
        self._schema_version = schema_version
        self._cancellation_sealer = cancellation_sealer
        self._machine_types = machine_types
        self._wake_scheduler = wake_scheduler
        self._look_up_finals = look_up_finals
        self._read_timeout_s = min(MAX_READ_S, 2 * state.timeout)

    # Requests

    def submit(self, raw: bytes) -> Reply:
        """Accept a job: 201 if it is new, 200 with its state if it was accepted before.

        400 and 422 refuse it for good. 429 and 503 don't tell whether it was accepted: the user repeats the request.
        Raises `BadRequestError` if the body isn't JSON.
        """
        received_at = time.time()
        body = parse_body(raw)
        try:
            job_id = protocol.job_id(body)
        except InvalidMessageError as error:
            return Reply(400, {"error": str(error)})
        try:
            return self._submit(job_id, body, received_at)
        except OverBudgetError:
            return Reply(429, {"error": "too many requests"}, RETRY_LATER)
        except (NotExecutedError, OutcomeUnknownError, LeaseNotFoundError):
            return unavailable_reply("the state service can't be reached")

    def poll(self, job_id: str) -> Reply:
        """Return the job's state, with the numbers of done and running tasks as long as they are known."""
        if not protocol.is_job_id(job_id):
            return _no_such_job()
        try:
            return self.find(job_id) or _no_such_job()
        except (NotExecutedError, OutcomeUnknownError):
            return unavailable_reply("the state service can't be reached")

    def cancel(self, job_id: str) -> Reply:
        """Cancel a job that isn't over; 200 with its final state, which a repeated request doesn't change."""
        if not protocol.is_job_id(job_id):
            return _no_such_job()
        try:
            found = self.find(job_id)
            if found is None:
                return _no_such_job()
            if _is_final(found):
                return found
            self._job_writer.write_edit(job_id, _cancelled_unless_done, conditions={})
            answer = self.find(job_id)
            if answer is not None and _is_final(answer):
                log.info("job %s: %s, as of revision %d", job_id, answer.body["tide"], self._cache.revision)
                self._wake_scheduler()
                return answer
            return unavailable_reply("try again")
        except (NotExecutedError, OutcomeUnknownError):
            return unavailable_reply("the state service can't be reached")

    # Reading a job's state

    def find(self, job_id: str) -> Reply | None:
        """Return the job's state by a read begun after this call; None if it was never accepted.

        Final states don't change, so they are answered from the cache: a cancellation once it is sealed. Raises
        `NotExecutedError` or `OutcomeUnknownError`.
        """
        if self._job_cache.final_state(job_id) is None:
            if not self._cache.loaded.is_set() or not self._cache.barrier(self._read_timeout_s):
                raise NotExecutedError("no state read")
            self._look_up_finals(self._job_cache.missing_final_states(job_id), "poll")
        self._cancellation_sealer.seal(job_id)
        answer = self._answer_from_cache(job_id)
        if answer is None:
            value, _ = self._state.get(FINAL + job_id)
            if value is None:
                return None
            self._job_cache.remember_final(job_id, value)
            answer = Reply(200, protocol.job_answer(job_id, unpack_final(value)[0]))
        return answer

    def _answer_from_cache(self, job_id: str) -> Reply | None:
        """Return what the cache knows of a job; None if it knows nothing. All answers about jobs are made here."""
        final = self._job_cache.final_state(job_id)
        if final is not None:
            return Reply(200, protocol.job_answer(job_id, final))
        job = self._job_cache.get(job_id)
        if job is None:
            # the job may have ended between the two look-ups
            final = self._job_cache.final_state(job_id)
            return None if final is None else Reply(200, protocol.job_answer(job_id, final))
        if job.complete:
            return Reply(200, protocol.job_answer(job.id, "done", job.spec.tasks, 0))
        running = job.allocated_count
        state = "running" if running else "queued"
        return Reply(200, protocol.job_answer(job.id, state, job.done.bit_count(), running))

    # The steps of a submission

    def _submit(self, job_id: str, body: Any, received_at: float) -> Reply:
        """Answer a submission; raises the errors of the state service's client."""
        if self._answer_from_cache(job_id):
            answer = self.find(job_id)
            if answer is not None:
                return answer
        try:
            job = self._parse(job_id, body, received_at)
            not_ready = self._reason_not_ready(job)
            if not_ready is not None:
                return unavailable_reply(not_ready)
            job = self._job_writer.record_limits.in_stored_form(job)
            self._check(job)
        except SubmissionRefusedError as refusal:
            # what was accepted once is never refused, whatever the repeated body says and whatever is known by now
            return self.find(job_id) or Reply(refusal.status, {"error": refusal.reason})
        return self._write_new(job)

    @staticmethod
    def _parse(job_id: str, body: Any, received_at: float) -> Job:
        try:
            spec, dependencies = protocol.parse_job(body), protocol.parse_dependencies(body)
        except InvalidMessageError as error:
            raise SubmissionRefusedError(400, str(error)) from error
        return Job(job_id, 0, spec, received_at, dependencies=dependencies)

    def _reason_not_ready(self, job: Job) -> str | None:
        """Return why this controller can't decide on the job yet; None if it can."""
        if not self._machine_types() or not self._cache.loaded.is_set():
            return "not ready to decide"
        if job.dependencies and not self._schema_version.supports_pipelines:
            # a controller of the version before pipelines would start the job at once
            return "not all controllers know pipelines yet"
        return None

    def _check(self, job: Job) -> None:
        """Raise `SubmissionRefusedError` if a job can never be recorded or run."""
        limits = self._job_writer.record_limits
        if job.dependencies and packed_bytes(job.dependencies) > DEPENDENCIES_SHARE * limits.max_value_bytes:
            raise SubmissionRefusedError(400, "awaits names more jobs than a record holds")
        reason = (
            self._reason_never_runs(job.spec)
            or (limits.reason_never_fits(job) if self._schema_version.supports_pipelines else None)
            or self._reason_never_unblocked(job.dependencies)
        )
        if reason:
            raise SubmissionRefusedError(422, reason)

    def _reason_never_runs(self, spec: JobSpec) -> str | None:
        """Return why no task of a job can ever run; None if they can."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return "crew: unknown team"
        if not any(machine_type.fits(spec) for machine_type in self._machine_types().values()):
            return "no allowed machine type fits a task"
        tasks = 1 if spec.kind == "array" else spec.tasks
        if not team.allows(spec.cpus * tasks, spec.gpus * tasks):
            return "more than the team's limit"
        return None

    def _reason_never_unblocked(self, dependencies: tuple[str, ...]) -> str | None:
        """Return why the job's dependencies will never all be done; None if they may be.

        That a dependency was accepted holds for ever and may come from the cache; that it wasn't takes a read begun
        after the request was received.
        """
        for job_id in dependencies:
            job = self._job_cache.get(job_id)
            if job is not None and job.spec.kind == "service":
                return f"awaits: {job_id} is a service"
            if job is None and self._job_cache.final_state(job_id) is None and self.find(job_id) is None:
                return f"awaits: {job_id} was never accepted"
        return None

    def _write_new(self, job: Job) -> Reply:
        """Write a new job's record if the job has no record of any form, and answer by what is recorded then."""
        conditions = {JOB_PREFIX + job.id: 0, HEAD_PREFIX + job.id: 0, FINAL + job.id: 0}
        if job.key != JOB_PREFIX + job.id:
            conditions[SCHEMA_VERSION_KEY] = self._cache.get(SCHEMA_VERSION_KEY)[1]
        try:
            self._cache.write(conditions, [(job.key, job.pack(), None)], "submit", retry_for_s=SUBMIT_PATIENCE_S)
        except ConflictError:
            return self.find(job.id) or unavailable_reply("try again")
        except OutcomeUnknownError:
            return self.find(job.id) or unavailable_reply("the state service didn't answer")
        self._wake_scheduler()
        # by now another request may have cancelled it, or it may be over
        answer = self._answer_from_cache(job.id)
        if answer is None or _is_final(answer):
            answer = self.find(job.id)
        return Reply(201, answer.body) if answer else unavailable_reply("try again")


def _cancelled_unless_done(job: Job, _: TeamUsage) -> Job | None:
    """Return the job with its cancellation, or None if it has been done before."""
    return None if job.complete and not job.cancelled else job.with_cancellation()


def _no_such_job() -> Reply:
    return Reply(404, {"error": "no such job"})


def _is_final(answer: Reply) -> bool:
    """Whether an answer says that the job is over."""
    return answer.body["tide"] in FINAL_STATES
