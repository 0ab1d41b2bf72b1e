"""Processes of tasks: how they start, how one knows them again, and how all that descends from them is ended."""

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
# Waits for a word on its input before it becomes the task: the agent first writes down who it is. If the agent dies
# before that, the input ends and nothing starts. Exit status 125 is seen by nobody then.
STUB = 'IFS= read -r go || exit 125; exec "$@" </dev/null'


def adopt_orphans() -> None:
    """Have whatever a task leaves behind become our child instead of the system's, so that it can be found."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


def boot_id() -> str:
    """Return an id that changes each time the machine boots."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(frozen=True, slots=True)
class ProcessInfo:
    """What the system tells of a process."""

    pid: int
    parent: int
    start_ticks: int  # ticks since the machine booted; a clock that is set changes nothing here
    dead: bool  # ended, and only its parent hasn't asked yet


def read_process_info(pid: int) -> ProcessInfo | None:
    """None if there is no such process."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text[text.rindex(")") + 2 :].split()
    return ProcessInfo(pid, int(fields[1]), int(fields[19]), fields[0] in "ZX")


def all_processes() -> list[ProcessInfo]:
    """Return all processes of the machine that can be seen."""
    found = (read_process_info(int(name)) for name in os.listdir("/proc") if name.isdigit())
    return [seen for seen in found if seen is not None]


def process_mark(pid: int) -> str | None:
    """The mark that a process was started with, None if it has none or may not be asked."""
    try:
        raw = Path(f"/proc/{pid}/environ").read_bytes()
    except OSError:
        return None
    for row in raw.split(b"\0"):
        if row.startswith(MARK_VARIABLE.encode() + b"="):
            return row[len(MARK_VARIABLE) + 1 :].decode("ascii", "replace")
    return None


class TaskLauncher:
    """A process that waits to become the task."""

    def __init__(self, command: list[str], environment: dict[str, str], directory: Path, output: int) -> None:
        """Raises OSError."""
        ours, theirs = os.pipe()
        try:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", STUB, "task", *command],
                stdin=ours,
                stdout=output,
                stderr=output,
                cwd=directory,
                env=environment,
                start_new_session=True,
            )
        except BaseException:
            os.close(theirs)
            raise
        finally:
            os.close(ours)
        self._word = theirs
        seen = read_process_info(self.process.pid)
        self.start_ticks = seen.start_ticks if seen else 0

    def bound(self, bounds: ProcessLimits) -> None:
        """Raises OSError or ValueError."""
        rows = [(resource.RLIMIT_CORE, 0)]
        if bounds.memory_gb is not None:
            rows.append((resource.RLIMIT_AS, int(bounds.memory_gb * 1024**3)))
        if bounds.cpu_s is not None:
            rows.append((resource.RLIMIT_CPU, bounds.cpu_s))
        if bounds.file_mb is not None:
            rows.append((resource.RLIMIT_FSIZE, bounds.file_mb * 1024**2))
        if bounds.open_files is not None:
            rows.append((resource.RLIMIT_NOFILE, bounds.open_files))
        for which, value in rows:
            resource.prlimit(self.process.pid, which, (value, value))

    def go(self) -> None:
        """Let the process become the task."""
        with contextlib.suppress(OSError):
            os.write(self._word, b"go\n")
        self.drop()

    def drop(self) -> None:
        """Without a word it exits and has never been the task."""
        if self._word >= 0:
            os.close(self._word)
            self._word = -1


def signal_group(pid: int, number: int) -> None:
    """Send a signal to a process group, if it is there."""
    with contextlib.suppress(ProcessLookupError, PermissionError):
        os.killpg(pid, number)


def reap_strangers(ours: Iterable[int]) -> list[ProcessInfo]:
    """Children that we adopted and that aren't tasks' own first processes; those that have ended are let go."""
    known = set(ours)
    left = []
    me = os.getpid()
    for seen in all_processes():
        if seen.parent != me or seen.pid in known:
            continue
        if seen.dead:
            with contextlib.suppress(ChildProcessError):
                os.waitpid(seen.pid, os.WNOHANG)
        else:
            left.append(seen)
    return left


def end_marked(marks: set[str], timeout: float) -> set[str]:
    """Kill every process that carries one of the marks; those of marks that are still there after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    pause = 0.005
    while True:
        left = set()
        for seen in all_processes():
            if seen.dead or seen.pid == os.getpid():
                continue
            mark = process_mark(seen.pid)
            if mark in marks:
                left.add(mark)
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.kill(seen.pid, signal.SIGKILL)
        if not left or time.monotonic() > deadline:
            return left
        time.sleep(pause)
        pause = min(0.1, 2 * pause)


def end_children(timeout: float = 5.0) -> bool:
    """Kill all that descends from us when none of it is a task's any more; whether something is left."""
    deadline = time.monotonic() + timeout
    while True:
        left = reap_strangers(())
        for seen in left:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.kill(seen.pid, signal.SIGKILL)
        if not left or time.monotonic() > deadline:
            return bool(left)
        time.sleep(0.01)


def is_running(row: StartedProcess) -> bool:
    """Whether the process that was written down is there: a process id may have been given to another since."""
    if row.pid is None or row.boot != boot_id():
        return False
    seen = read_process_info(row.pid)
    return seen is not None and seen.start_ticks == row.start_ticks and not seen.dead


def kill_recorded_processes(write_ahead_log: WriteAheadLog, timeout: float = 10.0) -> bool:
    """End all that an agent before us, or one that is gone, has begun; True once none of it is there any more."""
    rows = write_ahead_log.recorded_processes()
    for row in rows:
        if row.pid is not None and is_running(row):
            signal_group(row.pid, signal.SIGKILL)
    left = end_marked({row.mark for row in rows}, timeout) if rows else set()
    left |= {row.mark for row in rows if is_running(row)}
    write_ahead_log.record_ends([row.mark for row in rows if row.mark not in left])
    return not left
