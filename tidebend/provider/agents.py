"""Agent processes on this machine: starting them, finding them after a restart, and killing them with their tasks."""

from __future__ import annotations

import json
import logging
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from tidebend.access import Tls
from tidebend.agent import WriteAheadLog, kill_recorded_processes
from tidebend.agent.processes import is_running
from tidebend.agent.write_ahead_log import StartedProcess, WriteAheadLogError
from tidebend.kvstore import DirectoryLock, DirectoryLockedError

log = logging.getLogger("provider")

MAX_LOG_BYTES = 1024 * 1024
# upper bound of the exponential backoff between restarts of an agent that keeps exiting
MAX_RESTART_BACKOFF_S = 30.0
# an agent that ran for longer than this is restarted with the initial backoff
STABLE_AFTER_S = 20.0


@dataclass
class _AgentProcess:
    process: subprocess.Popen
    started_at: float
    backoff_s: float


class AgentProcesses:
    """Starts and kills agents. An agent runs while its directory is locked; the kernel frees the lock at its exit."""

    def __init__(self, root: Path, control: str, key_file: Path, alone_leases: float, tls: Tls | None) -> None:
        self._root = root
        self._control = control
        self._key_file = key_file
        self._alone_leases = alone_leases
        self._tls = tls
        self._lock = threading.Lock()
        self._processes: dict[str, _AgentProcess] = {}
        self._killing: set[str] = set()

    def directory(self, name: str) -> Path:
        """Return the directory of a machine's agent."""
        return self._root / name

    def ensure_running(self, name: str, kind: str, nonce: str) -> None:
        """Start a machine's agent unless it is running or its restart backoff hasn't passed."""
        now = time.monotonic()
        with self._lock:
            started = self._processes.get(name)
            if name in self._killing:
                return  # it is being killed and must not be restarted
        if started is not None:
            if started.process.poll() is None:
                return
            if now - started.started_at > STABLE_AFTER_S:
                started.backoff_s = 0.5
            if now - started.started_at < started.backoff_s:
                return
            log.warning("agent %s exited with status %s; restarting it", name, started.process.returncode)
        elif not self._is_unlocked(name):
            return  # an agent that an earlier control service started is still running
        backoff_s = min(MAX_RESTART_BACKOFF_S, 2.0 * started.backoff_s) if started else 0.5
        process = self._spawn(name, kind, nonce)
        with self._lock:
            self._processes[name] = _AgentProcess(process, now, backoff_s)

    def _is_unlocked(self, name: str) -> bool:
        try:
            DirectoryLock(self.directory(name)).release()
        except DirectoryLockedError:
            return False
        return True

    def _spawn(self, name: str, kind: str, nonce: str) -> subprocess.Popen:
        directory = self.directory(name)
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        write_ahead_log = WriteAheadLog(directory)
        if not write_ahead_log.get_fact("nonce"):
            write_ahead_log.set_facts(nonce=nonce, session="0", token="0")
        write_ahead_log.close()
        settings = directory / "agent.hcl"
        rows = {
            "control": self._control,
            "key_file": str(self._key_file),
            "data": str(directory),
            "kind": kind,
            "label": name,
            "alone_leases": self._alone_leases,
        }
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in rows.items())
        if self._tls is not None:  # the agent uses the control service's files, since it runs on the same machine
            rows = {key: str(Path(value).absolute()) for key, value in msgspec.structs.asdict(self._tls).items()}
            text += "tls {\n" + "".join(f"  {key} = {json.dumps(value)}\n" for key, value in rows.items()) + "}\n"
        settings.write_text(text.replace("${", "$${").replace("%{", "%%{"))
        log_path = directory / "agent.log"
        if log_path.exists() and log_path.stat().st_size > MAX_LOG_BYTES:
            log_path.replace(directory / "agent.log.1")
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(part for part in sys.path if part)}
        fault = environment.pop("TIDEBEND_AGENT_FAULT", "")
        environment.pop("TIDEBEND_FAULT", None)  # faults of the control service aren't meant for the agent
        if fault:
            environment["TIDEBEND_FAULT"] = fault
            del os.environ["TIDEBEND_AGENT_FAULT"]  # injected into one agent only, once
        with open(log_path, "ab") as out:
            # a session of its own: the agent outlives the control service and gets no SIGINT from its terminal
            return subprocess.Popen(
                [sys.executable, "-m", "tidebend", "agent", "--config", str(settings)],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environment,
                start_new_session=True,
            )

    def kill(self, name: str, timeout: float = 10.0) -> bool:
        """Kill a machine's agent and its tasks for good. Return whether all of them are certainly dead."""
        with self._lock:
            self._killing.add(name)
        try:
            return self._kill(name, timeout)
        finally:
            with self._lock:
                self._killing.discard(name)

    def _kill(self, name: str, timeout: float) -> bool:
        deadline = time.monotonic() + timeout
        while True:
            try:
                lock = DirectoryLock(self.directory(name))
                break
            except DirectoryLockedError:
                self._signal(name, signal.SIGKILL)
                if time.monotonic() > deadline:
                    return False
                time.sleep(0.02)
        try:
            write_ahead_log = WriteAheadLog(self.directory(name))
            try:
                # an agent that has started but doesn't hold its lock yet reads this and exits
                write_ahead_log.set_facts(gone="1")
                killed = kill_recorded_processes(write_ahead_log, timeout)
            finally:
                write_ahead_log.close()
        except WriteAheadLogError as error:
            log.error("agent %s: %s", name, error)
            return False
        finally:
            lock.release()
        with self._lock:
            started = self._processes.pop(name, None)
        if started is not None:
            started.process.wait(5.0)
        return killed

    def _signal(self, name: str, signal_number: int) -> None:
        """Send a signal to an agent, whether this control service or an earlier one started it."""
        with self._lock:
            started = self._processes.get(name)
        if started is not None and started.process.poll() is None:
            started.process.send_signal(signal_number)
            return
        write_ahead_log = WriteAheadLog(self.directory(name))
        pid, start_ticks, boot = (
            write_ahead_log.get_fact("pid"),
            write_ahead_log.get_fact("started"),
            write_ahead_log.get_fact("boot"),
        )
        write_ahead_log.close()
        if pid and is_running(StartedProcess("", "agent", int(pid), int(start_ticks), boot)):
            os.kill(int(pid), signal_number)

    def stop_all(self, names: list[str], timeout: float = 10.0) -> None:
        """Stop agents, which end their tasks first. They keep their machines when they are started again."""
        for name in names:
            self._signal(name, signal.SIGTERM)
        deadline = time.monotonic() + timeout
        for name in names:
            while not self._is_unlocked(name):
                if time.monotonic() > deadline:
                    log.error("agent %s hasn't exited before the timeout", name)
                    break
                time.sleep(0.02)
