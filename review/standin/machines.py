"""The cloud and its machines' workers, as the pages "Workers -> controller nodes" and "... -> cloud" describe them."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from review.standin.web import Answer, CuttableServer, request, serve

ANSWER_TIMEOUT_S = 4.0
NEXT_NODE_PAUSE_S = 1.0
MIN_REPORT_GAP_S = 0.5
CONNECTION_RETRIES_S = (1.0, 3.0)


@dataclass
class Times:
    """The workers' times in the settings."""

    report_s: float
    lease_s: float
    cancel_s: float


@dataclass(frozen=True)
class MachineType:
    """A type of machine that the cloud offers."""

    name: str
    cpus: float
    memory_gb: float
    boot_s: float = 30.0
    fetch_gb_per_s: float = 0.3
    gpus: float = 0.0
    price: float = 0.33


@dataclass
class Task:
    """One attempt of a task on a machine."""

    job: dict[str, Any]
    image_at: float
    run_s: float
    state: str = "fetching"
    began: float = 0.0
    cause: str | None = None
    stored: bool = False


@dataclass
class World:
    """What the stand-ins share: settings, the jobs that users have uploaded, and the log of what ran where."""

    times: Times
    controllers: dict[str, int]  # name -> port for workers and users
    note: Any  # function that writes a line of the record
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # id -> submission
    run_s: dict[str, float] = field(default_factory=dict)  # id -> real run time
    events: list[tuple[float, str, str, int, str, str]] = field(default_factory=list)
    on_machine: dict[str, dict[str, int]] = field(default_factory=dict)  # piece -> machine -> attempt
    lock: threading.RLock = field(default_factory=threading.RLock)
    ran_twice: list[str] = field(default_factory=list)
    completed: set[str] = field(default_factory=set)  # pieces whose result is kept

    def log(self, what: str, piece: str, attempt: int, machine: str, zone: str) -> None:
        """Record that a task is on a machine from now on, or no longer."""
        with self.lock:
            now = time.monotonic()
            self.events.append((now, what, piece, attempt, machine, zone))
            places = self.on_machine.setdefault(piece, {})
            if what == "on":
                if any(other != machine for other in places):
                    self.ran_twice.append(f"{piece} starts on {machine} while on {', '.join(places)}")
                places[machine] = attempt
            else:
                places.pop(machine, None)
            self.note(f"machine {machine} ({zone}): {piece} launch {attempt} {what}")


class Machine:
    """One machine with its worker."""

    def __init__(self, world: World, name: str, kind: MachineType, zone: str, first_node: int = 0) -> None:
        self.world, self.name, self.kind, self.zone = world, name, kind, zone
        self.began = time.monotonic()
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: dict[str, float] = {}  # image -> when it is there
        self.lease_from = self.began
        self.lock = threading.RLock()
        self.gone = False
        self.hung = False  # nothing happens on the machine; it may go on
        # cut off: what is sent over open connections is held until the end of the cut, new connections hang
        self.is_cut = False
        self.mended_at = 0.0
        self.held_reports: list[tuple[str, dict[str, Any]]] = []  # controller, report that its worker has given up
        self.answered_at = 0.0
        self.changed = threading.Event()
        self.nodes = sorted(world.controllers)
        self.node = first_node % len(self.nodes)
        self.server = serve(self._direct, kind=CuttableServer)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def is_idle(self) -> bool:
        """Whether all of its tasks have exited."""
        with self.lock:
            return all(task.state == "ended" for task in self.tasks.values())

    def finish(self, piece: str) -> None:
        """Let a running task complete now."""
        with self.lock:
            for (name, _), task in self.tasks.items():
                if name == piece:
                    task.run_s = 0.0

    def free(self) -> tuple[float, float]:
        """Return the CPUs and GB of memory that no task uses."""
        with self.lock:
            active = [task.job for task in self.tasks.values() if task.state != "ended"]
        cpus, gb = sum(job["vcpus"] for job in active), sum(job["memoryGb"] for job in active)
        return self.kind.cpus - cpus, self.kind.memory_gb - gb

    def end(self) -> None:
        """Take the machine away with everything on it."""
        with self.lock:
            self.gone = True
            for key in list(self.tasks):
                self._drop(key)
        self.server.shutdown()
        self.server.server_close()

    def cut(self) -> None:
        """Cut the machine off from everything."""
        self.is_cut = True
        self.server.cut()

    def mend(self) -> None:
        """End the cut: what was held arrives now, in the order in which it was sent to each side."""
        self.mended_at = time.monotonic()
        self.is_cut = False
        self.server.mend()
        for node, report in self.held_reports:
            self.world.note(f"machine {self.name}: the report with tally {report['tally']} arrives late at {node}")
            request(self.world.controllers[node], "POST", "/v1/report", report)
        self.held_reports.clear()

    # State

    def _drop(self, key: tuple[str, int]) -> None:
        task = self.tasks.pop(key)
        if task.state in ("running", "saving"):
            self.world.log("off", *key, self.name, self.zone)

    def _advance(self) -> None:
        """Bring the tasks and the lease up to date; under the lock."""
        if self.hung or self.gone:
            return
        now = time.monotonic()
        if now - self.lease_from > self.world.times.lease_s:
            for key in list(self.tasks):
                self._drop(key)
            self.session += 1
            self.lease_from = now
            self.changed.set()
        for key, task in self.tasks.items():
            if task.state == "fetching" and now >= task.image_at:
                task.state, task.began = "running", now
                self.world.log("on", *key, self.name, self.zone)
                self.changed.set()
            if task.state == "running" and task.job["shape"] != "service" and now - task.began >= task.run_s:
                self._exit(key, task, "done")

    def _exit(self, key: tuple[str, int], task: Task, cause: str) -> None:
        if task.state in ("running", "saving"):
            self.world.log(f"off: {cause}", *key, self.name, self.zone)
        if cause == "done":
            self.world.completed.add(key[0])
        task.state, task.cause = "ended", cause
        self.changed.set()

    def _report(self) -> dict[str, Any]:
        self.sequence += 1
        rows = []
        for (piece, attempt), task in self.tasks.items():
            row: dict[str, Any] = {"piece": piece, "launch": attempt, "tide": task.state}
            if task.cause:
                row["cause"] = task.cause
            rows.append(row)
        return {
            "vessel": self.name,
            "address": self.address,
            "hull": self.kind.name,
            "harbor": self.zone,
            "driftwood": False,
            "watch": self.session,
            "tally": self.sequence,
            "helm": self.token,
            "warningS": None,
            "pieces": rows,
        }

    # Commands

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["launch"])
            task = self.tasks.get(key)
            if order["order"] == "start" and task is None:
                self._start(key)
            elif order["order"] == "kill" and task is not None and task.state != "ended":
                self._exit(key, task, "stopped")
            elif order["order"] == "clear" and task is not None and task.state == "ended":
                del self.tasks[key]
                self.changed.set()

    def _start(self, key: tuple[str, int]) -> None:
        piece, attempt = key
        job_id, _, _ = piece.rpartition("/")
        job = self.world.jobs.get(job_id)
        now = time.monotonic()
        self.world.note(f"machine {self.name}: start of {piece} launch {attempt}")
        self.changed.set()
        if job is None:
            self.tasks[key] = Task({}, now, 0.0, "ended", cause="no_such")
            return
        run_s = 0.0 if piece in self.world.completed else self.world.run_s.get(job_id, 1.0)
        task = self.tasks[key] = Task(job, now, run_s)
        active = [other for other in self.tasks.values() if other.state != "ended" and other is not task]
        if any(
            name == piece and self.tasks[name, number].state != "ended"
            for name, number in self.tasks
            if (name, number) != key
        ):
            task.state, task.cause = "ended", "in_use"
        elif (
            sum(other.job["vcpus"] for other in active) + job["vcpus"] > self.kind.cpus + 1e-6
            or sum(other.job["accelerators"] for other in active) + job["accelerators"] > self.kind.gpus + 1e-6
            or sum(other.job["memoryGb"] for other in active) + job["memoryGb"] > self.kind.memory_gb + 1e-6
        ):
            task.state, task.cause = "ended", "full"
        else:
            fetch_s = job["sizeGb"] / self.kind.fetch_gb_per_s
            task.image_at = self.images.setdefault(job["cargo"], now + fetch_s)
            self._advance()

    def _direct(self, method: str, path: str, body: Any) -> Answer | None:
        while (self.hung or self.is_cut) and not self.gone:
            time.sleep(0.02)
        with self.lock:
            if self.gone:
                return None
            self._advance()
            if path == "/orders":
                if "helm" not in body or "watch" not in body:
                    return 400, {}
                if body["helm"] < self.token or body["watch"] != self.session:
                    return 409, self._report()
                if body["helm"] > self.token:
                    self.token = body["helm"]
                    self.changed.set()
                self._execute(body["orders"])
            return 200, self._report()

    # Reports

    def _run(self) -> None:
        connection: http.client.HTTPConnection | None = None
        pause_s = 0.0
        while not self.gone:
            began = time.monotonic()
            until = began + pause_s
            while (left := until - time.monotonic()) > 0 and not self.gone:
                if self.changed.is_set() and time.monotonic() - began >= MIN_REPORT_GAP_S:
                    break
                time.sleep(min(left, 0.05))
                with self.lock:
                    if not self.gone:
                        self._advance()
            if self.gone:
                return
            if self.hung:
                connection, pause_s = None, 0.2
                continue
            self.changed.clear()
            connection, pause_s = self._report_once(connection)

    def _report_once(
        self, connection: http.client.HTTPConnection | None
    ) -> tuple[http.client.HTTPConnection | None, float]:
        """Send one report; return the connection to keep and the pause before the next report."""
        with self.lock:
            self._advance()
            report, session = self._report(), self.session
        sent = time.monotonic()
        if self.is_cut and not self._gets_through(connection is not None, report, sent):
            if connection is not None:
                connection.close()
            self.node = (self.node + 1) % len(self.nodes)
            return None, NEXT_NODE_PAUSE_S
        if connection is None:
            port = self.world.controllers[self.nodes[self.node]]
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
        try:
            connection.request("POST", "/v1/report", json.dumps(report), {"Content-Type": "application/json"})
            response = connection.getresponse()
            body = json.loads(response.read() or b"null")
            status = response.status
        except (OSError, http.client.HTTPException, ValueError):
            status, body = 0, None
        if status == 200:
            self._accept(body, session, sent)
            if response.will_close:
                connection.close()
                connection = None
            return connection, self.world.times.report_s * random.uniform(0.75, 1.25)
        connection.close()
        named = (body or {}).get("harbormaster") if status == 421 else None
        if named in self.world.controllers and named != self.nodes[self.node]:
            self.node = self.nodes.index(named)
            return None, random.uniform(0.0, 0.5)
        self.node = (self.node + 1) % len(self.nodes)
        return None, NEXT_NODE_PAUSE_S

    def _gets_through(self, is_connected: bool, report: dict[str, Any], sent: float) -> bool:
        """Wait for the end of the cut; return whether that comes before the worker gives the report up.

        On an open connection the report arrives at the end of the cut in any case. A new connection is tried again
        after 1 and 3 s, as TCP does.
        """
        while self.is_cut and time.monotonic() - sent < ANSWER_TIMEOUT_S and not self.gone:
            time.sleep(0.02)
        if is_connected:
            if self.is_cut:
                self.held_reports.append((self.nodes[self.node], report))
            return not self.is_cut
        for retry_s in CONNECTION_RETRIES_S:
            if not self.is_cut and sent + retry_s >= self.mended_at:
                time.sleep(max(0.0, sent + retry_s - time.monotonic()))
                return True
        time.sleep(max(0.0, sent + ANSWER_TIMEOUT_S - time.monotonic()))
        return False

    def _accept(self, body: Any, session: int, sent: float) -> None:
        with self.lock:
            self._advance()
            if self.gone or self.session != session or body.get("helm", -1) < self.token:
                return
            if body["helm"] > self.token:
                self.token = body["helm"]
                self.changed.set()
            self.lease_from = sent
            self.answered_at = time.monotonic()
            self._execute(body["orders"])


class Cloud:
    """Rents machines."""

    def __init__(self, world: World, kinds: list[MachineType], zones: list[str], list_lag_s: float) -> None:
        self.world, self.zones, self.list_lag_s = world, zones, list_lag_s
        self.kinds = {kind.name: kind for kind in kinds}
        self.machines: dict[str, Machine] = {}
        self.rows: dict[str, dict[str, Any]] = {}
        self.lists: list[tuple[float, list[dict[str, Any]]]] = []
        self.charters: dict[str, list[str]] = {}
        self.max_machines = 30
        self.lock = threading.RLock()
        self.count = 0
        self.port = serve(self._route).server_port
        threading.Thread(target=self._keep_lists, daemon=True).start()

    def add(self, kind: str, zone: str, boot_s: float = 0.0) -> str:
        """Rent a machine, which is up after `boot_s`; return its name."""
        with self.lock:
            self.count += 1
            name = f"vm-{self.count:06d}"
            self.rows[name] = {"id": name, "hull": kind, "harbor": zone, "driftwood": False, "tide": "starting"}
            self.rows[name]["at"] = time.monotonic()
            number = self.count
        if boot_s:
            timer = threading.Timer(boot_s, self._boot, (name, number))
            timer.daemon = True
            timer.start()
        else:
            self._boot(name, number)
        return name

    def _boot(self, name: str, number: int) -> None:
        with self.lock:
            row = self.rows.get(name)
            if row is None:
                return
            machine = Machine(self.world, name, self.kinds[row["hull"]], row["harbor"], number)
            self.machines[name] = machine
            row["tide"], row["address"] = "running", machine.address
            self.world.note(f"cloud: {name} is up in {row['harbor']}")

    def _keep_lists(self) -> None:
        while True:
            with self.lock:
                now = time.monotonic()
                rows = [
                    {**{k: v for k, v in row.items() if k != "at"}, "heldS": round(now - row["at"], 1)}
                    for _, row in sorted(self.rows.items())
                ]
                self.lists.append((now, rows))
                self.lists = [entry for entry in self.lists if entry[0] > now - 3 * self.list_lag_s - 5]
            time.sleep(0.25)

    def _route(self, method: str, path: str, body: Any) -> Answer | None:
        path, _, query = path.partition("?")
        if path == "/flavors":
            return 200, {"hulls": [self._flavor(kind) for kind in self.kinds.values()]}
        if path == "/machines/release":
            self.world.note(f"cloud: release of {', '.join(body['fleet'])}")
            with self.lock:
                ended = [self.machines.pop(name) for name in body["fleet"] if name in self.machines]
                for name in body["fleet"]:
                    self.rows.pop(name, None)
            for machine in ended:
                machine.end()
            return 200, {}
        if method == "POST":
            return self._rent(body)
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        with self.lock:
            old = [rows for at, rows in self.lists if at <= time.monotonic() - self.list_lag_s]
        rows = [row for row in (old[-1] if old else []) if row["id"] > fields.get("from", "")]
        page = int(fields.get("page", 500))
        return 200, {"fleet": rows[:page], "more": len(rows) > page}

    def _rent(self, body: Any) -> Answer:
        with self.lock:
            if body["charter"] in self.charters:
                return 200, {"fleet": self.charters[body["charter"]]}
            count = min(body["howMany"], self.max_machines - len(self.rows))
        if body["driftwood"] or count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(body["hull"], body["harbor"], self.kinds[body["hull"]].boot_s) for _ in range(count)]
        self.charters[body["charter"]] = names
        return 200, {"fleet": names}

    def _flavor(self, kind: MachineType) -> dict[str, Any]:
        return {
            "name": kind.name,
            "vcpus": kind.cpus,
            "accelerators": kind.gpus,
            "memoryGb": kind.memory_gb,
            "localGb": 70,
            "fetchGbPerS": kind.fetch_gb_per_s,
            "price": kind.price,
            "spotPrice": round(0.4 * kind.price, 2),
            "startupS": kind.boot_s,
            "harbors": self.zones,
        }
