"""The processes of one start of a task."""

from __future__ import annotations

import contextlib
import os
import selectors
import signal
import subprocess
from dataclasses import dataclass

from tidebend.agent.output import Output
from tidebend.agent.processes import TaskLauncher, signal_group

READ_BYTES = 64 * 1024
# a task that writes without end doesn't keep the others waiting
MAX_READS_AT_ONCE = 16
EXIT_WAIT_S = 0.1


@dataclass(eq=False)
class TaskProcess:
    """A task's first process, by which its whole process group is signalled, and what the group writes.

    Its pipe and its process descriptor are registered with the worker's selector; both are -1 once they are closed.
    """

    mark: str  # in the environment of all that descends from it
    launcher: TaskLauncher
    output: Output
    output_pipe: int  # where what the task writes comes out
    descriptor: int  # readable once the first process has exited

    @property
    def pid(self) -> int:
        """The first process's id, which is its group's, too."""
        return self.launcher.process.pid

    @property
    def exit_status(self) -> int | None:
        """The first process's exit status, None while it runs."""
        return self.launcher.process.poll()

    def terminate(self) -> None:
        """Ask the group to end."""
        signal_group(self.pid, signal.SIGTERM)

    def kill(self) -> None:
        """Kill the group."""
        signal_group(self.pid, signal.SIGKILL)

    def wait(self) -> None:
        """Wait until the first process has exited."""
        self.launcher.process.wait()

    def wait_briefly(self) -> int | None:
        """Return the first process's exit status, None if it doesn't exit within a moment."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.launcher.process.wait(EXIT_WAIT_S)
        return self.launcher.process.returncode

    def copy_output(self, selector: selectors.BaseSelector) -> None:
        """Keep what the task has written meanwhile."""
        for _ in range(MAX_READS_AT_ONCE):
            try:
                data = os.read(self.output_pipe, READ_BYTES)
            except BlockingIOError:
                return
            if not data:
                self._close_pipe(selector)
                return
            self.output.add(data)

    def close(self, selector: selectors.BaseSelector) -> None:
        """Close the descriptors and the output's file."""
        selector.unregister(self.descriptor)
        os.close(self.descriptor)
        self.descriptor = -1
        if self.output_pipe >= 0:
            self._close_pipe(selector)
        self.output.close()

    def _close_pipe(self, selector: selectors.BaseSelector) -> None:
        selector.unregister(self.output_pipe)
        os.close(self.output_pipe)
        self.output_pipe = -1
