"""The users' API: submission, polling and cancellation of jobs."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

from tidebend import protocol
from tidebend.cluster_state.final_states import DONE, final_state_of, unpack_final
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX, Job
from tidebend.controller.api.recent_jobs import RecentJobs
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

# upper bound of the timeout of a read from the key-value store; users wait 2 s for the answer to a poll
MAX_READ_TIMEOUT_S = 1.2
# time for which the write of a submission is retried
SUBMIT_RETRY_S = 0.3
# limit on the size of the list of dependencies, as a fraction of the maximum size of a record
MAX_DEPENDENCIES_SHARE = 0.35
# number of jobs whose final state isn't logged again when users ask again
MAX_LOGGED_ANSWERS = 10_000
# final states of a job, as named on the wire
FINAL_STATES = ("done", "withdrawn")


class SubmissionRejectedError(Exception):
    """The submission is invalid, or the job could never run."""

    def __init__(self, status: int, reason: str) -> None:
        """`status` is the HTTP status of the answer, `reason` its error text."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class JobApi:
    """Answers users' requests about jobs.

    An answer reflects a read of the key-value store that began after the request was received, so it is never older
    than any earlier answer of any controller.
    """

    def __init__(
        self,
        settings: Settings,
        kv_client: KeyValueClient,
        cache: WatchCache,
        job_cache: JobCache,
        job_writer: JobWriter,
        schema_version: SchemaVersion,
        cancellation_sealer: CancellationSealer,
        machine_types: Callable[[], dict[str, MachineType]],
        wake_scheduler: Callable[[], None],
        look_up_finals: Callable[[list[str], str], None],
    ) -> None:
        """`machine_types` returns the types known so far, by name; `look_up_finals` is `FinalRecordLookup.look_up`."""
        self.settings = settings
        self._kv_client = kv_client
        self._cache = cache
        self._job_cache = job_cache
        self._job_writer = job_writer
        self._schema_version = schema_version
        self._cancellation_sealer = cancellation_sealer
        self._machine_types = machine_types
        self._wake_scheduler = wake_scheduler
        self._look_up_finals = look_up_finals
        self._read_timeout_s = min(MAX_READ_TIMEOUT_S, 2 * kv_client.timeout)
        self._logged_answers = RecentJobs(MAX_LOGGED_ANSWERS)

    # Requests

    def submit(self, raw: bytes) -> Reply:
        """Accept a job: 201 if it is new, 200 with its state if it was accepted before.

        400 and 422 reject it permanently. After 429 and 503 it is unknown whether the job was accepted, and the user
        has to retry. Raises `BadRequestError` if the body isn't JSON.
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
            return unavailable_reply("the key-value store can't be reached")

    def poll(self, job_id: str) -> Reply:
        """Return the job's state, with the numbers of done and running tasks if they are known."""
        if not protocol.is_job_id(job_id):
            return _no_such_job()
        try:
            answer = self.find(job_id)
        except (NotExecutedError, OutcomeUnknownError):
            return unavailable_reply("the key-value store can't be reached")
        if answer is None:
            return _no_such_job()
        if _is_final(answer):
            self._log_final_answer(job_id, answer)
        return answer

    def cancel(self, job_id: str) -> Reply:
        """Cancel a job unless it has ended; 200 with its final state. Idempotent."""
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
                self._log_final_answer(job_id, answer)
                self._wake_scheduler()
                return answer
            return unavailable_reply("the request wasn't completed; try again")
        except (NotExecutedError, OutcomeUnknownError):
            return unavailable_reply("the key-value store can't be reached")

    def _log_final_answer(self, job_id: str, answer: Reply) -> None:
        """Log a final state when this process first tells a user of it, and the record that the answer goes by."""
        if not self._logged_answers.add(job_id):
            return
        job = self._job_cache.get(job_id)
        record = "its final record" if job is None else f"its record of revision {job.version}"
        log.info("job %s is %s as of revision %d, by %s", job_id, answer.body["tide"], self._cache.revision, record)

    # Reads of a job's state

    def find(self, job_id: str) -> Reply | None:
        """Return the job's state as of a read that began after this call; None if the job was never accepted.

        Final states never change, so they are answered from the cache; a cancellation becomes final once it is sealed.
        Raises `NotExecutedError` or `OutcomeUnknownError`.
        """
        if self._job_cache.final_state(job_id) is None:
            if not self._cache.loaded.is_set() or not self._cache.barrier(self._read_timeout_s):
                raise NotExecutedError("no read of the key-value store completed in time")
            self._look_up_finals(self._job_cache.missing_final_states(job_id), "poll")
        self._cancellation_sealer.seal(job_id)
        answer = self._answer_from_cache(job_id)
        if answer is None:
            value, _ = self._kv_client.get(FINAL + job_id)
            if value is None:
                return None
            self._job_cache.remember_final(job_id, value)
            answer = Reply(200, protocol.job_answer(job_id, unpack_final(value)[0]))
        return answer

    def _answer_from_cache(self, job_id: str) -> Reply | None:
        """Return the job's state as cached; None if the cache has neither the job nor its final state."""
        final = self._job_cache.final_state(job_id)
        if final is not None:
            return Reply(200, protocol.job_answer(job_id, final))
        job = self._job_cache.get(job_id)
        if job is None:
            # the job may have ended between the two lookups
            final = self._job_cache.final_state(job_id)
            return None if final is None else Reply(200, protocol.job_answer(job_id, final))
        if final_state_of(job) == DONE:
            return Reply(200, protocol.job_answer(job.id, "done", job.spec.tasks, 0))
        running = job.allocated_count
        state = "running" if running else "queued"
        return Reply(200, protocol.job_answer(job.id, state, job.done.bit_count(), running))

    # Submission

    def _submit(self, job_id: str, body: Any, received_at: float) -> Reply:
        """Answer a submission. Propagates the errors of the key-value client."""
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
        except SubmissionRejectedError as rejection:
            # a job accepted earlier is never rejected, whatever the repeated body says and whatever has changed since
            return self.find(job_id) or Reply(rejection.status, {"error": rejection.reason})
        return self._write_new(job)

    @staticmethod
    def _parse(job_id: str, body: Any, received_at: float) -> Job:
        try:
            spec, dependencies = protocol.parse_job(body), protocol.parse_dependencies(body)
        except InvalidMessageError as error:
            raise SubmissionRejectedError(400, str(error)) from error
        return Job(job_id, 0, spec, received_at, dependencies=dependencies)

    def _reason_not_ready(self, job: Job) -> str | None:
        """Return why this controller can't decide about the job yet; None if it can."""
        if not self._machine_types() or not self._cache.loaded.is_set():
            return "the machine types or the records haven't been read yet"
        if job.dependencies and not self._schema_version.supports_pipelines:
            # a controller of the version before pipelines would ignore the dependencies and start the job
            return "not all controllers support dependencies (awaits) yet"
        return None

    def _check(self, job: Job) -> None:
        """Raise `SubmissionRejectedError` if the job could never be recorded or run."""
        limits = self._job_writer.record_limits
        if job.dependencies and packed_bytes(job.dependencies) > MAX_DEPENDENCIES_SHARE * limits.max_value_bytes:
            raise SubmissionRejectedError(400, "awaits: too many jobs for a record")
        reason = (
            self._reason_never_runs(job.spec)
            or (limits.reason_never_fits(job) if self._schema_version.supports_pipelines else None)
            or self._reason_never_unblocked(job.dependencies)
        )
        if reason:
            raise SubmissionRejectedError(422, reason)

    def _reason_never_runs(self, spec: JobSpec) -> str | None:
        """Return why no task of the job could ever run; None if they could."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return "crew: unknown team"
        if not any(machine_type.fits(spec) for machine_type in self._machine_types().values()):
            return "no allowed machine type fits a task"
        tasks = 1 if spec.kind == "array" else spec.tasks
        if not team.allows(spec.cpus * tasks, spec.gpus * tasks):
            return "the job needs more than the team's limit"
        return None

    def _reason_never_unblocked(self, dependencies: tuple[str, ...]) -> str | None:
        """Return why the job's dependencies will never all be done; None if they may be.

        The cache is enough to show that a dependency was accepted, since that never changes; to show that it wasn't
        takes a read that began after the request was received.
        """
        for job_id in dependencies:
            job = self._job_cache.get(job_id)
            if job is not None and job.spec.kind == "service":
                return f"awaits: {job_id} is a service"
            if job is None and self._job_cache.final_state(job_id) is None and self.find(job_id) is None:
                return f"awaits: {job_id} was never accepted"
        return None

    def _write_new(self, job: Job) -> Reply:
        """Write the job's record unless a record of any form exists, and answer with the job's recorded state."""
        conditions = {JOB_PREFIX + job.id: 0, HEAD_PREFIX + job.id: 0, FINAL + job.id: 0}
        if job.key != JOB_PREFIX + job.id:
            conditions[SCHEMA_VERSION_KEY] = self._cache.get(SCHEMA_VERSION_KEY)[1]
        try:
            self._cache.write(conditions, [(job.key, job.pack(), None)], "submit", retry_for_s=SUBMIT_RETRY_S)
        except ConflictError:
            return self.find(job.id) or unavailable_reply("the request wasn't completed; try again")
        except OutcomeUnknownError:
            return self.find(job.id) or unavailable_reply("the key-value store didn't answer")
        self._wake_scheduler()
        # by now another request may have cancelled the job, or it may have ended
        answer = self._answer_from_cache(job.id)
        if answer is None or _is_final(answer):
            answer = self.find(job.id)
        return Reply(201, answer.body) if answer else unavailable_reply("the request wasn't completed; try again")


def _cancelled_unless_done(job: Job, _: TeamUsage) -> Job | None:
    """Return the cancelled job; None if it was done before."""
    return None if final_state_of(job) == DONE else job.with_cancellation()


def _no_such_job() -> Reply:
    return Reply(404, {"error": "no such job"})


def _is_final(answer: Reply) -> bool:
    """Return whether an answer has a final state."""
    return answer.body["tide"] in FINAL_STATES
