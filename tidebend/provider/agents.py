"""Agents as processes of this machine: how they are started, found again, and ended with all that they ran."""

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

MOST_LOG_BYTES = 1024 * 1024
# an agent that ends at once again and again is started at growing intervals, up to this one
LONGEST_PAUSE_S = 30.0
SETTLED_S = 20.0


@dataclass
class _Started:
    process: subprocess.Popen
    at: float
    pause: float


class AgentProcesses:
    """Whether an agent is there is told by the lock on its directory, which the kernel frees when it ends."""

    def __init__(self, root: Path, control: str, key_file: Path, alone_leases: float, tls: Tls | None) -> None:
        self._root = root
        self._control = control
        self._key_file = key_file
        self._alone_leases = alone_leases
        self._tls = tls
        self._lock = threading.Lock()
        self._started: dict[str, _Started] = {}
        self._ending: set[str] = set()

    def directory(self, name: str) -> Path:
        """Return the directory of a machine's agent."""
        return self._root / name

    def keep_up(self, name: str, kind: str, nonce: str) -> None:
        """Start it unless it is there."""
        now = time.monotonic()
        with self._lock:
            started = self._started.get(name)
            if name in self._ending:
                return  # guards against starting again what is just being ended
        if started is not None:
            if started.process.poll() is None:
                return
            if now - started.at > SETTLED_S:
                started.pause = 0.5
            if now - started.at < started.pause:
                return
            log.warning("agent %s has ended (%s): starting it again", name, started.process.returncode)
        elif not self._free(name):
            return  # one that was started before us goes on
        pause = min(LONGEST_PAUSE_S, 2.0 * started.pause) if started else 0.5
        process = self._start(name, kind, nonce)
        with self._lock:
            self._started[name] = _Started(process, now, pause)

    def _free(self, name: str) -> bool:
        try:
            DirectoryLock(self.directory(name)).release()
        except DirectoryLockedError:
            return False
        return True

    def _start(self, name: str, kind: str, nonce: str) -> subprocess.Popen:
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
        if self._tls is not None:  # the same as ours, since it is on the same machine
            rows = {key: str(Path(value).absolute()) for key, value in msgspec.structs.asdict(self._tls).items()}
            text += "tls {\n" + "".join(f"  {key} = {json.dumps(value)}\n" for key, value in rows.items()) + "}\n"
        settings.write_text(text.replace("${", "$${").replace("%{", "%%{"))
        place = directory / "agent.log"
        if place.exists() and place.stat().st_size > MOST_LOG_BYTES:
            place.replace(directory / "agent.log.1")
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(part for part in sys.path if part)}
        fault = environment.pop("TIDEBEND_AGENT_FAULT", "")
        environment.pop("TIDEBEND_FAULT", None)  # a fault of ours is none of the agent's
        if fault:
            environment["TIDEBEND_FAULT"] = fault
            del os.environ["TIDEBEND_AGENT_FAULT"]  # for one agent, once
        with open(place, "ab") as out:
            # in a session of its own: it outlives us, and Ctrl-C at our terminal is ours alone
            return subprocess.Popen(
                [sys.executable, "-m", "tidebend", "agent", "--config", str(settings)],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environment,
                start_new_session=True,
            )

    def kill(self, name: str, timeout: float = 10.0) -> bool:
        """End it and all that it ran; True once that is certain, and it won't come back."""
        with self._lock:
            self._ending.add(name)
        try:
            return self._kill(name, timeout)
        finally:
            with self._lock:
                self._ending.discard(name)

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
                # one that was started but hasn't got as far as its lock finds this and ends
                write_ahead_log.set_facts(gone="1")
                gone = kill_recorded_processes(write_ahead_log, timeout)
            finally:
                write_ahead_log.close()
        except WriteAheadLogError as error:
            log.error("agent %s: %s", name, error)
            return False
        finally:
            lock.release()
        with self._lock:
            started = self._started.pop(name, None)
        if started is not None:
            started.process.wait(5.0)
        return gone

    def _signal(self, name: str, number: int) -> None:
        """To the agent's process, whether we started it or one before us did."""
        with self._lock:
            started = self._started.get(name)
        if started is not None and started.process.poll() is None:
            started.process.send_signal(number)
            return
        write_ahead_log = WriteAheadLog(self.directory(name))
        pid, since, boot = (
            write_ahead_log.get_fact("pid"),
            write_ahead_log.get_fact("started"),
            write_ahead_log.get_fact("boot"),
        )
        write_ahead_log.close()
        if pid and is_running(StartedProcess("", "agent", int(pid), int(since), boot)):
            os.kill(int(pid), number)

    def end_in_order(self, names: list[str], timeout: float = 10.0) -> None:
        """Tell agents to end; they end their tasks first. They come back, as the same machines, when started again."""
        for name in names:
            self._signal(name, signal.SIGTERM)
        deadline = time.monotonic() + timeout
        for name in names:
            while not self._free(name):
                if time.monotonic() > deadline:
                    log.error("agent %s doesn't end", name)
                    break
                time.sleep(0.02)
