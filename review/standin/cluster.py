"""A small deployment: the controllers as processes, the stand-ins around them, and its users."""

from __future__ import annotations

import contextlib
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.standin.machines import Cloud, MachineType, Times, World
from review.standin.store import Store
from review.standin.web import Answer, request

ROOT = Path(__file__).resolve().parents[2]
# a case that takes longer couldn't run
LONGEST_S = 115


@dataclass(frozen=True)
class Site:
    """The settings of a deployment."""

    name: str
    zones: tuple[str, ...]
    times: Times
    rps: float
    write_rps: float
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    kinds: tuple[MachineType, ...]
    teams: tuple[tuple[str, float, float], ...]  # name, guaranteed CPUs, limit
    max_sockets: int
    clock_off_ms: float
    restart_s: float
    value_kb: float = 8.0


VOCES = Site(
    name="voces-altiplano",
    zones=("xela-norte", "xela-sur", "antigua-uno"),
    times=Times(1.0, 10.0, 35.0),
    rps=60.0,
    write_rps=15.0,
    txn_ops=12,
    cloud_rps=5.0,
    list_lag_s=3.0,
    kinds=(MachineType("ocho-nucleos", 8.0, 32.0),),
    teams=tuple((f"equipo-tecnico-{number:02d}", 16.0, 56.0) for number in range(12)),
    max_sockets=600,
    clock_off_ms=100.0,
    restart_s=6.0,
)
VOCES_FLEET = Site(
    name="voces-altiplano-fleet",
    zones=("xela-norte", "xela-sur", "antigua-uno"),
    times=Times(2.5, 15.25, 40.25),
    rps=250.0,
    write_rps=60.0,
    txn_ops=12,
    cloud_rps=10.0,
    list_lag_s=3.0,
    kinds=(MachineType("ocho-nucleos", 8.0, 32.0),),
    teams=tuple((f"equipo-tecnico-{number:02d}", 350.0, 1200.0) for number in range(12)),
    max_sockets=2044,
    clock_off_ms=100.0,
    restart_s=6.0,
)
ATS = Site(
    name="ats-palermo",
    zones=("palermo-centro", "palermo-porto", "monreale"),
    times=Times(3.0, 14.0, 39.0),
    rps=120.0,
    write_rps=30.0,
    txn_ops=16,
    cloud_rps=2.0,
    list_lag_s=10.0,
    kinds=(
        MachineType("piccola", 4.0, 32.0, 20.0, 0.1, price=0.27),
        MachineType("media", 8.0, 32.0, 25.0, 0.1, price=0.42),
        MachineType("grande", 16.0, 64.0, 40.0, 0.12, price=0.98),
        MachineType("calcolo-gpu", 24.0, 96.0, 30.0, 0.12, gpus=2.0, price=6.21),
    ),
    teams=(("sala-operativa", 120.0, 500.0), ("sistemi-it", 120.0, 900.0)),
    max_sockets=1200,
    clock_off_ms=25.0,
    restart_s=3.0,
)


class Record:
    """The file record.txt of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write a line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {line}\n")
            self._file.flush()


def free_port(taken: set[int] = set()) -> int:  # noqa: B006 (remembers the ports of this process)
    """Return a free loopback port outside the range of outgoing connections, which could take it between two starts."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in taken:
                taken.add(port)
                return port


@dataclass
class UserView:
    """What users were told about a job."""

    accepted_at: float | None = None
    cancelled_at: float | None = None
    done_at: float | None = None
    answers: list[tuple[float, str, int, str]] = field(default_factory=list)  # time, node, status, state


class Cluster:
    """The deployment. Use as a context manager: all processes end with it."""

    def __init__(self, site: Site, note: Callable[[str], None]) -> None:
        self.site, self.note = site, note
        self.names = [f"berth-{number}" for number in range(len(site.zones))]
        self.folder = Path(tempfile.mkdtemp(prefix="tidebend-review-"))
        self.ports = {name: free_port() for name in self.names}
        self.peer_ports = {name: free_port() for name in self.names}
        self.world = World(site.times, self.ports, note)
        self.store = Store(self.names, site.rps, site.write_rps, site.txn_ops, site.value_kb)
        self.cloud = Cloud(self.world, list(site.kinds), list(site.zones), site.list_lag_s)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.users: dict[str, UserView] = {}
        self.broken: list[str] = []
        self._users_lock = threading.Lock()
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self.command = shlex.split(deploy["run"])
        for number, name in enumerate(self.names):
            (self.folder / f"{name}.toml").write_text(self._settings(name, site.zones[number]))

    def __enter__(self) -> Cluster:
        """Return the cluster; no controller runs yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all controllers."""
        for name in list(self.processes):
            self.kill(name)
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, name: str, zone: str) -> str:
        site = self.site
        lines = [
            f'member = "{name}"',
            f'site = "{zone}"',
            f'serve_on = "127.0.0.1:{self.ports[name]}"',
            f'peer_bind = "127.0.0.1:{self.peer_ports[name]}"',
        ]
        for number, peer in enumerate(self.names):
            if peer != name:
                lines += ["[[peers]]", f'member = "{peer}"', f'site = "{site.zones[number]}"']
                lines += [f'address = "127.0.0.1:{self.peer_ports[peer]}"']
        lines += [
            "[outside]",
            f'cloud = "127.0.0.1:{self.cloud.port}"',
            f'state = "127.0.0.1:{self.store.ports[name]}"',
        ]
        zones = ", ".join(f'"{zone}"' for zone in sorted(site.zones))
        lines += [
            "[deployment]",
            f"size = {len(self.names)}",
            f"zones = [{zones}]",
            f"clock_off_ms = {site.clock_off_ms}",
        ]
        for team, cpus, cpus_max in site.teams:
            lines += ["[[deployment.teams]]", f'name = "{team}"', f"cpus = {cpus}", f"cpus_max = {cpus_max}"]
            lines += ["gpus = 0.0", "gpus_max = 0.0"]
        lines += ["[deployment.workers]", f"report_s = {site.times.report_s}", f"lease_s = {site.times.lease_s}"]
        lines += ["gang_wait_s = 45.0", "gang_peer_s = 5.0", f"cancel_s = {site.times.cancel_s}"]
        lines += ["[deployment.state]", f"rps = {site.rps}", f"write_rps = {site.write_rps}"]
        lines += [f"value_kb = {site.value_kb}", f"txn_ops = {site.txn_ops}"]
        lines += ["[deployment.cloud]", f"rps = {site.cloud_rps}", f"list_lag_s = {site.list_lag_s}"]
        lines += ["[deployment.resources]", "cpu = 0.5", "memory_mb = 186.0", f"max_sockets = {site.max_sockets}"]
        return "\n".join(lines) + "\n"

    # Processes

    def start(self, name: str) -> None:
        """Start a controller."""
        self.note(f"platform: start of {name}")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self.command, str(self.folder / f"{name}.toml")],
                cwd=ROOT,
                env={key: value for key, value in os.environ.items() if key != "PYTHONPATH"},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """Kill a controller, and wait until it is gone."""
        process = self.processes.pop(name)
        self.note(f"platform: {name} is killed")
        process.send_signal(signal.SIGKILL)
        process.wait()

    def is_ready(self, name: str) -> bool:
        """Whether the load balancer would send users to this controller."""
        answer = request(self.ports[name], "GET", "/ready", timeout=1.0)
        return answer is not None and answer[0] == 200

    def wait_ready(self, names: list[str], seconds: float) -> bool:
        """Wait until all these controllers are ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(self.is_ready(name) for name in names):
                return True
            time.sleep(0.2)
        return False

    def wait(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition holds; return whether it does."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                return False
            time.sleep(0.05)
        return True

    def start_all(self, seconds: float) -> bool:
        """Start all controllers; return whether all are ready and each zone has its own holder in time."""
        for name in self.names:
            self.start(name)
        own = dict(zip(self.site.zones, self.names, strict=True))
        return self.wait_ready(self.names, seconds) and self.wait(lambda: self.holders() == own, seconds)

    def running(self) -> int:
        """Return how many tasks are on a machine."""
        with self.world.lock:
            return sum(bool(places) for places in self.world.on_machine.values())

    def leader(self) -> str | None:
        """Return the leader, to choose whom a disruption hits."""
        with self.store.changed:
            row = self.store.items.get("tidebend/live/leader")
        return row[0]["node"] if row else None

    def holders(self) -> dict[str, str]:
        """Return the holder of each zone's shard, for a test's timing only."""
        prefix = "tidebend/live/block/"
        with self.store.changed:
            return {
                key[len(prefix) : -2]: value["holder"]
                for key, (value, _, _) in self.store.items.items()
                if key.startswith(prefix)
            }

    # Users

    def job(self, job_id: str, **fields: Any) -> dict[str, Any]:
        """Return a submission, and upload the job's description for the workers."""
        run_s = fields.pop("run_s", 1.0)
        body: dict[str, Any] = {
            "id": job_id,
            "tier": "episode-encode",
            "crew": self.site.teams[0][0],
            "shape": "sweep",
            "rank": "standard",
            "pieces": 1,
            "vcpus": 1.0,
            "accelerators": 0.0,
            "memoryGb": 1.0,
            "cargo": "img-01",
            "sizeGb": 0.0,
            "hulls": None,
            "harbor": None,
            "samePlace": False,
            "spread": False,
            "driftwood": False,
            "reckonS": 1.0,
            "markS": 0.0,
            "stowS": 0.0,
            "dueS": None,
            **fields,
        }
        self.world.jobs[job_id], self.world.run_s[job_id] = body, run_s
        return body

    def ask(self, node: str, method: str, path: str, body: Any = None, timeout: float = 2.0) -> Answer | None:
        """Send one request of a user to a controller, and record it."""
        began = time.monotonic()
        answer = request(self.ports[node], method, path, body, timeout)
        state = (answer[1] or {}).get("tide") if answer else None
        self.note(
            f"user: {method} {path}{' ' + body['id'] if body else ''} to {node}: "
            f"{answer[0] if answer else 'no answer'} {state or ''} after {time.monotonic() - began:.3f} s"
        )
        return answer

    def submit(self, body: dict[str, Any], nodes: list[str] | None = None) -> bool:
        """Submit a job, with retries as users make them; return whether it was accepted."""
        until = time.monotonic() + 60.0
        turn = 0
        order = nodes or self.names
        while time.monotonic() < until:
            answer = self.ask(order[turn % len(order)], "POST", "/api/jobs", body, 5.0)
            if answer and answer[0] in (200, 201):
                view = self.users.setdefault(body["id"], UserView())
                view.accepted_at = time.monotonic()
                return True
            if answer and answer[0] in (400, 422):
                return False
            turn += 1
            time.sleep(1.0)
        return False

    def poll(self, job_id: str, node: str) -> str | None:
        """Ask a controller for a job; return its state, `unknown` for a 404, None without a decision.

        Checks the answer against what users were told before the question.
        """
        began = time.monotonic()
        view = self.users.setdefault(job_id, UserView())
        with self._users_lock:
            told = (view.accepted_at, view.cancelled_at, view.done_at)
        answer = self.ask(node, "GET", f"/api/jobs/{job_id}")
        if answer is None or answer[0] not in (200, 404):
            return None
        state = answer[1]["tide"] if answer[0] == 200 else "unknown"
        with self._users_lock:
            view.answers.append((began, node, answer[0], state))
            if told[2] and told[2] < began and state != "done":
                self.broken.append(f"went_back: {job_id} was called done, then {node} answered {state}")
            if told[1] and told[1] < began and state != "withdrawn":
                self.broken.append(f"went_back: {job_id} was called withdrawn, then {node} answered {state}")
            if told[0] and told[0] < began and state == "unknown":
                self.broken.append(f"forgotten: {job_id} was accepted, then {node} answered 404")
            if state == "done" and view.done_at is None:
                view.done_at = time.monotonic()
            if state == "withdrawn" and view.cancelled_at is None:
                view.cancelled_at = time.monotonic()
        return state

    def cancel(self, job_id: str, nodes: list[str] | None = None) -> str | None:
        """Cancel a job, with retries as users make them; return the state in the answer."""
        until = time.monotonic() + 60.0
        order, turn = nodes or self.names, 0
        while time.monotonic() < until:
            answer = self.ask(order[turn % len(order)], "POST", f"/api/jobs/{job_id}/cancel", None, 5.0)
            if answer and answer[0] == 200:
                view = self.users.setdefault(job_id, UserView())
                state = answer[1]["tide"]
                if state == "done":
                    view.done_at = view.done_at or time.monotonic()
                else:
                    view.cancelled_at = view.cancelled_at or time.monotonic()
                return state
            turn += 1
            time.sleep(1.0)
        return None


def run_case(site: Site, record: Path, case: Callable[[Cluster, bool], int]) -> int:
    """Run a case on a deployment of its own; return the exit status.

    `TROUBLE=0` leaves the disruption out; `KEEP_LOGS=1` keeps the folder with the controllers' settings and logs.
    """
    note = Record(record)
    trouble = os.environ.get("TROUBLE") != "0"
    note(f"case: {'with' if trouble else 'without'} the disruption")

    def stop(*_: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(LONGEST_S)
    try:
        with Cluster(site, note) as cluster:
            status = case(cluster, trouble)
            for line in cluster.broken[:40]:
                note(f"broken: {line}")
    except Exception as error:
        note(f"case: failed: {error!r}")
        traceback.print_exc()
        status = 2
    note(f"case: exit status {status}")
    return status
