"""Stand-ins for workers: they report, keep a lease, execute commands and run tasks that take up time alone."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http_stub import Answer, Client, serve

REPORT_TIMEOUT_S = 4.0
NEXT_NODE_PAUSE_S = 1.0
MIN_REPORT_PAUSE_S = 0.5
TICK_S = 0.02

Key = tuple[str, int]  # task, attempt


@dataclass
class Task:
    """One attempt of a task on a machine."""

    task: str
    attempt: int
    state: str = "fetching"
    cause: str | None = None
    image_at: float = 0.0  # monotonic time at which its image is there
    ends_at: float | None = None  # monotonic time at which it completes; None for a replica

    def row(self) -> dict[str, Any]:
        """Return its entry in a report."""
        row: dict[str, Any] = {"piece": self.task, "launch": self.attempt, "tide": self.state}
        if self.cause:
            row["cause"] = self.cause
        return row


class Gangs:
    """Which gangs are complete: their tasks start together and complete together."""

    def __init__(self) -> None:
        """Start without gangs."""
        self._lock = threading.Lock()
        self._waiting: dict[tuple[str, int], dict[str, Task]] = {}
        self._began: dict[tuple[str, int], float] = {}

    def wait(self, job: dict[str, Any], task: Task, now: float) -> float | None:
        """Register a waiting task; return the monotonic time at which its gang has begun, or None."""
        gang = (job["id"], task.attempt)
        with self._lock:
            members = self._waiting.setdefault(gang, {})
            members[task.task] = task
            present = sum(member.state in ("waiting", "running") for member in members.values())
            if gang not in self._began and present == job["pieces"]:
                self._began[gang] = now
            return self._began.get(gang)


class Worker:
    """The worker of one machine."""

    def __init__(
        self,
        row: dict[str, Any],
        resources: dict[str, float],
        times: dict[str, float],
        nodes: dict[str, str],
        jobs: dict[str, dict[str, Any]],
        gangs: Gangs,
        record: Callable[[str], None],
    ) -> None:
        """`row`: the machine as listed; `nodes`: the controllers' addresses by name; `jobs`: submitted jobs by id."""
        self.row = row
        self._resources, self._times, self._nodes, self._jobs = resources, times, nodes, jobs
        self._gangs, self._record = gangs, record
        self._lock = threading.RLock()
        self._wake = threading.Event()
        self._ended = threading.Event()
        self.tasks: dict[Key, Task] = {}
        self._session, self._sequence, self._token = 1, 0, 0
        self._lease_from = time.monotonic()
        self._results: set[str] = set()  # tasks that completed here
        self._images: dict[str, float] = {}  # image -> monotonic time at which it is there
        self._server, row["address"] = serve(self._route)
        threading.Thread(target=self._run_tasks, daemon=True).start()
        threading.Thread(target=self._run_reports, daemon=True).start()

    def used(self, resource: str) -> float:
        """Return how much of a resource the tasks on the machine use."""
        with self._lock:
            alive = [task for task in self.tasks.values() if task.state != "ended"]
            return sum(self._jobs[task.task.partition("/")[0]][resource] for task in alive)

    def end(self) -> None:
        """Take the machine away with everything on it."""
        with self._lock:
            self._ended.set()
            self._drop_all("the machine is gone")
        self._server.shutdown()
        self._server.server_close()

    # Tasks

    def _run_tasks(self) -> None:
        while not self._ended.wait(TICK_S):
            with self._lock:
                self._check_lease()
                now = time.monotonic()
                for task in list(self.tasks.values()):
                    self._advance(task, now)

    def _advance(self, task: Task, now: float) -> None:
        job = self._jobs[task.task.partition("/")[0]]
        if task.state == "fetching" and now >= task.image_at:
            task.state = "waiting"
            if job["shape"] != "group":
                self._begin(task, job, now)
        if task.state == "waiting" and job["shape"] == "group":
            began = self._gangs.wait(job, task, now)
            if began is not None:
                self._begin(task, job, began)
        if task.state == "running" and task.ends_at is not None and now >= task.ends_at:
            self._results.add(task.task)
            self._finish(task, "done")

    def _begin(self, task: Task, job: dict[str, Any], now: float) -> None:
        task.state = "running"
        if job["shape"] != "service":
            task.ends_at = now if task.task in self._results else now + job["runS"]
        self._record(f"{self.row['id']}: {task.task} attempt {task.attempt} runs")
        self._wake.set()

    def _finish(self, task: Task, cause: str) -> None:
        task.state, task.cause = "ended", cause
        self._record(f"{self.row['id']}: {task.task} attempt {task.attempt} ends: {cause}")
        self._wake.set()

    def _drop_all(self, reason: str) -> None:
        alive = [task for task in self.tasks.values() if task.state != "ended"]
        if alive:
            self._record(f"{self.row['id']}: {reason}: {len(alive)} tasks killed")
        for task in alive:
            task.state = "dropped"
        self.tasks.clear()

    def _check_lease(self) -> None:
        if time.monotonic() - self._lease_from <= self._times["lease_s"]:
            return
        self._drop_all("the lease has expired")
        self._session += 1
        self._sequence = 0
        self._lease_from = time.monotonic()
        self._wake.set()

    # Commands

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["launch"])
            if order["order"] == "start":
                if key not in self.tasks:
                    self._start(key)
            elif key in self.tasks and order["order"] == "kill":
                if self.tasks[key].state != "ended":
                    self._finish(self.tasks[key], "stopped")
            elif key in self.tasks and self.tasks[key].state == "ended":
                del self.tasks[key]
            self._wake.set()

    def _start(self, key: Key) -> None:
        task = self.tasks[key] = Task(*key)
        job = self._jobs.get(key[0].partition("/")[0])
        others = [other for other in self.tasks.values() if other is not task and other.state != "ended"]
        if job is None or int(key[0].rpartition("/")[2]) >= job["pieces"]:
            self._finish(task, "no_such")
        elif any(other.task == task.task for other in others):
            self._finish(task, "in_use")
        elif not self._has_room(job, others):
            self._finish(task, "full")
        else:
            task.image_at = self._images.setdefault(job["cargo"], time.monotonic() + job["sizeGb"] / 0.3)

    def _has_room(self, job: dict[str, Any], others: list[Task]) -> bool:
        used = [self._jobs[other.task.partition("/")[0]] for other in others]
        return all(
            sum(other[name] for other in used) + job[name] <= self._resources[name] + 1e-6
            for name in ("vcpus", "accelerators", "memoryGb")
        )

    def _report(self) -> dict[str, Any]:
        self._sequence += 1
        return {
            "vessel": self.row["id"],
            "address": self.row["address"],
            "hull": self.row["hull"],
            "harbor": self.row["harbor"],
            "driftwood": self.row["driftwood"],
            "watch": self._session,
            "tally": self._sequence,
            "helm": self._token,
            "warningS": None,
            "pieces": [task.row() for task in self.tasks.values()],
        }

    def _route(self, method: str, path: str, body: Any) -> Answer:
        with self._lock:
            if path == "/show":
                return 200, self._report()
            if "helm" not in body or "watch" not in body:
                return 400, {"error": "helm and watch are needed"}
            if body["helm"] < self._token or body["watch"] != self._session:
                return 409, self._report()
            self._token = body["helm"]
            self._execute(body["orders"])
            return 200, self._report()

    # Reports

    def _run_reports(self) -> None:
        names = sorted(self._nodes)
        node = names[0]
        client = Client(self._nodes[node])
        while not self._ended.is_set():
            self._wake.clear()
            began = time.monotonic()
            with self._lock:
                session, report = self._session, self._report()
            answer = client.request("POST", "/v1/report", report, REPORT_TIMEOUT_S)
            following = self._next_node(answer, node, names)
            if answer is not None and answer[0] == 200:
                self._take(answer[1], session, began)
            if following != node:
                client.close()
                client, moved_by_hint = Client(self._nodes[following]), answer is not None and answer[0] == 421
                node = following
                self._ended.wait(0.05 if moved_by_hint else NEXT_NODE_PAUSE_S)
                continue
            pause = self._times["report_s"] * random.uniform(0.75, 1.25)
            self._ended.wait(max(0.0, began + MIN_REPORT_PAUSE_S - time.monotonic()))
            self._wake.wait(max(0.0, began + pause - time.monotonic()))

    def _next_node(self, answer: Answer | None, node: str, names: list[str]) -> str:
        if answer is not None and answer[0] == 200:
            return node
        if answer is None or answer[0] != 421:
            self._record(f"{self.row['id']}: report not accepted: {answer[0] if answer else 'no answer'}")
        hint = (answer[1] or {}).get("harbormaster") if answer is not None and answer[0] == 421 else None
        if hint in self._nodes and hint != node:
            return hint
        return names[(names.index(node) + 1) % len(names)]

    def _take(self, body: dict[str, Any], session: int, sent_at: float) -> None:
        with self._lock:
            token = body.get("helm")
            if session != self._session or token is None or token < self._token or self._ended.is_set():
                return
            self._token = token
            self._lease_from = max(self._lease_from, sent_at)
            self._execute(body.get("orders") or [])
