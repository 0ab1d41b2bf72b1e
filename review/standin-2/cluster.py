"""A small deployment on loopback: the project's controllers as processes, and the stand-ins around them."""

from __future__ import annotations

import json
import os
import shlex
import signal
import subprocess
import tempfile
import threading
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cloud import Cloud
from http_stub import Answer, Client, free_address
from state import StateService

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("xela-norte", "xela-sur", "antigua-uno")
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, RETRY_PAUSE_S, RETRY_FOR_S = 5.0, 2.0, 1.0, 60.0


@dataclass
class Site:
    """The deployment, with the figures of the operators' first brief."""

    zones: tuple[str, ...] = ZONES
    capacity: int = 12  # machines that the cloud has
    # machines of a type in a zone, where that is less
    capacity_of: dict[tuple[str, str], int] = field(default_factory=dict)
    cloud_rps: float = 5.0
    list_lag_s: float = 3.0
    times: dict[str, float] = field(
        default_factory=lambda: {
            "report_s": 1.0,
            "lease_s": 10.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 5.0,
            "cancel_s": 35.0,
        }
    )
    state: dict[str, float] = field(
        default_factory=lambda: {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12}
    )
    types: list[dict[str, Any]] = field(default_factory=lambda: [machine_type("ocho-nucleos", ZONES, 8.0, 0.0, 32.0)])
    gpus_max: float = 0.0  # of each team; 0: none
    teams: tuple[str, ...] = ("equipo-tecnico-00", "equipo-tecnico-01")

    def settings(self, member: str, nodes: dict[str, tuple[str, str, str]], cloud: str, state: str) -> str:
        """Return the settings file of one controller; `nodes`: name -> zone, address and peers' address."""
        lines = [f'member = "{member}"', f'site = "{nodes[member][0]}"']
        lines += [f'serve_on = "{nodes[member][1]}"', f'peer_bind = "{nodes[member][2]}"']
        for name, (zone, _, peer_bind) in nodes.items():
            if name != member:
                lines += ["[[peers]]", f'member = "{name}"', f'site = "{zone}"', f'address = "{peer_bind}"']
        lines += ["[outside]", f'cloud = "{cloud}"', f'state = "{state}"']
        lines += ["[deployment]", f"size = {len(nodes)}", f"zones = {json.dumps(self.zones)}", "clock_off_ms = 100.0"]
        for team in self.teams:
            lines += ["[[deployment.teams]]", f'name = "{team}"', "cpus = 16.0", "cpus_max = 56.0"]
            lines += ["gpus = 0.0", f"gpus_max = {self.gpus_max}"]
        for table, values in (("workers", self.times), ("state", self.state)):
            lines += [f"[deployment.{table}]", *(f"{key} = {value}" for key, value in values.items())]
        lines += ["[deployment.cloud]", f"rps = {self.cloud_rps}", f"list_lag_s = {self.list_lag_s}"]
        lines += ["[deployment.resources]", "cpu = 0.5", "memory_mb = 146.0", "max_sockets = 600"]
        return "\n".join(lines) + "\n"


class Record:
    """What was sent, answered and run, in the order of its times, written to `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._began = time.monotonic()
        self._file = open(path, "w", buffering=1)  # noqa: SIM115 (closed with the process)
        self._lock = threading.Lock()
        self._lines: list[str] = []

    def count(self, text: str) -> int:
        """Return how many lines have this text in them."""
        with self._lock:
            return sum(text in line for line in self._lines)

    def __call__(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._lines.append(text)
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")


class Cluster:
    """Controllers of one deployment; a context manager that ends all that it started."""

    def __init__(self, site: Site, record: Record) -> None:
        """Start the stand-ins; `start` starts the controllers."""
        self.site, self.record = site, record
        self.jobs: dict[str, dict[str, Any]] = {}
        self.state = StateService(site.state)
        self.cloud = Cloud(site, self.jobs, record)
        self.nodes = {
            f"berth-{number}": (zone, free_address(), free_address()) for number, zone in enumerate(site.zones)
        }
        self.cloud.nodes.update({name: address for name, (_, address, _) in self.nodes.items()})
        self.processes: dict[str, subprocess.Popen] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self._run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]

    def __enter__(self) -> Cluster:
        """Start all controllers."""
        for name in self.nodes:
            self.start(name)
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._directory.cleanup()

    def start(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        directory = Path(self._directory.name)
        path = directory / f"{name}.toml"
        path.write_text(self.site.settings(name, self.nodes, self.cloud.address, self.state.address))
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "error")}
        with open(directory / f"{name}.log", "ab") as out:
            self.processes[name] = subprocess.Popen(
                [*shlex.split(self._run), str(path)], cwd=ROOT, env=environment, stdout=out, stderr=out
            )
        self.record(f"{name}: started")

    def kill(self, name: str) -> None:
        """End a controller at once."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record(f"{name}: killed")

    def logs(self) -> str:
        """Return what the controllers have logged."""
        return "".join(path.read_text(errors="replace") for path in sorted(Path(self._directory.name).glob("*.log")))

    def address(self, number: int = 0) -> str:
        """Return the users' address of a controller by its number."""
        return self.nodes[f"berth-{number}"][1]

    def wait_ready(self, seconds: float = 30.0) -> bool:
        """Wait until all controllers are ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            answers = [Client(address).request("GET", "/ready", None, 1.0) for _, address, _ in self.nodes.values()]
            if all(answer is not None and answer[0] == 200 for answer in answers):
                self.record("all controllers are ready")
                return True
            time.sleep(0.2)
        return False

    # Users

    def submit(self, job: dict[str, Any], number: int = 0, run_s: float = 5.0) -> Answer | None:
        """Submit a job as a user does, with retries; return the last answer. Its tasks run for `run_s`."""
        self.jobs[job["id"]] = {**job, "runS": run_s}
        deadline = time.monotonic() + RETRY_FOR_S
        while True:
            answer = Client(self.address(number)).request("POST", "/api/jobs", job, SUBMIT_TIMEOUT_S)
            self.record(f"user: POST /api/jobs {job['id']} -> {_shown(answer)}")
            if (answer is not None and answer[0] in (200, 201, 400, 422)) or time.monotonic() > deadline:
                return answer
            time.sleep(RETRY_PAUSE_S)

    def poll(self, job_id: str, number: int = 0) -> Answer | None:
        """Ask for a job's state once."""
        answer = Client(self.address(number)).request("GET", f"/api/jobs/{job_id}", None, POLL_TIMEOUT_S)
        self.record(f"user: GET /api/jobs/{job_id} -> {_shown(answer)}")
        return answer

    def cancel(self, job_id: str, number: int = 0) -> Answer | None:
        """Ask once to cancel a job."""
        answer = Client(self.address(number)).request("POST", f"/api/jobs/{job_id}/cancel", {}, SUBMIT_TIMEOUT_S)
        self.record(f"user: POST /api/jobs/{job_id}/cancel -> {_shown(answer)}")
        return answer

    def wait_for(self, job_id: str, states: tuple[str, ...], seconds: float) -> str | None:
        """Poll a job once a second until it has one of the states; return the last state that was answered."""
        deadline = time.monotonic() + seconds
        last: str | None = None
        while time.monotonic() < deadline and last not in states:
            answer = self.poll(job_id)
            if answer is not None and answer[0] == 200:
                last = answer[1]["tide"]
            time.sleep(1.0)
        return last


def machine_type(name: str, zones: tuple[str, ...], vcpus: float, gpus: float, memory_gb: float) -> dict[str, Any]:
    """Return a machine type as the cloud lists it, priced by its size."""
    price = 0.05 * vcpus + 2.5 * gpus
    return {
        "name": name,
        "vcpus": vcpus,
        "accelerators": gpus,
        "memoryGb": memory_gb,
        "localGb": 70.0,
        "fetchGbPerS": 0.3,
        "price": price,
        "spotPrice": price / 3.0,
        "startupS": 5.0,
        "harbors": list(zones),
    }


def _shown(answer: Answer | None) -> str:
    return "no answer" if answer is None else f"{answer[0]} {json.dumps(answer[1])}"


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a submission: an array of one small task, changed by `fields`."""
    return {
        "id": job_id,
        "tier": "episode-encode",
        "crew": "equipo-tecnico-00",
        "shape": "sweep",
        "rank": "standard",
        "pieces": 1,
        "vcpus": 4.0,
        "accelerators": 0.0,
        "memoryGb": 11.0,
        "cargo": "img-01",
        "sizeGb": 0.3,
        "hulls": None,
        "harbor": None,
        "samePlace": False,
        "spread": False,
        "driftwood": False,
        "reckonS": 5.0,
        "markS": 0.0,
        "stowS": 0.0,
        "dueS": None,
        **fields,
    }
