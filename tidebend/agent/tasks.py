"""State of a task on this machine."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from tidebend.agent.task_process import TaskProcess
from tidebend.messages import Description
from tidebend.protocol.worker import Task as TaskRow

# The only variables of the agent's environment that tasks inherit, beside LC_*; others may be secret or meant for the
# agent only.
INHERITED_VARIABLES = ("PATH", "HOME", "USER", "LOGNAME", "SHELL", "LANG", "TZ", "TMPDIR")

# States of a task, as reported to the controllers.
FETCHING, WAITING, RUNNING, SAVING, ENDED = "fetching", "waiting", "running", "saving", "ended"


def inherited_environment() -> dict[str, str]:
    """Return the part of the agent's environment that tasks inherit."""
    return {key: value for key, value in os.environ.items() if key in INHERITED_VARIABLES or key.startswith("LC_")}


@dataclass(eq=False)
class Task:
    """One attempt of a task."""

    job: str
    index: int
    attempt: int
    state: str = FETCHING
    cause: str | None = None  # why the attempt has ended, as reported
    saved: bool = False
    description: Description | None = None  # None until received from the control service
    waiting_since: float = 0.0  # monotonic time
    kill_at: float | None = None  # monotonic time at which a task that is being stopped is killed
    prepares_image: bool = False  # runs the `prepare` command of its job's image instead of the job's command
    finished: bool = False  # a gang's task that has succeeded and waits for the others; reported as running until then
    process: TaskProcess | None = None  # while its processes exist
    output_directory: Path | None = None  # None until its first process is started
    direct_token: int | None = (
        None  # highest fencing token of the direct commands with its start; None: no such command
    )

    @property
    def name(self) -> str:
        """The job and the index of the task, as JOB/INDEX."""
        return f"{self.job}/{self.index}"

    @property
    def is_gang_task(self) -> bool:
        """Whether the task is known to belong to a gang."""
        return self.description is not None and self.description.kind == "gang"

    @property
    def known_description(self) -> Description:
        """The description of a task that has one."""
        assert self.description is not None, "the description hasn't been received yet"
        return self.description

    def end(self, cause: str, saved: bool = False) -> None:
        """Record the end of the attempt."""
        self.state, self.cause, self.saved, self.kill_at = ENDED, cause, saved, None

    def to_report(self) -> TaskRow:
        """Return the task's entry in a report."""
        return TaskRow(self.job, self.index, self.attempt, self.state, self.cause, self.saved)

    def environment(self, base: dict[str, str], image: str = "") -> dict[str, str]:
        """Return the environment of the task's processes; `image` is the directory of its image."""
        description = self.known_description
        task_variables = {
            "TIDEBEND_JOB": self.job,
            "TIDEBEND_TASK": str(self.index),
            "TIDEBEND_ATTEMPT": str(self.attempt),
            "TIDEBEND_TASKS": str(description.tasks),
        }
        if description.image:
            task_variables["TIDEBEND_IMAGE"] = image
        checkpoint = self.checkpoint_directory
        if checkpoint is not None:
            task_variables["TIDEBEND_CHECKPOINT"] = str(checkpoint)
        return {**base, **description.environment, **task_variables}

    @property
    def checkpoint_directory(self) -> Path | None:
        """The directory for the task's checkpoints, None if its job has none."""
        checkpoints = self.known_description.checkpoints
        return Path(f"{checkpoints}/{self.job}/{self.index}") if checkpoints else None
