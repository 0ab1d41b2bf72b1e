"""The processes of one attempt of a task."""

from __future__ import annotations

import contextlib
import os
import selectors
import signal
import subprocess
from dataclasses import dataclass

from tidebend.agent.output import TaskOutput
from tidebend.agent.processes import TaskLauncher, signal_group

READ_BYTES = 64 * 1024
# Limits the reads per event, so that a task that writes without pause doesn't delay the others.
MAX_READS_PER_EVENT = 16
EXIT_WAIT_S = 0.1


@dataclass(eq=False)
class TaskProcess:
    """The first process of a task, whose process group receives all signals, and the output of the group.

    The pipe and the pidfd are registered with the worker's selector; both are -1 once they are closed.
    """

    mark: str  # unique value in the environment of the process and its descendants
    launcher: TaskLauncher
    output: TaskOutput
    output_pipe: int  # read end of the pipe for the task's output
    pidfd: int  # becomes readable when the first process exits

    @property
    def pid(self) -> int:
        """The id of the first process and of its process group."""
        return self.launcher.process.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status of the first process, None while it runs."""
        return self.launcher.process.poll()

    def terminate(self) -> None:
        """Send SIGTERM to the process group."""
        signal_group(self.pid, signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL to the process group."""
        signal_group(self.pid, signal.SIGKILL)

    def wait(self) -> None:
        """Wait until the first process has exited."""
        self.launcher.process.wait()

    def wait_briefly(self) -> int | None:
        """Return the exit status of the first process, None if it doesn't exit within `EXIT_WAIT_S`."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.launcher.process.wait(EXIT_WAIT_S)
        return self.launcher.process.returncode

    def copy_output(self, selector: selectors.BaseSelector) -> None:
        """Copy pending output from the pipe to the output files."""
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data = os.read(self.output_pipe, READ_BYTES)
            except BlockingIOError:
                return
            if not data:
                self._close_pipe(selector)
                return
            self.output.write(data)

    def close(self, selector: selectors.BaseSelector) -> None:
        """Close the pidfd, the pipe and the output file."""
        selector.unregister(self.pidfd)
        os.close(self.pidfd)
        self.pidfd = -1
        if self.output_pipe >= 0:
            self._close_pipe(selector)
        self.output.close()

    def _close_pipe(self, selector: selectors.BaseSelector) -> None:
        selector.unregister(self.output_pipe)
        os.close(self.output_pipe)
        self.output_pipe = -1
