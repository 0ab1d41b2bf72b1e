"""The agent's state and its rules: session, lease, token and tasks, all of them changed by one thread.

Reports, direct commands and what the processes do come to this thread one after the other, so that there is one order
of events: commands are executed in theirs, and before anything else it is looked whether the lease has run out. An
agent that stood still (a stopped process, a machine that slept) therefore ends its stale work before it hears of
anything new, and what was meant for its earlier session finds a later one.
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

from tidebend.agent.clock import steady_time
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
# a task that is told to stop has this share of a lease before it is killed, unless it saves
STOP_SHARE = 0.2
# a task that was to be killed is killed again after so many seconds, should it have been missed
KILL_AGAIN_S = 1.0
# the thread wakes this many seconds after what it waits for is due
WAKE_MARGIN_S = 0.002
# a new token is reported at once if none was within this share of a lease
TOKEN_REPORT_SHARE = 0.5
# the pause between two attempts to begin a session
SESSION_RETRY_S = 0.5
CALL_TIMEOUT_S = 5.0
MAX_QUEUED_CALLS = 1024

Result = TypeVar("Result")


class StaleCommandError(Exception):
    """Direct commands with a lower token, or for another session; nothing was executed."""


class SentReport(NamedTuple):
    """A report as it is sent, with what its answer is judged by."""

    body: dict[str, Any]
    session: int
    sent_at: float  # steady time


class GangMember(NamedTuple):
    """A gang's task on this machine and its phase: waiting, running, finished or lost."""

    task: Task
    phase: GangPhase


class Worker:
    """A machine's worker. Everything but `call` and `start` is for its own thread."""

    def __init__(
        self,
        directory: Path,
        write_ahead_log: WriteAheadLog,
        terms: JoinResponse,
        address: str,
        kind: str,
        fetch_description: Callable[[str], None],
        ask_about_gangs: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        """Keep everything in `directory`.

        `fetch_description` asks the control service for a job's description, `ask_about_gangs` whether gangs may start
        or are complete; `on_change` has a report sent soon.
        """
        self.directory = directory
        self.outputs = directory / "tasks"
        self.terms = terms
        self.address = address
        self.kind = kind
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
        self._descriptions: dict[str, Description] = {}
        self._calls: queue.Queue[tuple[Callable[[], Any], Future]] = queue.Queue(MAX_QUEUED_CALLS)
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._is_ending = False
        self._event_log = EventLog(directory)
        images = Images(directory / "images")
        self._task_runner = TaskRunner(self.outputs, write_ahead_log, self._event_log, images, self._selector)
        self._image_preparer = ImagePreparer(images, self._task_runner.launch)

    # From other threads

    def call(self, work: Callable[[], Result], timeout: float = CALL_TIMEOUT_S) -> Result:
        """Have something done by the worker's thread; raises what it raises, or TimeoutError.

        After a TimeoutError it may still be done, in its turn: whoever calls next is answered after that.
        """
        answer: Future[Result] = Future()
        try:
            self._calls.put_nowait((work, answer))
        except queue.Full:
            raise TimeoutError("too much is waiting") from None
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b"x")
        return answer.result(timeout)

    def start(self) -> threading.Thread:
        """Start the thread, which begins a session."""
        thread = threading.Thread(target=self.run, name="worker", daemon=True)
        thread.start()
        return thread

    # The thread

    def run(self) -> None:
        """Be the worker until it is told to end."""
        adopt_orphans()
        self._begin_session()
        while not self._is_ending:
            for key, _ in self._selector.select(self._pause_s()):
                self._on_readable(key)
            self._check_lease()
            self._kill_overdue()
            self._do_calls()

    def _on_readable(self, key: selectors.SelectorKey) -> None:
        if key.data is None:
            with contextlib.suppress(BlockingIOError):
                os.read(self._wake_read, READ_BYTES)
            return
        event, task = key.data
        process = task.process
        # guards against an event of a descriptor that was closed, and given to another, a moment ago
        if process is None:
            return
        if event == EXIT and process.descriptor == key.fd:
            self._on_exit(task, process)
        elif event == OUTPUT and process.output_pipe == key.fd:
            self._task_runner.copy_output(task)

    def _do_calls(self) -> None:
        while True:
            try:
                work, answer = self._calls.get_nowait()
            except queue.Empty:
                return
            # guards against commands that waited in a socket while this process stood still
            self._check_lease()
            try:
                answer.set_result(work())
            except Exception as error:
                answer.set_exception(error)

    def _pause_s(self) -> float:
        """Return for how long nothing is due."""
        due = [self._lease_end]
        due += [task.kill_at for task in self._tasks.values() if task.kill_at is not None]
        due += [task.waiting_since + self.terms.gang_wait_s for task in self._tasks.values() if task.state == WAITING]
        return max(0.0, min(due) - steady_time()) + WAKE_MARGIN_S

    # Sessions and leases

    def _begin_session(self) -> None:
        """Begin a session once nothing of an earlier one is left: neither of ours, nor of an agent before us."""
        while not kill_recorded_processes(self._write_ahead_log):
            log.error("processes of an earlier session can't be ended; trying again")
            time.sleep(SESSION_RETRY_S)
        while not self._record_next_session():
            time.sleep(SESSION_RETRY_S)
        self.session += 1
        fault_point("agent.session-noted")
        self._sequence = 0
        self._lease_end = steady_time() + self.terms.lease_s
        self._event_log.add("session", steady_time(), session=self.session, machine=self.terms.machine)
        self._on_change()

    def _record_next_session(self) -> bool:
        """Write the next session's number; a session that isn't on the disk could come twice."""
        try:
            self._write_ahead_log.set_facts(session=str(self.session + 1))
        except sqlite3.Error as error:
            log.error("no later session can be begun: %s", error)
            return False
        return True

    def _check_lease(self) -> None:
        if steady_time() <= self._lease_end:
            return
        if self._tasks:
            log.warning("the lease has ended: ending %d tasks", len(self._tasks))
        self._end_everything()
        self._begin_session()

    def _end_everything(self) -> None:
        self._task_runner.end_all()
        self._image_preparer.forget_all()
        self._tasks.clear()
        self._descriptions.clear()

    # Reports

    def report(self) -> SentReport:
        """Return a report to be sent now."""
        return SentReport(self._report_body(), self.session, steady_time())

    def _report_body(self) -> dict[str, Any]:
        self._sequence += 1
        return report(
            self.terms.machine,
            self.address,
            self.kind,
            self.terms.zone,
            False,
            self.session,
            self._sequence,
            self.token,
            None,
            [task.row() for task in self._tasks.values()],
        )

    def apply_answer(self, answer: ReportAnswer, session: int, sent_at: float) -> bool:
        """Take over the answer to a report; False if it had to be dropped."""
        if session != self.session or answer.token is None or answer.token < self.token:
            return False
        self._learn_token(answer.token)
        self._lease_end = max(self._lease_end, sent_at + self.terms.lease_s)
        self._execute(answer.commands)
        return True

    def execute_direct(self, direct: DirectCommands) -> dict[str, Any]:
        """Execute direct commands, which don't renew the lease; the body of the answer. Raises StaleCommandError."""
        if direct.token < self.token or direct.session != self.session:
            raise StaleCommandError
        self._learn_token(direct.token)
        self._execute(direct.commands)
        return self._report_body()

    def _learn_token(self, token: int) -> None:
        if token <= self.token:
            return
        self._write_ahead_log.set_facts(
            token=str(token)
        )  # first on the disk: whoever gave a lower one is deposed for good
        self.token = token
        now = steady_time()
        if now - self._token_reported_at > TOKEN_REPORT_SHARE * self.terms.lease_s:
            self._token_reported_at = now
            self._on_change()

    # Commands

    def _execute(self, commands: list[Command]) -> None:
        to_start: list[Task] = []
        for command in commands:
            if command.op == "start":
                task = self._new_task(command)
                if task is not None:
                    to_start.append(task)
                continue
            if to_start:  # in order: what comes before is under way before what follows it
                self._begin(to_start)
                to_start = []
            self._stop_or_clear(command)
        if to_start:
            self._begin(to_start)
        if commands:
            self._image_preparer.cancel_unwanted(self._tasks.values())
            self._on_change()

    def _new_task(self, command: Command) -> Task | None:
        """Return the task that a start is to begin; None if the start is refused, or a repetition."""
        key = (command.job, command.index, command.attempt)
        if key in self._tasks:
            return None
        in_use = any(
            (other.job, other.index) == (command.job, command.index) and other.state != ENDED
            for other in self._tasks.values()
        )
        task = self._tasks[key] = Task(*key)
        if in_use:
            task.end("in_use")
            return None
        return task

    def _stop_or_clear(self, command: Command) -> None:
        key = (command.job, command.index, command.attempt)
        task = self._tasks.get(key)
        if task is None:
            return
        if command.op == "stop":
            self._stop(task, command.grace_s)
        elif task.state == ENDED:
            del self._tasks[key]
            self._forget_description(task.job)

    def _forget_description(self, job: str) -> None:
        """Forget a job's description once none of its tasks is left."""
        if not any(other == job for other, _, _ in self._tasks):
            self._descriptions.pop(job, None)
            self._task_runner.prune_outputs(self._tasks.values())

    def apply_description(self, job: str, description: Description | None) -> None:
        """Take over a job's description; None: the control service knows no such job."""
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
            self._begin(tasks)
        self._on_change()

    def jobs_without_description(self) -> list[str]:
        """Return the jobs whose descriptions are missing."""
        return sorted(
            {task.job for task in self._tasks.values() if task.state == FETCHING and task.description is None}
        )

    # Starts

    def _begin(self, tasks: list[Task]) -> None:
        """Start tasks as far as their descriptions, their images and this machine's room allow."""
        to_launch = []
        for task in tasks:
            task.description = self._descriptions.get(task.job)
            if task.description is None:
                self._fetch_description(task.job)
            elif not self._has_room(task):
                task.end("full")
            elif not self._image_preparer.has_image(task, self._used_images()):
                self._prepare_image(task)
            elif task.is_gang_task:
                task.state, task.waiting_since = WAITING, steady_time()
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
        """Start the tasks that wait for an image, or end them if it couldn't be made ready."""
        image = preparing.known_description.image
        is_ready = self._image_preparer.finish(preparing)
        waiting = [
            task
            for task in self._tasks.values()
            if task.state == FETCHING and task.description is not None and task.description.image == image
        ]
        if is_ready:
            self._begin(waiting)
        else:
            for task in waiting:
                task.end("error")
        self._on_change()

    def _used_images(self) -> set[str]:
        return {task.description.image for task in self._tasks.values() if task.description is not None}

    def _has_room(self, task: Task) -> bool:
        others = [
            other.description
            for other in self._tasks.values()
            if other is not task and other.state != ENDED and other.description is not None
        ]
        return all(
            sum(getattr(other, part) for other in others) + getattr(task.known_description, part)
            <= getattr(self.terms, part) + 1e-6
            for part in ("cpus", "gpus", "memory_gb")
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
            return  # it has ended by itself, and that is what is reported
        description = task.known_description
        saves = description.checkpoint_s > 0 and bool(description.checkpoints) and grace_s >= description.save_s
        if saves and not task.finished:
            task.state = SAVING
        task.kill_at = steady_time() + (grace_s if saves else STOP_SHARE * self.terms.lease_s)
        process.terminate()

    def _kill_overdue(self) -> None:
        now = steady_time()
        for task in list(self._tasks.values()):
            if task.kill_at is not None and now >= task.kill_at and task.process is not None:
                task.process.kill()
                task.kill_at = now + KILL_AGAIN_S
            elif task.state == WAITING and now >= task.waiting_since + self.terms.gang_wait_s:
                task.end("incomplete")
                self._on_change()

    def _on_exit(self, task: Task, process: TaskProcess) -> None:
        """Handle the exit of a task's first process; the task has ended when all that descends from it is gone."""
        status = process.wait_briefly()
        if status is None:
            return
        process.kill()
        self._task_runner.clean_up(task, process)
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
        """Record what the exit of a task's first process means for the task."""
        if task.why == "mates_gone":
            task.end("mates_gone")
        elif task.state == SAVING:
            task.end("stopped", saved=status == 0)
        elif task.kill_at is not None:
            # told to stop: whatever it says now, nobody knows whether it was through, and it is run again
            task.end("stopped")
        elif status != 0:
            task.end("error")
        elif task.is_gang_task:
            task.finished = True
        else:
            task.end("done")

    # Gangs

    def gang_members(self) -> list[GangMember]:
        """Return the gangs' tasks here; those that have succeeded are among them until they are cleared."""
        return [
            GangMember(task, _gang_phase(task))
            for task in self._tasks.values()
            # guards against a gang that starts while one of its tasks has no image yet
            if task.is_gang_task and task.state != FETCHING
        ]

    def apply_gang_verdict(self, task: Task, answer: GangVerdict) -> None:
        """Take over what the control service says of a gang's task."""
        if self._tasks.get((task.job, task.index, task.attempt)) is not task:
            return
        if task.kill_at is not None:
            return  # it is being stopped, and may be saving: that comes to its own end
        if answer.verdict == "start" and task.state == WAITING:
            self._launch([task])
        elif answer.verdict == "done" and task.finished and task.state != ENDED:
            task.end("done")
            self._on_change()
        elif answer.verdict == "mates_gone" and task.state != ENDED:
            if task.process is not None:
                task.why = "mates_gone"
                task.process.kill()
            elif task.state != WAITING:
                task.end("mates_gone")
                self._on_change()

    # The end

    def stop(self) -> None:
        """End all tasks; what isn't reported is found out by the next session."""
        self._end_everything()
        self._is_ending = True

    def leave(self) -> None:
        """Give up being this machine: all tasks are ended for good before this returns."""
        self._end_everything()
        # whoever asked may not hear of it; the agent's next machine tells it again
        self._write_ahead_log.set_facts(machine="", nonce="", left=self.terms.machine)
        self._is_ending = True


def _gang_phase(task: Task) -> GangPhase:
    if task.state == ENDED:
        return "finished" if task.why == "done" else "lost"
    if task.finished:
        return "finished"
    if task.state == WAITING:
        return "waiting"
    return "running"
