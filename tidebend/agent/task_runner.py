"""Starts the processes of tasks and ends them, such that none is ever there without being on record.

A process is written down before it begins, waits until its id is written down, too, and only then becomes the task. An
agent that is started again ends whatever is on record.
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
from tidebend.agent.clock import steady_time
from tidebend.agent.event_log import EventLog
from tidebend.agent.images import Images
from tidebend.agent.processes import (
    MARK_VARIABLE,
    TaskLauncher,
    boot_id,
    end_children,
    end_marked,
    process_mark,
    reap_strangers,
)
from tidebend.agent.task_process import TaskProcess
from tidebend.agent.tasks import ENDED, RUNNING, Task, inherited_environment
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog
from tidebend.faults import fault_point

log = logging.getLogger("agent")

# what is registered with the selector beside a descriptor: (event, task)
OUTPUT, EXIT = "output", "exit"

END_MARKED_TIMEOUT_S = 5.0


class TaskRunner:
    """The processes of this agent's tasks. For the worker's thread alone."""

    def __init__(
        self,
        outputs: Path,
        write_ahead_log: WriteAheadLog,
        event_log: EventLog,
        images: Images,
        selector: selectors.BaseSelector,
    ) -> None:
        """Keep tasks' output under `outputs`, and register their descriptors with `selector`, as (event, task)."""
        self._outputs = outputs
        self._write_ahead_log = write_ahead_log
        self._event_log = event_log
        self._images = images
        self._selector = selector
        self._boot = boot_id()
        self._with_process: list[Task] = []

    def launch(self, tasks: list[Task]) -> None:
        """Start tasks; each is running afterwards, or has ended with an error."""
        marks = {uuid.uuid4().hex: task for task in tasks}
        try:
            self._write_ahead_log.record_starts([StartedProcess(mark, task.name) for mark, task in marks.items()])
            fault_point("agent.written-down")
            started = self._start_all(marks)
            fault_point("agent.begun")
            self._write_ahead_log.record_pids(started)
            fault_point("agent.identified")
        except sqlite3.Error as error:
            # guards against a process that runs without being written down, on a full disk: none of them goes on
            for task in tasks:
                self._abandon(task, error)
        for task in tasks:
            self._let_run(task)
        self._write_ahead_log.record_ends([mark for mark, task in marks.items() if task.state == ENDED])

    def _start_all(self, marks: dict[str, Task]) -> list[StartedProcess]:
        started = []
        for mark, task in marks.items():
            try:
                started.append(self._start(mark, task))
            except (OSError, ValueError) as error:
                log.warning("%s: can't be started: %s", task.name, error)
                task.end("error")
        return started

    def _start(self, mark: str, task: Task) -> StartedProcess:
        """Start a process that waits to become the task. Raises OSError or ValueError."""
        directory = output.directory_of(self._outputs, task.job, task.index, task.attempt)
        if task.prepares_image:
            directory = directory.with_name(f"{directory.name}.prepare")
        task.output_directory = directory
        task_output = output.Output(directory, task.known_description.output_kb * 1024)
        try:
            process = task.process = self._create_process(mark, task, task_output)
        except (OSError, ValueError) as error:
            _add_start_failure(task_output, error)
            task_output.close()
            raise
        self._selector.register(process.output_pipe, selectors.EVENT_READ, (OUTPUT, task))
        self._selector.register(process.descriptor, selectors.EVENT_READ, (EXIT, task))
        self._with_process.append(task)
        return StartedProcess(mark, task.name, process.pid, process.launcher.start_ticks, self._boot)

    def _create_process(self, mark: str, task: Task, task_output: output.Output) -> TaskProcess:
        description = task.known_description
        directory = self._working_directory(task, task_output.directory)
        image = str(self._images.place(description.image)) if description.image else ""
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
                launcher.bound(description.bounds)
                descriptor = os.pidfd_open(launcher.process.pid)
            except BaseException:
                launcher.drop()
                launcher.process.wait()
                raise
        except BaseException:
            os.close(read_end)
            raise
        finally:
            os.close(write_end)
        return TaskProcess(mark, launcher, task_output, read_end, descriptor)

    def _working_directory(self, task: Task, output_directory: Path) -> Path:
        description = task.known_description
        checkpoint = task.checkpoint_directory
        if checkpoint is not None:
            checkpoint.mkdir(parents=True, exist_ok=True)
        if task.prepares_image:
            return self._images.begin(description.image)
        if description.directory:
            return Path(description.directory)
        directory = output_directory / "work"
        directory.mkdir(exist_ok=True)
        return directory

    def _abandon(self, task: Task, error: Exception) -> None:
        """End a task whose process, if it has one, must not go on to become the task."""
        if task.state == ENDED:
            return
        log.warning("%s: can't be started: %s", task.name, error)
        process = task.process
        if process is not None:
            process.launcher.drop()
            process.wait()
            _add_start_failure(process.output, error)
            self._forget_process(task, process)
        task.end("error")

    def _let_run(self, task: Task) -> None:
        process = task.process
        if task.state == ENDED or process is None:
            return
        task.state = RUNNING
        if not task.prepares_image:
            self._event_log.add("begun", steady_time(), task=task.name, attempt=task.attempt)
        process.launcher.go()

    def clean_up(self, task: Task, process: TaskProcess) -> None:
        """End what else a task has left, after its first process has exited, and strike it off the record."""
        pids = [other.process.pid for other in self._with_process if other is not task and other.process is not None]
        marks = {process_mark(seen.pid) for seen in reap_strangers(pids)}
        # what hides its mark can be told from others' only once there are no others
        if process.mark in marks or (None in marks and not pids):
            while end_marked({process.mark}, END_MARKED_TIMEOUT_S) or (not pids and end_children()):
                log.error("%s: what it left behind can't be ended; trying again", task.name)
            reap_strangers(pids)
        if process.output_pipe >= 0:
            process.copy_output(self._selector)
        self._forget_process(task, process)
        shutil.rmtree(process.output.directory / "work", ignore_errors=True)
        self._write_ahead_log.record_ends([process.mark])
        if not task.prepares_image:
            status = process.launcher.process.returncode
            self._event_log.add("ended", steady_time(), task=task.name, attempt=task.attempt, status=status)

    def _forget_process(self, task: Task, process: TaskProcess) -> None:
        process.close(self._selector)
        task.process = None
        self._with_process.remove(task)

    def copy_output(self, task: Task) -> None:
        """Keep what a task has written meanwhile."""
        if task.process is not None:
            task.process.copy_output(self._selector)

    def end_all(self) -> None:
        """Kill all processes of all tasks, and wait until none is left."""
        processes = [(task, task.process) for task in self._with_process if task.process is not None]
        for _, process in processes:
            process.kill()
        for task, process in processes:
            process.wait()
            self.clean_up(task, process)

    def prune_outputs(self, tasks: Iterable[Task]) -> None:
        """Remove the oldest outputs but for those of these tasks."""
        output.prune(self._outputs, {task.output_directory for task in tasks if task.output_directory is not None})


def _add_start_failure(task_output: output.Output, error: Exception) -> None:
    task_output.add(f"tidebend: can't be started: {error}\n".encode())
