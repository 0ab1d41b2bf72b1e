"""A control service and agents of the project as processes on loopback, and its users' commands."""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from case import expect
from cluster import ROOT, Record

# the first operator's times
TIMES = {"report_s": 1, "lease_s": 10, "gang_wait_s": 45, "gang_peer_s": 5, "cancel_s": 35}
COMMAND_TIMEOUT_S = 30.0


class Local:
    """One control service; a context manager that ends all that it started."""

    def __init__(self, record: Record, machines: dict[str, int]) -> None:
        """`machines`: name of each machine type -> number of agents that the control service starts itself."""
        self.record = record
        self._holder = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._holder.name)
        self._machines = machines
        # the program of the deploy file; its last word, `--config`, takes a platform's file
        self._program = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])[:-1]
        self.control: subprocess.Popen | None = None
        self.agents: dict[str, subprocess.Popen] = {}
        self._groups: list[Path] = []

    def __enter__(self) -> Local:
        """Start the control service and wait until it serves."""
        lines = ['listen = "127.0.0.1:0"', "times {", *(f"  {key} = {value}" for key, value in TIMES.items()), "}"]
        for name, count in self._machines.items():
            lines += [f'machine "{name}" {{', "  cpus = 8", "  memory_gb = 32", f"  agents = {count}", "}"]
        settings = self.directory / "control.hcl"
        settings.write_text("\n".join(lines) + "\n")
        self.control = self._spawn("control", "--config", str(settings), "--data", str(self.directory))
        self.record("control service: started")
        if not wait_until(lambda: (self.directory / "address").exists(), 30.0):
            raise RuntimeError("the control service doesn't serve")
        return self

    def __exit__(self, *_: object) -> None:
        """End the control service with its agents, the agents elsewhere, and tasks that are left."""
        if self.control is not None:
            self.control.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.control.wait(20.0)
        for process in [self.control, *self.agents.values()]:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for path in self._groups:
            for pid in pids(path):
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(pid, signal.SIGKILL)
        self._holder.cleanup()

    def _spawn(self, *words: str) -> subprocess.Popen:
        with open(self.directory / f"{words[0]}.log", "ab") as out:
            return subprocess.Popen(
                [*self._program, *words],
                cwd=ROOT,
                env={**os.environ, "LOG_LEVEL": "info"},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    def pid_file(self, name: str) -> Path:
        """Return a file to which a task adds the id of its process group; what is left of these is ended."""
        path = self.directory / name
        self._groups.append(path)
        return path

    def start_agent(self, name: str, kind: str, control: str | None = None) -> subprocess.Popen:
        """Start an agent that the control service didn't start, or start it again."""
        directory = self.directory / name
        directory.mkdir(exist_ok=True)
        address = control or (self.directory / "address").read_text().split()[0]
        settings = {"control": address, "key_file": str(self.directory / "keys.json"), "data": str(directory)}
        path = directory / "agent.hcl"
        path.write_text("".join(f'{key} = "{value}"\n' for key, value in {**settings, "kind": kind}.items()))
        self.agents[name] = self._spawn("agent", "--config", str(path))
        self.record(f"agent {name}: started")
        return self.agents[name]

    def kill_agent(self, name: str) -> None:
        """End an agent at once."""
        self.agents[name].send_signal(signal.SIGKILL)
        self.agents[name].wait()
        self.record(f"agent {name}: killed")

    # Users

    def command(self, *words: str) -> Any:
        """Run one of the users' commands and return what it prints as JSON; None if it prints none."""
        done = subprocess.run(
            [*self._program, *words, "--data", str(self.directory), "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
        self.record(f"user: {' '.join(words)} -> {done.returncode} {(done.stdout + done.stderr).strip()}")
        try:
            return json.loads(done.stdout)
        except ValueError:
            return None

    def submit(self, name: str, command: list[str], **fields: Any) -> str:
        """Submit a job and return its id."""
        path = self.directory / f"{name}.hcl"
        rows = {"command": command, "cpus": 1, **fields}
        path.write_text(f'job "{name}" {{\n' + "".join(f"  {k} = {json.dumps(v)}\n" for k, v in rows.items()) + "}\n")
        return self.command("submit", str(path))[0]["job"]

    def state(self, job: str) -> str | None:
        """Return a job's state as its user is told it."""
        rows = self.command("status", job)
        return rows[0]["state"] if rows else None


class Ticker:
    """A job of one task that notes the time of day twice a second for as long as it runs."""

    def __init__(self, local: Local, machine: str) -> None:
        """Submit the job for one machine type and wait until its task runs. Raises `CouldNotRunError`."""
        self._ticks = local.directory / "ticks"
        group = local.pid_file("group")
        script = f"echo $$ >> {group}; while :; do date +%s.%N >> {self._ticks}; sleep 0.5; done"
        expect(wait_until(lambda: bool(local.command("agents")), 20.0), "the agent doesn't join")
        self.job = local.submit("tick", ["sh", "-c", script], machines=[machine])
        expect(wait_until(self._ticks.exists, 20.0), "the task doesn't start")

    def after(self, at: float) -> int:
        """Return how often the task has noted a time after `at`."""
        return sum(float(tick) > at for tick in self._ticks.read_text().split())

    def goes_on(self) -> bool:
        """Return whether the task runs at the moment."""
        now = time.time()
        time.sleep(2.0)
        return self.after(now) > 0


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; False if it doesn't in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.1)
    return False


def pids(path: Path) -> list[int]:
    """Return the process ids in a file that tasks add them to."""
    return [int(line) for line in path.read_text().split()] if path.exists() else []
