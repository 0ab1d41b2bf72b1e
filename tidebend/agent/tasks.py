"""A task on this machine, as its agent knows it."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

from tidebend.agent.output import Output
from tidebend.agent.processes import TaskLauncher
from tidebend.messages import Description
from tidebend.protocol.worker import Task as Row

# of the agent's own environment, tasks get only this: what else is in it may be secret, or meant for the agent alone
INHERITED = ("PATH", "HOME", "USER", "LOGNAME", "SHELL", "LANG", "TZ", "TMPDIR")


def inherited() -> dict[str, str]:
    return {key: value for key, value in os.environ.items() if key in INHERITED or key.startswith("LC_")}


@dataclass
class Task:
    job: str
    index: int
    attempt: int
    state: str = "fetching"  # fetching, waiting, running, saving, ended
    why: str | None = None
    saved: bool = False
    description: Description | None = None
    waiting_since: float = 0.0  # steady time
    # a stop that is under way: from when on it is killed outright, and whether it may save meanwhile
    kill_at: float | None = None
    prepares: bool = False  # makes its job's image ready, for the tasks that wait for it
    # one of a gang that has finished well waits for its mates; until then it counts as running
    finished: bool = False
    mark: str = ""
    stub: TaskLauncher | None = None
    output: Output | None = None
    pipe: int = -1  # what the task writes comes out here
    pidfd: int = -1

    @property
    def name(self) -> str:
        return f"{self.job}/{self.index}"

    @property
    def gang(self) -> bool:
        return self.description is not None and self.description.kind == "gang"

    @property
    def process(self) -> bool:
        return self.pidfd >= 0

    def end(self, why: str, saved: bool = False) -> None:
        self.state, self.why, self.saved, self.kill_at = "ended", why, saved, None

    def row(self) -> Row:
        return Row(self.job, self.index, self.attempt, self.state, self.why, self.saved)

    def environment(self, base: dict[str, str], image: str = "") -> dict[str, Any]:
        description = self.description
        assert description is not None
        own = {
            "TIDEBEND_JOB": self.job,
            "TIDEBEND_TASK": str(self.index),
            "TIDEBEND_ATTEMPT": str(self.attempt),
            "TIDEBEND_TASKS": str(description.tasks),
        }
        if description.image:
            own["TIDEBEND_IMAGE"] = image
        if description.checkpoints:
            own["TIDEBEND_CHECKPOINT"] = f"{description.checkpoints}/{self.job}/{self.index}"
        return {**base, **description.environment, **own}
