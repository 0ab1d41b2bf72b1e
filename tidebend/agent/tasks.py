"""A task on this machine, as its agent knows it."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from tidebend.agent.task_process import TaskProcess
from tidebend.messages import Description
from tidebend.protocol.worker import Task as TaskRow

# of the agent's own environment, tasks get only this: what else is in it may be secret, or meant for the agent alone
INHERITED = ("PATH", "HOME", "USER", "LOGNAME", "SHELL", "LANG", "TZ", "TMPDIR")

# the states of a task, as they are reported
FETCHING, WAITING, RUNNING, SAVING, ENDED = "fetching", "waiting", "running", "saving", "ended"


def inherited_environment() -> dict[str, str]:
    """Return what tasks get of the agent's own environment."""
    return {key: value for key, value in os.environ.items() if key in INHERITED or key.startswith("LC_")}


@dataclass(eq=False)
class Task:
    """One start of a task."""

    job: str
    index: int
    attempt: int
    state: str = FETCHING
    why: str | None = None  # of the end, as it is reported
    saved: bool = False
    description: Description | None = None  # None until the control service has sent it
    waiting_since: float = 0.0  # steady time
    kill_at: float | None = None  # for a stop that is under way: the steady time from which on it is killed
    prepares_image: bool = False  # makes its job's image ready, for the tasks that wait for it
    finished: bool = False  # a gang's task that has succeeded and waits for the others; it counts as running until then
    process: TaskProcess | None = None  # while its processes are there
    output_directory: Path | None = None  # of its output, once it has begun

    @property
    def name(self) -> str:
        """The job and the index of the task."""
        return f"{self.job}/{self.index}"

    @property
    def is_gang_task(self) -> bool:
        """Whether it is known to start and end together with others."""
        return self.description is not None and self.description.kind == "gang"

    @property
    def known_description(self) -> Description:
        """The description of a task that has one."""
        assert self.description is not None, "the description hasn't come yet"
        return self.description

    def end(self, why: str, saved: bool = False) -> None:
        """Record how it has ended."""
        self.state, self.why, self.saved, self.kill_at = ENDED, why, saved, None

    def row(self) -> TaskRow:
        """Return what is reported of it."""
        return TaskRow(self.job, self.index, self.attempt, self.state, self.why, self.saved)

    def environment(self, base: dict[str, str], image: str = "") -> dict[str, str]:
        """Return the environment of its processes; `image` is the directory of its image."""
        description = self.known_description
        own = {
            "TIDEBEND_JOB": self.job,
            "TIDEBEND_TASK": str(self.index),
            "TIDEBEND_ATTEMPT": str(self.attempt),
            "TIDEBEND_TASKS": str(description.tasks),
        }
        if description.image:
            own["TIDEBEND_IMAGE"] = image
        checkpoint = self.checkpoint_directory
        if checkpoint is not None:
            own["TIDEBEND_CHECKPOINT"] = str(checkpoint)
        return {**base, **description.environment, **own}

    @property
    def checkpoint_directory(self) -> Path | None:
        """Where it saves its checkpoints, None if its job has none."""
        checkpoints = self.known_description.checkpoints
        return Path(f"{checkpoints}/{self.job}/{self.index}") if checkpoints else None
