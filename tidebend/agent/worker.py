"""State of the agent: session, lease, fencing token and tasks, all changed by one thread.

This thread handles reports, direct commands and process events one after the other, so that all events have one order.
Commands are executed in the order received. Before each call the thread checks whether the lease has expired. So an
agent that was paused (a stopped process, a suspended machine) ends its tasks and begins a new session before it handles
anything new, and commands for the former session are rejected.
"""

from __future__ import annotations

import contextlib
import logging
import os
import queue
import selectors
import sqlite3
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from tidebend.agent.clock import monotonic_time
from tidebend.agent.event_log import EventLog
from tidebend.agent.image_preparation import ImagePreparer
from tidebend.agent.images import Images
from tidebend.agent.processes import adopt_orphans, kill_recorded_processes
from tidebend.agent.task_process import TaskProcess
from tidebend.agent.task_runner import EXIT, OUTPUT, TaskRunner
from tidebend.agent.tasks import ENDED, FETCHING, SAVING, WAITING, Task
from tidebend.agent.write_ahead_log import WriteAheadLog
from tidebend.faults import fault_point
from tidebend.messages import Description, GangPhase, GangVerdict, JoinResponse
from tidebend.protocol import Command
from tidebend.protocol.worker import DirectCommands, ReportAnswer, report

log = logging.getLogger("agent")

READ_BYTES = 64 * 1024
# Time from SIGTERM to SIGKILL for a task that doesn't save a checkpoint, as a multiple of the lease.
STOP_GRACE_LEASES = 0.2
# Interval at which SIGKILL is sent again while a task's processes remain.
KILL_RETRY_S = 1.0
# Added to the time until the next deadline, so that the deadline has passed when the thread wakes.
WAKE_MARGIN_S = 0.002
# Minimum time between immediate reports of a new token, as a multiple of the lease.
TOKEN_REPORT_INTERVAL_LEASES = 0.5
# Pause between attempts to begin a session.
SESSION_RETRY_S = 0.5
CALL_TIMEOUT_S = 5.0
MAX_QUEUED_CALLS = 1024
# Number of forgotten attempts, started directly under the present token, that are remembered. Beyond that, attempts are
# not forgotten until a higher token comes.
MAX_FORGOTTEN_ATTEMPTS = 10_000

Result = TypeVar("Result")


class StaleCommandError(Exception):
    """Direct commands with a lower fencing token or for another session; none was executed."""


class SentReport(NamedTuple):
    """A report, with the session and the time by which its answer is checked."""

    body: dict[str, Any]
    session: int
    sent_at: float  # monotonic time


class GangMember(NamedTuple):
    """A gang's task on this machine and its phase: waiting, running, finished or lost."""

    task: Task
    phase: GangPhase


class Worker:
    """The worker of a machine. All methods but `call` and `start` must run in its own thread."""

    def __init__(
        self,
        directory: Path,
        write_ahead_log: WriteAheadLog,
        config: JoinResponse,
        address: str,
        machine_type: str,
        fetch_description: Callable[[str], None],
        ask_about_gangs: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        """Create a worker that stores its data in `directory`.

        `fetch_description` requests a job's description from the control service, `ask_about_gangs` requests the
        status of gangs, and `on_change` requests a report.
        """
        self.directory = directory
        self.outputs = directory / "tasks"
        self.config = config
        self.address = address
        self.machine_type = machine_type
        self._write_ahead_log = write_ahead_log
        self._fetch_description = fetch_description
        self._ask_about_gangs = ask_about_gangs
        self._on_change = on_change
        self.session = int(write_ahead_log.get_fact("session", "0"))
        self.token = int(write_ahead_log.get_fact("token", "0"))
        self._sequence = 0
        self._lease_end = 0.0
        self._token_reported_at = 0.0
        self._tasks: dict[tuple[str, int, int], Task] = {}  # by job, index and attempt
        # Attempts that direct commands with the present token started in this session, and that have been forgotten
        # since: late copies of these commands must not start them again. Those with lower tokens are rejected.
        self._forgotten: set[tuple[str, int, int]] = set()
        self._descriptions: dict[str, Description] = {}
        self._calls: queue.Queue[tuple[Callable[[], Any], Future]] = queue.Queue(MAX_QUEUED_CALLS)
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._is_stopping = False
        self._event_log = EventLog(directory)
        images = Images(directory / "images")
        self._task_runner = TaskRunner(self.outputs, write_ahead_log, self._event_log, images, self._selector)
        self._image_preparer = ImagePreparer(images, self._task_runner.launch)

    # From other threads

    def call(self, function: Callable[[], Result], timeout: float = CALL_TIMEOUT_S) -> Result:
        """Run a function in the worker's thread and return its result; raises its exception, or TimeoutError.

        After a TimeoutError the function may still run, but before those of later calls.
        """
        result: Future[Result] = Future()
        try:
            self._calls.put_nowait((function, result))
        except queue.Full:
            raise TimeoutError("too many calls are queued for the worker thread") from None
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"x")
        return result.result(timeout)

    def start(self) -> threading.Thread:
        """Start the worker's thread, which begins a session."""
        thread = threading.Thread(target=self.run, name="worker", daemon=True)
        thread.start()
        return thread

    # The thread

    def run(self) -> None:
        """Run the event loop until `stop` or `leave` is called."""
        adopt_orphans()
        self._begin_session()
        while not self._is_stopping:
            for key, _ in self._selector.select(self._select_timeout_s()):
                self._on_readable(key)
            self._check_lease()
            self._kill_overdue()
            self._run_queued_calls()

    def _on_readable(self, key: selectors.SelectorKey) -> None:
        if key.data is None:
            with contextlib.suppress(BlockingIOError):
                os.read(self._wake_read, READ_BYTES)
            return
        event, task = key.data
        process = task.process
        # The event may belong to a file descriptor that was closed and reused since it occurred.
        if process is None:
            return
        if event == EXIT and process.pidfd == key.fd:
            self._on_exit(task, process)
        elif event == OUTPUT and process.output_pipe == key.fd:
            self._task_runner.copy_output(task)

    def _run_queued_calls(self) -> None:
        while True:
            try:
                function, result = self._calls.get_nowait()
            except queue.Empty:
                return
            # Commands may have waited in a socket while this process was paused and its lease expired.
            self._check_lease()
            try:
                result.set_result(function())
            except Exception as error:
                result.set_exception(error)

    def _select_timeout_s(self) -> float:
        """Return the seconds until the next deadline."""
        deadlines = [self._lease_end]
        deadlines += [task.kill_at for task in self._tasks.values() if task.kill_at is not None]
        deadlines += [
            task.waiting_since + self.config.gang_wait_s for task in self._tasks.values() if task.state == WAITING
        ]
        return max(0.0, min(deadlines) - monotonic_time()) + WAKE_MARGIN_S

    # Sessions and leases

    def _begin_session(self) -> None:
        """Begin a session, after all processes of earlier ones have ended, also those of a former agent process."""
        while not kill_recorded_processes(self._write_ahead_log):
            log.error("processes of an earlier session can't be killed; trying again")
            time.sleep(SESSION_RETRY_S)
        while not self._record_next_session():
            time.sleep(SESSION_RETRY_S)
        self.session += 1
        fault_point("agent.session-noted")
        self._sequence = 0
        self._lease_end = monotonic_time() + self.config.lease_s
        self._event_log.add("session", monotonic_time(), session=self.session, machine=self.config.machine)
        self._on_change()

    def _record_next_session(self) -> bool:
        """Store the next session's number first, since a number that isn't durable could be used twice."""
        try:
            self._write_ahead_log.set_facts(session=str(self.session + 1))
        except sqlite3.Error as error:
            log.error("storing the next session's number failed: %s", error)
            return False
        return True

    def _check_lease(self) -> None:
        if monotonic_time() <= self._lease_end:
            return
        if self._tasks:
            log.warning("the lease has expired: ending %d tasks", len(self._tasks))
        self._end_all_tasks()
        self._begin_session()

    def _end_all_tasks(self) -> None:
        self._task_runner.end_all()
        self._image_preparer.forget_all()
        self._tasks.clear()
        self._forgotten.clear()
        self._descriptions.clear()

    # Reports

    def report(self) -> SentReport:
        """Return a report of the current state."""
        return SentReport(self._report_body(), self.session, monotonic_time())

    def _report_body(self) -> dict[str, Any]:
        self._sequence += 1
        return report(
            self.config.machine,
            self.address,
            self.machine_type,
            self.config.zone,
            False,
            self.session,
            self._sequence,
            self.token,
            None,
            [task.to_report() for task in self._tasks.values()],
        )

    def apply_answer(self, answer: ReportAnswer, session: int, sent_at: float) -> bool:
        """Renew the lease and execute the commands in the answer to a report; False if the answer is outdated."""
        if session != self.session or answer.token is None or answer.token < self.token:
            return False
        self._learn_token(answer.token)
        self._lease_end = max(self._lease_end, sent_at + self.config.lease_s)
        self._execute(answer.commands, direct=False)
        return True

    def execute_direct(self, direct: DirectCommands) -> dict[str, Any]:
        """Execute direct commands, which don't renew the lease, and return a report as the answer's body.

        Raises StaleCommandError.
        """
        if direct.token < self.token or direct.session != self.session:
            raise StaleCommandError
        self._learn_token(direct.token)
        self._execute(direct.commands, direct=True)
        return self._report_body()

    def _learn_token(self, token: int) -> None:
        if token <= self.token:
            return
        self._write_ahead_log.set_facts(
            token=str(token)
        )  # durable first, so that lower tokens stay rejected after a restart
        self.token = token
        self._forgotten.clear()
        now = monotonic_time()
        if now - self._token_reported_at > TOKEN_REPORT_INTERVAL_LEASES * self.config.lease_s:
            self._token_reported_at = now
            self._on_change()

    # Commands

    def _execute(self, commands: list[Command], direct: bool) -> None:
        to_start: list[Task] = []
        for command in commands:
            if command.op == "start":
                task = self._new_task(command, direct)
                if task is not None:
                    to_start.append(task)
                continue
            if to_start:  # commands take effect in order, so earlier starts come first
                self._start_tasks(to_start)
                to_start = []
            self._stop_or_forget(command)
        if to_start:
            self._start_tasks(to_start)
        if commands:
            self._image_preparer.cancel_unwanted(self._tasks.values())
            self._on_change()

    def _new_task(self, command: Command, direct: bool) -> Task | None:
        """Return the task for a start command; None if the command is refused or repeated."""
        key = (command.job, command.index, command.attempt)
        known = self._tasks.get(key)
        if known is not None:
            if direct:
                known.direct_token = self.token
            return None
        if direct and key in self._forgotten:
            log.info("task %s/%d, attempt %d: a late copy of its start was ignored", *key)
            return None
        in_use = any(
            (other.job, other.index) == (command.job, command.index) and other.state != ENDED
            for other in self._tasks.values()
        )
        task = self._tasks[key] = Task(*key, direct_token=self.token if direct else None)
        if in_use:
            task.end("in_use")
            return None
        return task

    def _stop_or_forget(self, command: Command) -> None:
        key = (command.job, command.index, command.attempt)
        task = self._tasks.get(key)
        if task is None:
            return
        if command.op == "stop":
            self._stop(task, command.grace_s)
        elif task.state == ENDED:
            self._forget(task)

    def _forget(self, task: Task) -> None:
        """Remove an ended attempt from the reports, but remember it while a late copy of its start may still come."""
        key = (task.job, task.index, task.attempt)
        if task.direct_token == self.token:
            if len(self._forgotten) >= MAX_FORGOTTEN_ATTEMPTS:
                return
            self._forgotten.add(key)
        del self._tasks[key]
        self._forget_description(task.job)

    def _forget_description(self, job: str) -> None:
        """Remove a job's description once none of its tasks is left."""
        if not any(other == job for other, _, _ in self._tasks):
            self._descriptions.pop(job, None)
            self._task_runner.prune_outputs(self._tasks.values())

    def apply_description(self, job: str, description: Description | None) -> None:
        """Store a job's description and start its tasks; None means that the control service doesn't know the job."""
        tasks = [
            task
            for task in self._tasks.values()
            if task.job == job and task.description is None and task.state == FETCHING
        ]
        if description is None:
            for task in tasks:
                task.end("no_such")
        elif tasks:
            self._descriptions[job] = description
            self._start_tasks(tasks)
        self._on_change()

    def jobs_without_description(self) -> list[str]:
        """Return the jobs whose descriptions have not been received."""
        return sorted(
            {task.job for task in self._tasks.values() if task.state == FETCHING and task.description is None}
        )

    # Starts

    def _start_tasks(self, tasks: list[Task]) -> None:
        """Start the tasks whose description and image are available, if they fit on this machine."""
        to_launch = []
        for task in tasks:
            task.description = self._descriptions.get(task.job)
            if task.description is None:
                self._fetch_description(task.job)
            elif not self._has_capacity(task):
                task.end("full")
            elif not self._image_preparer.has_image(task, self._used_images()):
                self._prepare_image(task)
            elif task.is_gang_task:
                task.state, task.waiting_since = WAITING, monotonic_time()
                self._ask_about_gangs()
            else:
                to_launch.append(task)
        self._launch(to_launch)

    def _launch(self, tasks: list[Task]) -> None:
        if tasks:
            self._task_runner.launch(tasks)
            self._on_change()

    def _prepare_image(self, task: Task) -> None:
        failed = self._image_preparer.begin(task)
        if failed is not None:
            self._on_image_prepared(failed)

    def _on_image_prepared(self, preparing: Task) -> None:
        """Start the tasks that wait for an image, or end them if its preparation failed."""
        image = preparing.known_description.image
        is_ready = self._image_preparer.finish(preparing)
        waiting = [
            task
            for task in self._tasks.values()
            if task.state == FETCHING and task.description is not None and task.description.image == image
        ]
        if is_ready:
            self._start_tasks(waiting)
        else:
            for task in waiting:
                task.end("error")
        self._on_change()

    def _used_images(self) -> set[str]:
        return {task.description.image for task in self._tasks.values() if task.description is not None}

    def _has_capacity(self, task: Task) -> bool:
        others = [
            other.description
            for other in self._tasks.values()
            if other is not task and other.state != ENDED and other.description is not None
        ]
        return all(
            sum(getattr(other, resource) for other in others) + getattr(task.known_description, resource)
            <= getattr(self.config, resource) + 1e-6
            for resource in ("cpus", "gpus", "memory_gb")
        )

    # Ends

    def _stop(self, task: Task, grace_s: float) -> None:
        process = task.process
        if task.state == ENDED:
            return
        if process is None:
            task.end("stopped")
            return
        if task.kill_at is not None:
            if task.state == SAVING and grace_s <= 0:
                process.kill()
            return
        if process.exit_status is not None:
            return  # it has exited by itself, and that result is reported
        description = task.known_description
        will_save = description.checkpoint_s > 0 and bool(description.checkpoints) and grace_s >= description.save_s
        if will_save and not task.finished:
            task.state = SAVING
        task.kill_at = monotonic_time() + (grace_s if will_save else STOP_GRACE_LEASES * self.config.lease_s)
        process.terminate()

    def _kill_overdue(self) -> None:
        now = monotonic_time()
        for task in list(self._tasks.values()):
            if task.kill_at is not None and now >= task.kill_at and task.process is not None:
                task.process.kill()
                task.kill_at = now + KILL_RETRY_S
            elif task.state == WAITING and now >= task.waiting_since + self.config.gang_wait_s:
                task.end("incomplete")
                self._on_change()

    def _on_exit(self, task: Task, process: TaskProcess) -> None:
        """Handle the exit of a task's first process; the task has ended once all its descendants have been killed."""
        status = process.wait_briefly()
        if status is None:
            return
        process.kill()
        self._task_runner.clean_up_task(task, process)
        if task.prepares_image:
            task.end("done" if status == 0 and task.kill_at is None else "error")
            self._on_image_prepared(task)
            return
        self._record_end(task, status)
        if task.is_gang_task:
            self._ask_about_gangs()
        self._on_change()

    @staticmethod
    def _record_end(task: Task, status: int) -> None:
        """Set the task's result by the exit status of its first process."""
        if task.cause == "mates_gone":
            task.end("mates_gone")
        elif task.state == SAVING:
            task.end("stopped", saved=status == 0)
        elif task.kill_at is not None:
            # Whatever its exit status, a stopped task may not have completed its work, so it is run again.
            task.end("stopped")
        elif status != 0:
            task.end("error")
        elif task.is_gang_task:
            task.finished = True
        else:
            task.end("done")

    # Gangs

    def gang_members(self) -> list[GangMember]:
        """Return the gangs' tasks on this machine, including those that have succeeded, until they are forgotten."""
        return [
            GangMember(task, _gang_phase(task))
            for task in self._tasks.values()
            # A task whose image isn't ready is left out, so that its gang doesn't start yet.
            if task.is_gang_task and task.state != FETCHING
        ]

    def apply_gang_verdict(self, task: Task, answer: GangVerdict) -> None:
        """Apply the control service's verdict on a gang's task."""
        if self._tasks.get((task.job, task.index, task.attempt)) is not task:
            return
        if task.kill_at is not None:
            return  # it is being stopped, and may still save a checkpoint
        if answer.verdict == "start" and task.state == WAITING:
            self._launch([task])
        elif answer.verdict == "done" and task.finished and task.state != ENDED:
            task.end("done")
            self._on_change()
        elif answer.verdict == "mates_gone" and task.state != ENDED:
            if task.process is not None:
                task.cause = "mates_gone"
                task.process.kill()
            elif task.state != WAITING:
                task.end("mates_gone")
                self._on_change()

    # Shutdown

    def stop(self) -> None:
        """End all tasks and the thread; controllers learn from the next session that unreported tasks have ended."""
        self._end_all_tasks()
        self._is_stopping = True

    def leave(self) -> None:
        """Leave the cluster; all tasks have ended when this returns."""
        self._end_all_tasks()
        # The answer may get lost, so the agent names the machine that it left when it joins again.
        self._write_ahead_log.set_facts(machine="", nonce="", left=self.config.machine)
        self._is_stopping = True


def _gang_phase(task: Task) -> GangPhase:
    if task.state == ENDED:
        return "finished" if task.cause == "done" else "lost"
    if task.finished:
        return "finished"
    if task.state == WAITING:
        return "waiting"
    return "running"
