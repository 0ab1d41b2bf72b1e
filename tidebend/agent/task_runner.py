"""Starts and ends the processes of tasks, so that no task runs without a record in the write-ahead log.

A process is recorded before it starts, then waits until its process id is recorded, too, and only then executes the
task's command. A restarted agent kills all recorded processes.
"""

from __future__ import annotations

import logging
import os
import selectors
import shutil
import sqlite3
import uuid
from collections.abc import Iterable
from pathlib import Path

from tidebend.agent import output
from tidebend.agent.clock import monotonic_time
from tidebend.agent.event_log import EventLog
from tidebend.agent.images import Images
from tidebend.agent.processes import (
    MARK_VARIABLE,
    TaskLauncher,
    boot_id,
    kill_children,
    kill_marked,
    process_mark,
    reap_orphans,
)
from tidebend.agent.task_process import TaskProcess
from tidebend.agent.tasks import ENDED, RUNNING, Task, inherited_environment
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog
from tidebend.faults import fault_point

log = logging.getLogger("agent")

# Events registered with the selector, as (event, task).
OUTPUT, EXIT = "output", "exit"

KILL_TIMEOUT_S = 5.0


class TaskRunner:
    """The processes of this agent's tasks. For the worker's thread only."""

    def __init__(
        self,
        outputs: Path,
        write_ahead_log: WriteAheadLog,
        event_log: EventLog,
        images: Images,
        selector: selectors.BaseSelector,
    ) -> None:
        """Store output under `outputs` and register file descriptors with `selector`, as (event, task)."""
        self._outputs = outputs
        self._write_ahead_log = write_ahead_log
        self._event_log = event_log
        self._images = images
        self._selector = selector
        self._boot_id = boot_id()
        self._tasks_with_process: list[Task] = []

    def launch(self, tasks: list[Task]) -> None:
        """Start tasks; afterwards each is running or has ended with an error."""
        marks = {uuid.uuid4().hex: task for task in tasks}
        try:
            self._write_ahead_log.record_starts([StartedProcess(mark, task.name) for mark, task in marks.items()])
            fault_point("agent.written-down")
            started = self._start_all(marks)
            fault_point("agent.begun")
            self._write_ahead_log.record_pids(started)
            fault_point("agent.identified")
        except sqlite3.Error as error:
            # On a full disk no start can be recorded, so none of the processes may execute its command.
            for task in tasks:
                self._abort_start(task, error)
        for task in tasks:
            self._release(task)
        self._write_ahead_log.record_ends([mark for mark, task in marks.items() if task.state == ENDED])

    def _start_all(self, marks: dict[str, Task]) -> list[StartedProcess]:
        started = []
        for mark, task in marks.items():
            try:
                started.append(self._start(mark, task))
            except (OSError, ValueError) as error:
                log.warning("%s: failed to start: %s", task.name, error)
                task.end("error")
        return started

    def _start(self, mark: str, task: Task) -> StartedProcess:
        """Start a process that waits for its release. Raises OSError or ValueError."""
        directory = output.attempt_directory(self._outputs, task.job, task.index, task.attempt)
        if task.prepares_image:
            directory = directory.with_name(f"{directory.name}.prepare")
        task.output_directory = directory
        task_output = output.TaskOutput(directory, task.known_description.output_kb * 1024)
        try:
            process = task.process = self._create_process(mark, task, task_output)
        except (OSError, ValueError) as error:
            _add_start_failure(task_output, error)
            task_output.close()
            raise
        self._selector.register(process.output_pipe, selectors.EVENT_READ, (OUTPUT, task))
        self._selector.register(process.pidfd, selectors.EVENT_READ, (EXIT, task))
        self._tasks_with_process.append(task)
        return StartedProcess(mark, task.name, process.pid, process.launcher.start_ticks, self._boot_id)

    def _create_process(self, mark: str, task: Task, task_output: output.TaskOutput) -> TaskProcess:
        description = task.known_description
        directory = self._working_directory(task, task_output.directory)
        image = str(self._images.image_directory(description.image)) if description.image else ""
        read_end, write_end = os.pipe()
        os.set_blocking(read_end, False)
        try:
            launcher = TaskLauncher(
                description.prepare if task.prepares_image else description.command,
                {**task.environment(inherited_environment(), image), MARK_VARIABLE: mark},
                directory,
                write_end,
            )
            try:
                launcher.apply_limits(description.bounds)
                pidfd = os.pidfd_open(launcher.process.pid)
            except BaseException:
                launcher.close_input()
                launcher.process.wait()
                raise
        except BaseException:
            os.close(read_end)
            raise
        finally:
            os.close(write_end)
        return TaskProcess(mark, launcher, task_output, read_end, pidfd)

    def _working_directory(self, task: Task, output_directory: Path) -> Path:
        description = task.known_description
        checkpoint = task.checkpoint_directory
        if checkpoint is not None:
            checkpoint.mkdir(parents=True, exist_ok=True)
        if task.prepares_image:
            return self._images.create_directory(description.image)
        if description.directory:
            return Path(description.directory)
        directory = output_directory / "work"
        directory.mkdir(exist_ok=True)
        return directory

    def _abort_start(self, task: Task, error: Exception) -> None:
        """End a task whose process, if it has one, must not execute the command."""
        if task.state == ENDED:
            return
        log.warning("%s: failed to start: %s", task.name, error)
        process = task.process
        if process is not None:
            process.launcher.close_input()
            process.wait()
            _add_start_failure(process.output, error)
            self._forget_process(task, process)
        task.end("error")

    def _release(self, task: Task) -> None:
        process = task.process
        if task.state == ENDED or process is None:
            return
        task.state = RUNNING
        if not task.prepares_image:
            self._event_log.add("begun", monotonic_time(), task=task.name, attempt=task.attempt)
        process.launcher.release()

    def clean_up_task(self, task: Task, process: TaskProcess) -> None:
        """Kill the remaining processes of a task whose first process has exited, and delete its record."""
        pids = [
            other.process.pid for other in self._tasks_with_process if other is not task and other.process is not None
        ]
        marks = {process_mark(info.pid) for info in reap_orphans(pids)}
        # A process without a readable mark may belong to any task, so it is killed only if no other task has processes.
        if process.mark in marks or (None in marks and not pids):
            while kill_marked({process.mark}, KILL_TIMEOUT_S) or (not pids and kill_children()):
                log.error("%s: remaining processes can't be killed; trying again", task.name)
            reap_orphans(pids)
        if process.output_pipe >= 0:
            process.copy_output(self._selector)
        self._forget_process(task, process)
        shutil.rmtree(process.output.directory / "work", ignore_errors=True)
        self._write_ahead_log.record_ends([process.mark])
        if not task.prepares_image:
            status = process.launcher.process.returncode
            self._event_log.add("ended", monotonic_time(), task=task.name, attempt=task.attempt, status=status)

    def _forget_process(self, task: Task, process: TaskProcess) -> None:
        process.close(self._selector)
        task.process = None
        self._tasks_with_process.remove(task)

    def copy_output(self, task: Task) -> None:
        """Copy pending output of a task to its output files."""
        if task.process is not None:
            task.process.copy_output(self._selector)

    def end_all(self) -> None:
        """Kill all processes of all tasks and wait until they have exited."""
        processes = [(task, task.process) for task in self._tasks_with_process if task.process is not None]
        for _, process in processes:
            process.kill()
        for task, process in processes:
            process.wait()
            self.clean_up_task(task, process)

    def prune_outputs(self, tasks: Iterable[Task]) -> None:
        """Remove the oldest outputs except those of these tasks."""
        output.prune(self._outputs, {task.output_directory for task in tasks if task.output_directory is not None})


def _add_start_failure(task_output: output.TaskOutput, error: Exception) -> None:
    task_output.write(f"tidebend: failed to start: {error}\n".encode())
