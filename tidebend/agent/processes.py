"""Processes of tasks: starting them, recognizing them after a restart, and killing all their descendants."""

from __future__ import annotations

import contextlib
import ctypes
import os
import resource
import signal
import subprocess
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLog
from tidebend.messages import ProcessLimits

MARK_VARIABLE = "TIDEBEND_MARK"
PR_SET_CHILD_SUBREAPER = 36
# Waits for a line on standard input before it executes the task's command, so that the agent can record its process id
# first. If the agent dies before that, the input ends and the task doesn't start; nobody reads exit status 125 then.
LAUNCH_SCRIPT = 'IFS= read -r go || exit 125; exec "$@" </dev/null'


def adopt_orphans() -> None:
    """Make the agent the parent of orphaned descendants, instead of init, so that it can find them."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


def boot_id() -> str:
    """Return the kernel's id of the current boot."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(frozen=True, slots=True)
class ProcessInfo:
    """Information about a process from /proc."""

    pid: int
    parent: int
    start_ticks: int  # clock ticks since boot, which setting the wall clock doesn't change
    has_exited: bool  # a zombie: its parent hasn't waited for it yet


def read_process_info(pid: int) -> ProcessInfo | None:
    """Return information about a process, None if it doesn't exist."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text[text.rindex(")") + 2 :].split()
    return ProcessInfo(pid, int(fields[1]), int(fields[19]), fields[0] in "ZX")


def all_processes() -> list[ProcessInfo]:
    """Return all visible processes of the machine."""
    found = (read_process_info(int(name)) for name in os.listdir("/proc") if name.isdigit())
    return [info for info in found if info is not None]


def process_mark(pid: int) -> str | None:
    """Return the mark in a process's environment, None if it has none or its environment isn't readable."""
    try:
        raw = Path(f"/proc/{pid}/environ").read_bytes()
    except OSError:
        return None
    for variable in raw.split(b"\0"):
        if variable.startswith(MARK_VARIABLE.encode() + b"="):
            return variable[len(MARK_VARIABLE) + 1 :].decode("ascii", "replace")
    return None


class TaskLauncher:
    """A process that waits for `release` before it executes a task's command."""

    def __init__(self, command: list[str], environment: dict[str, str], directory: Path, output: int) -> None:
        """Start the process. Raises OSError."""
        read_end, write_end = os.pipe()
        try:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", LAUNCH_SCRIPT, "task", *command],
                stdin=read_end,
                stdout=output,
                stderr=output,
                cwd=directory,
                env=environment,
                start_new_session=True,
            )
        except BaseException:
            os.close(write_end)
            raise
        finally:
            os.close(read_end)
        self._release_pipe = write_end
        info = read_process_info(self.process.pid)
        self.start_ticks = info.start_ticks if info else 0

    def apply_limits(self, process_limits: ProcessLimits) -> None:
        """Set the process's resource limits. Raises OSError or ValueError."""
        limits = [(resource.RLIMIT_CORE, 0)]
        if process_limits.memory_gb is not None:
            limits.append((resource.RLIMIT_AS, int(process_limits.memory_gb * 1024**3)))
        if process_limits.cpu_s is not None:
            limits.append((resource.RLIMIT_CPU, process_limits.cpu_s))
        if process_limits.file_mb is not None:
            limits.append((resource.RLIMIT_FSIZE, process_limits.file_mb * 1024**2))
        if process_limits.open_files is not None:
            limits.append((resource.RLIMIT_NOFILE, process_limits.open_files))
        for limit, value in limits:
            resource.prlimit(self.process.pid, limit, (value, value))

    def release(self) -> None:
        """Let the process execute the task's command."""
        with contextlib.suppress(OSError):
            os.write(self._release_pipe, b"go\n")
        self.close_input()

    def close_input(self) -> None:
        """Close the input; unless released before, the process exits without executing the command."""
        if self._release_pipe >= 0:
            os.close(self._release_pipe)
            self._release_pipe = -1


def signal_group(pid: int, number: int) -> None:
    """Send a signal to a process group, if it exists."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(pid, number)


def reap_orphans(task_pids: Iterable[int]) -> list[ProcessInfo]:
    """Reap exited children except the tasks' first processes; return those that still run."""
    known_pids = set(task_pids)
    remaining = []
    own_pid = os.getpid()
    for info in all_processes():
        if info.parent != own_pid or info.pid in known_pids:
            continue
        if info.has_exited:
            with contextlib.suppress(ChildProcessError):
                os.waitpid(info.pid, os.WNOHANG)
        else:
            remaining.append(info)
    return remaining


def kill_marked(marks: set[str], timeout: float) -> set[str]:
    """Kill every process with one of the marks; return the marks whose processes still run after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    pause_s = 0.005
    while True:
        remaining = set()
        for info in all_processes():
            if info.has_exited or info.pid == os.getpid():
                continue
            mark = process_mark(info.pid)
            if mark in marks:
                remaining.add(mark)
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.kill(info.pid, signal.SIGKILL)
        if not remaining or time.monotonic() > deadline:
            return remaining
        time.sleep(pause_s)
        pause_s = min(0.1, 2 * pause_s)


def kill_children(timeout: float = 5.0) -> bool:
    """Kill all child processes, once no task runs; return whether some still run after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while True:
        remaining = reap_orphans(())
        for info in remaining:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.kill(info.pid, signal.SIGKILL)
        if not remaining or time.monotonic() > deadline:
            return bool(remaining)
        time.sleep(0.01)


def is_running(process: StartedProcess) -> bool:
    """Return whether the recorded process runs; its process id may have been reused by another since."""
    if process.pid is None or process.boot != boot_id():
        return False
    info = read_process_info(process.pid)
    return info is not None and info.start_ticks == process.start_ticks and not info.has_exited


def kill_recorded_processes(write_ahead_log: WriteAheadLog, timeout: float = 10.0) -> bool:
    """Kill all recorded processes, left by an earlier or a removed agent; return True once none of them runs."""
    processes = write_ahead_log.recorded_processes()
    for process in processes:
        if process.pid is not None and is_running(process):
            signal_group(process.pid, signal.SIGKILL)
    remaining = kill_marked({process.mark for process in processes}, timeout) if processes else set()
    remaining |= {process.mark for process in processes if is_running(process)}
    write_ahead_log.record_ends([process.mark for process in processes if process.mark not in remaining])
    return not remaining
