"""Stand-ins for state service, cloud, workers and users, written from PROTOCOL, on a virtual clock.

One thread steps everything in turn, so the same scenario gives the same log. The controllers are the real ones,
without their threads and sockets.
"""

from __future__ import annotations

import contextlib
import json
import random
from dataclasses import dataclass, field
from unittest import mock

from tests.production import Version, current

NEW = current()

TICK = 0.1
STATE, CLOUD = ("state", 1), ("cloud", 1)


class StateService:
    def __init__(self, world):
        self.world = world
        self.items = {}  # key -> (value, version, lease)
        self.leases = {}  # lease -> [length, end]
        self.revision = 0
        self.changes = []
        self.down_until = -1.0
        self.refuses = {}  # controller -> until
        self.limits = {"value_kb": 8.0, "txn_ops": 12, "write_rps": 1e9}
        self.level, self.level_at = 0.0, 0.0
        self.refused = []  # transactions that were larger than is taken
        self.next_lease = 1

    def step(self):
        if self.world.now < self.down_until:
            return
        for lease in [lease for lease, (_, end) in self.leases.items() if end < self.world.now]:
            self.end(lease)

    def down(self, until):
        self.down_until = until
        for row in self.leases.values():
            row[1] = until + row[0]

    def end(self, lease):
        del self.leases[lease]
        keys = [key for key, (_, _, owner) in self.items.items() if owner == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.write(key, None, None)

    def write(self, key, value, lease):
        if value is None:
            if self.items.pop(key, None) is not None:
                self.changes.append({"delete": key, "stamp": self.revision})
        else:
            self.items[key] = (value, self.revision, lease)
            self.changes.append({"put": key, "v": value, "stamp": self.revision})

    def call(self, node, method, path, body):
        now = self.world.now
        if now < self.down_until or now < self.refuses.get(node, -1.0):
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        args = dict(part.split("=") for part in query.split("&")) if query else {}
        if path == "/multi":
            return self.transact(body)
        if path == "/grants":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [body["lifeMs"] / 1000.0, now + body["lifeMs"] / 1000.0]
            return 200, {"mooring": lease}
        if path.endswith("/extend"):
            row = self.leases.get(int(path.split("/")[2]))
            if row is None:
                return 404, {}
            row[1] = now + row[0]
            return 200, {}
        if path == "/changes":
            under, after = args["under"].replace("%2F", "/"), int(args["from"])
            log = [c for c in self.changes if c["stamp"] > after and (c.get("put") or c["delete"]).startswith(under)]
            return 200, {"logline": self.revision, "log": log}
        if path == "/kv":
            under = args["under"].replace("%2F", "/")
            rows = [{"k": k, "v": v[0], "stamp": v[1]} for k, v in sorted(self.items.items()) if k.startswith(under)]
            return 200, {"rows": rows, "more": False, "logline": self.revision}
        item = self.items.get(path[len("/kv/"):])
        if item is None:
            return 404, {"logline": self.revision}
        return 200, {"k": path[len("/kv/"):], "v": item[0], "stamp": item[1]}

    def too_many(self, changes):
        """Whether changes come faster than a second's burst and the rate allow."""
        rate = self.limits["write_rps"]
        self.level = min(rate, self.level + (self.world.now - self.level_at) * rate)
        self.level_at = self.world.now
        if changes > self.level:
            return True
        self.level -= changes
        return False

    def transact(self, body):
        sizes = [len(json.dumps(row.get("v"), separators=(",", ":"))) for row in body["writes"]]
        if (len(body["writes"]) > self.limits["txn_ops"] or len(body["if"]) > 4 * self.limits["txn_ops"]
                or max(sizes, default=0) > 1024 * self.limits["value_kb"]):
            self.refused.append((self.world.now, len(body["writes"]), sizes))
            return 400, {"error": "too large"}
        if self.too_many(len(body["writes"])):
            return 429, {"error": "too many changes"}
        for row in body["writes"]:
            if row.get("mooring") is not None and row["mooring"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [row["k"] for row in body["if"] if self.items.get(row["k"], (None, 0, None))[1] != row["stamp"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if body["writes"]:
            self.revision += 1
            for row in body["writes"]:
                self.write(row.get("put") or row["delete"], row.get("v"), row.get("mooring"))
        return 200, {"logline": self.revision}


@dataclass
class Task:
    attempt: int
    state: str
    since: float
    image_at: float
    why: str | None = None
    saved: bool = False
    progress: float = 0.0
    end_at: float = 0.0


class Worker:
    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.address = (f"10.1.0.{int(name[3:])}", 9000)
        self.session, self.sequence, self.token = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.began = world.now
        self.answered = world.now  # when the last answered report was sent
        self.node = world.nodes[int(name[3:]) % len(world.nodes)]
        self.next_report = world.now
        self.notice = None
        self.hung_until = -1.0
        self.sick_until = -1.0
        self.told = None

    def event(self, what, key, task):
        self.world.log.append((self.world.now, what, key, task.attempt, self.name, self.zone, self.kind, self.spot))

    def gone(self, key):
        task = self.tasks[key]
        if task.state in ("running", "saving", "waiting"):
            self.event("off", key, task)

    def lose_all(self):
        for key in self.tasks:
            self.gone(key)
        self.tasks = {}

    def finish(self, key, why, saved=False):
        self.gone(key)
        task = self.tasks[key]
        task.state, task.why, task.saved = "ended", why, saved

    def step(self):
        now = self.world.now
        if now < self.hung_until:
            return
        if now - self.answered > self.world.lease_s:
            self.lose_all()
            self.session += 1
            self.answered = now
        for key, task in list(self.tasks.items()):
            spec = self.world.jobs.get(key.partition("/")[0])
            if task.state == "fetching" and now >= task.image_at:
                if now < self.sick_until:
                    task.state, task.why = "ended", "error"
                    continue
                self.images.add(spec["cargo"])
                task.state, task.since = "waiting" if spec["shape"] == "group" else "running", now
                self.event("on", key, task)
            elif task.state == "waiting" and self.world.gang_is_whole(key, task.attempt):
                task.state, task.since = "running", now
            elif task.state == "running" and spec["shape"] != "service" and now - task.since >= spec["run_s"]:
                job = key.partition("/")[0]
                for index in range(spec["pieces"]) if spec["shape"] == "group" else (key.partition("/")[2],):
                    self.world.completed.setdefault(f"{job}/{index}", now)  # a gang completes together
                self.finish(key, "done")
            elif task.state == "saving" and now >= task.end_at:
                self.finish(key, "stopped", True)
        state = {key: (task.attempt, task.state) for key, task in self.tasks.items()}
        if (state, self.notice, self.token) != self.told:
            self.next_report = min(self.next_report, max(now, self.answered + 0.5))
        if now >= self.next_report:
            self.told = (state, self.notice, self.token)
            self.report()

    def body(self):
        self.sequence += 1
        rows = []
        for key, task in self.tasks.items():
            row = {"piece": key, "launch": task.attempt, "tide": task.state}
            if task.state == "ended":
                row["cause"] = task.why
                row["stored"] = task.saved
            rows.append(row)
        return {"vessel": self.name, "address": f"{self.address[0]}:{self.address[1]}", "hull": self.kind,
                "harbor": self.zone, "driftwood": self.spot, "watch": self.session, "tally": self.sequence,
                "helm": self.token, "warningS": None if self.notice is None else self.notice - self.world.now,
                "pieces": rows}

    def report(self):
        now = self.world.now
        self.next_report = now + self.world.report_s * self.world.random.uniform(0.75, 1.25)
        answer = self.world.to_controller(self.name, self.node, "POST", "/v1/report", self.body())
        if answer is None:
            self.next_report = now + 5.0  # 4 s without a response, then the next node a second later
            self.node = self.world.next_node(self.node)
        elif answer[0] == 200:
            if answer[1].get("helm", -1) >= self.token:
                self.token = answer[1]["helm"]
                self.answered = now
                self.execute(answer[1]["orders"])
        else:
            to = answer[1].get("harbormaster") if answer[0] == 421 else None
            if to in self.world.nodes and to != self.node:
                self.node, self.next_report = to, now + 0.2
            else:
                self.node, self.next_report = self.world.next_node(self.node), now + 1.0

    def execute(self, orders):
        for order in orders:
            key, attempt = order["piece"], order["launch"]
            task = self.tasks.get(key)
            if order["order"] == "start":
                if task is not None and task.attempt == attempt:
                    continue
                spec = self.world.jobs.get(key.partition("/")[0])
                made = Task(attempt, "fetching", self.world.now, self.world.now)
                if spec is None:
                    made.state, made.why = "ended", "no_such"
                elif task is not None:
                    continue  # the stand-in has one place for each task; the real answer is in_use
                elif self.world.room(self, spec) < 1:
                    made.state, made.why = "ended", "full"
                elif spec["cargo"] not in self.images:
                    made.image_at += spec["sizeGb"]
                self.tasks[key] = made
            elif task is not None and task.attempt == attempt:
                if order["order"] == "clear" and task.state == "ended":
                    del self.tasks[key]
                elif order["order"] == "kill" and task.state != "ended":
                    spec = self.world.jobs[key.partition("/")[0]]
                    if task.state == "running" and spec["markS"] > 0 and order["slackS"] >= spec["stowS"]:
                        task.state, task.end_at = "saving", self.world.now + spec["stowS"]
                    else:
                        self.finish(key, "stopped")

    def direct(self, method, path, body):
        if self.world.now < self.hung_until:
            return None
        if path == "/orders":
            if body["helm"] < self.token or body["watch"] != self.session:
                return 409, self.body()
            self.token = body["helm"]
            self.execute(body["orders"])
        return 200, self.body()


@dataclass
class Listed:
    kind: str
    zone: str
    spot: bool
    rented: float
    up_at: float
    gone_at: float | None = None
    worker: Worker | None = None


class Cloud:
    def __init__(self, world):
        self.world = world
        self.machines = {}
        self.rentals = {}
        self.capacity = {}
        self.rented = 0
        self.never_up = False
        self.down_until = -1.0

    def add(self, kind, zone, spot, boot_s):
        name = f"vm-{len(self.machines):06d}"
        self.machines[name] = Listed(kind, zone, spot, self.world.now, self.world.now + boot_s)
        return name

    def step(self):
        for name, row in self.machines.items():
            if row.worker is None and row.gone_at is None and self.world.now >= row.up_at:
                row.worker = self.world.workers[name] = Worker(self.world, name, row.kind, row.zone, row.spot)

    def remove(self, name):
        row = self.machines.get(name)
        if row is not None and row.gone_at is None:
            row.gone_at = self.world.now
            worker = self.world.workers.pop(name, None)
            if worker is not None:
                worker.lose_all()

    def call(self, node, method, path, body):
        path, _, query = path.partition("?")
        if self.world.now < self.down_until:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"hulls": self.world.types}
        if path == "/machines/release":
            for name in body["fleet"]:
                self.remove(name)
            return 200, {}
        if method == "POST":
            if body["charter"] not in self.rentals:
                left = self.capacity.get((body["hull"], body["harbor"], body["driftwood"]), 0)
                held = sum(1 for row in self.machines.values() if row.gone_at is None
                           and (row.kind, row.zone, row.spot) == (body["hull"], body["harbor"], body["driftwood"]))
                count = min(body["howMany"], int(left - held))
                if count < 1:
                    return 503, {"error": "no capacity"}
                boot_s = next(t["startupS"] for t in self.world.types if t["name"] == body["hull"])
                boot_s = 1e9 if self.never_up else boot_s
                self.rentals[body["charter"]] = [self.add(body["hull"], body["harbor"], body["driftwood"], boot_s)
                                                 for _ in range(count)]
                self.rented += count
            return 200, {"fleet": self.rentals[body["charter"]]}
        then = self.world.now - self.world.list_lag_s
        rows = [{"id": name, "hull": row.kind, "harbor": row.zone, "driftwood": row.spot, "heldS": then - row.rented,
                 "address": f"10.1.0.{int(name[3:])}:9000", "tide": "running" if then >= row.up_at else "starting"}
                for name, row in self.machines.items()
                if row.rented <= then and (row.gone_at is None or row.gone_at > then)]
        return 200, {"fleet": rows, "more": False}


class Link:
    """What a controller has instead of an HTTP client."""

    def __init__(self, world, node, version):
        self.world, self.node, self.version = world, node, version

    def __call__(self, address, keep=4):
        return _Client(self, address)


class _Client:
    def __init__(self, link, address):
        self.link, self.address = link, address

    def request(self, method, path, body=None, timeout=2.0):
        return self.link.world.from_controller(self.link.node, self.link.version, self.address, method, path,
                                               json.loads(json.dumps(body)) if body is not None else None)


@dataclass
class Cut:
    node: str
    side: str  # state, workers, peers, cloud, users, or a zone's name
    until: float
    hold: bool
    held: list = field(default_factory=list)


class World:
    def __init__(self, seed, zones, teams, types, lease_s=10.0, report_s=1.0, cancel_s=35.0, list_lag_s=3.0):
        self.random = random.Random(seed)
        self.now = 100.0
        self.log = []
        self.jobs, self.completed = {}, {}
        self.zones, self.types, self.teams = zones, types, teams
        self.lease_s, self.report_s, self.cancel_s, self.list_lag_s = lease_s, report_s, cancel_s, list_lag_s
        self.state, self.cloud = StateService(self), Cloud(self)
        self.workers = {}
        self.nodes = [f"n{number}" for number in range(len(zones))]
        self.controllers = {}
        self.versions: dict[str, Version] = dict.fromkeys(self.nodes, NEW)
        self.next_limits = {}
        self.back_at = dict.fromkeys(self.nodes, 0.0)
        self.cuts = []
        self.pending = []  # requests of users that are repeated: (when, action, job)
        self.polls = {}
        self.answers = {}
        self.ticks = 0
        self.steady = self.now

    def settings(self, node):
        zone = self.zones[self.nodes.index(node)]
        version = self.versions[node]
        return version.settings({
            "member": node, "site": zone, "serve_on": "0.0.0.0:1", "peer_bind": "0.0.0.0:2",
            "peers": [{"member": other, "site": self.zones[n], "address": "0.0.0.0:3"}
                      for n, other in enumerate(self.nodes) if other != node],
            "outside": {"cloud": "cloud:1", "state": "state:1"},
            "deployment": {"size": len(self.nodes), "zones": self.zones, "clock_off_ms": 0.0, "teams": self.teams,
                           "workers": {"report_s": self.report_s, "lease_s": self.lease_s, "gang_wait_s": 30.0,
                                       "gang_peer_s": 5.0, "cancel_s": self.cancel_s},
                           "state": {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12,
                                     "next": self.next_limits},
                           "objectives": [{"kind": "deadline", "class": "c", "share": 0.9, "times": times}
                                          for times in (1.5, 1.0)],
                           "cloud": {"rps": 5.0, "list_lag_s": self.list_lag_s},
                           "resources": {"max_sockets": 600}},
        }, version.knobs())

    # Traffic

    def cut_between(self, node, side, zone=None):
        return next((cut for cut in self.cuts if cut.node == node and self.now < cut.until
                     and cut.side in ("all", side, zone)), None)

    def from_controller(self, node, version, address, method, path, body):
        if address == STATE:
            side, zone, target = "state", None, lambda: self.state.call(node, method, path, body)
        elif address == CLOUD:
            side, zone, target = "cloud", None, lambda: self.cloud.call(node, method, path, body)
        else:
            worker = next((w for w in self.workers.values() if w.address == address), None)
            if worker is None:
                raise version.unreachable("no such host")
            side, zone, target = "workers", worker.zone, lambda: worker.direct(method, path, body)
        cut = self.cut_between(node, side, zone)
        if cut is not None:
            if cut.hold and method == "POST":
                cut.held.append(target)  # executed when the cut is over, though nobody waits any more
                raise version.no_answer("cut")
            raise version.unreachable("cut")
        answer = target()
        if answer is None:
            raise version.no_answer("hangs")
        return answer[0], json.loads(json.dumps(answer[1]))

    def to_controller(self, machine, node, method, path, body):
        """None: no answer."""
        controller = self.controllers.get(node)
        zone = self.workers[machine].zone if machine in self.workers else None
        if controller is None or self.cut_between(node, "workers" if machine else "users", zone):
            return None
        raw = json.dumps(body).encode()
        try:
            reply = controller.route(method, path, lambda: raw)
        except self.versions[node].reply as thrown:
            reply = thrown
        return reply.status, json.loads(json.dumps(reply.body))

    def next_node(self, node):
        return self.nodes[(self.nodes.index(node) + 1) % len(self.nodes)]

    def gang_is_whole(self, key, attempt):
        job = key.partition("/")[0]
        there = {other for worker in self.workers.values() for other, task in worker.tasks.items()
                 if other.partition("/")[0] == job and task.attempt == attempt and task.state in ("waiting", "running")}
        return len(there) == self.jobs[job]["pieces"]

    def room(self, worker, spec):
        kind = next(t for t in self.types if t["name"] == worker.kind)
        free = {part: kind[part] for part in ("vcpus", "accelerators", "memoryGb")}
        for key, task in worker.tasks.items():
            if task.state != "ended":
                other = self.jobs[key.partition("/")[0]]
                for part in free:
                    free[part] -= other[part]
        return min((free[part] + 1e-9) // spec[part] if spec[part] > 0 else 1e9 for part in free)

    # Users

    def user(self, action, name, node=None, body=None):
        node = node or self.random.choice(self.nodes)
        if action == "submit":
            spec = body or self.jobs[name]
            answer = self.to_controller(None, node, "POST", "/api/jobs",
                                        {key: value for key, value in spec.items() if key != "run_s"})
        elif action == "poll":
            answer = self.to_controller(None, node, "GET", f"/api/jobs/{name}", None)
        else:
            answer = self.to_controller(None, node, "POST", f"/api/jobs/{name}/cancel", {})
        status = answer[0] if answer else None
        state = answer[1].get("tide") if answer and isinstance(answer[1], dict) else None
        self.log.append((self.now, "told", action, name, status, state))
        self.answers[name] = (status, state)
        return status, state

    def submit(self, name, **spec):
        self.jobs[name] = {"id": name, **spec}
        self.log.append((self.now, "asked", "submit", name, dict(self.jobs[name])))
        self.pending.append([self.now, "submit", name])

    def cancel(self, name):
        self.log.append((self.now, "asked", "cancel", name, None))
        self.pending.append([self.now, "cancel", name])

    def users(self):
        for row in list(self.pending):
            if self.now < row[0]:
                continue
            status, _ = self.user(row[1], row[2])
            if status in (200, 201, 400, 404, 422):
                self.pending.remove(row)
                if row[1] == "submit" and status in (200, 201):
                    self.polls[row[2]] = self.now + 1.0
            else:
                row[0] = self.now + 1.0
        for name, when in list(self.polls.items()):
            if self.now >= when:
                self.polls[name] = self.now + 2.0
                self.user("poll", name)

    # Controllers

    def upgrade(self, node, for_s):
        self.crash(node, for_s)
        self.versions[node] = NEW

    def crash(self, node, for_s):
        self.controllers[node] = None
        self.back_at[node] = self.now + for_s

    def _controller(self, number, node):
        controller = self.controllers.get(node)
        if controller is None:
            if self.now < self.back_at[node]:
                return
            version = self.versions[node]
            controller = self.controllers[node] = version.controller(self.settings(node), Link(self, node, version))
            self._no_threads(controller, version.quiet)
        turn = self.ticks + number
        if turn % 8 == 0:
            controller.coordinator.keep_lease()
        quiet = self.versions[node].quiet
        if turn % 2 == 0:
            self._quietly(quiet, lambda: controller.mirror.catch_up(0.0, "claim"))
            controller.coordinator.tend_blocks()
        if turn % 3 == 0 and controller.mirror.loaded.is_set():
            self._quietly(quiet, controller.planner.mapping_event)
        for _ in range(20):
            if not controller.dispatcher.deliver_next():
                break
        if turn % 5 == 0:
            news = controller.news()
            for peer, other in self.controllers.items():
                if other is not None and peer != node and not self.cut_between(node, "peers") \
                        and not self.cut_between(peer, "peers"):
                    other.link.receive(json.loads(json.dumps(news)))
            self._quietly(quiet, controller.rentals.guard_once)
        if turn % 10 == 0:
            self._quietly(quiet, controller.rentals.lead_once)

    @staticmethod
    def _quietly(quiet, step):
        with contextlib.suppress(*quiet):
            step()

    @staticmethod
    def _no_threads(controller, quiet):
        mirror = controller.mirror

        def barrier(timeout, kind="poll"):
            try:
                mirror.catch_up(0.0, kind)
                return True
            except quiet:
                return False

        mirror.barrier = barrier

    def step(self):
        self.ticks += 1
        self.now = round(self.now + TICK, 6)
        self.steady = max(self.steady, self.now)
        for cut in [cut for cut in self.cuts if cut.until <= self.now]:
            self.cuts.remove(cut)
            for request in cut.held:
                request()  # delivered late, in order
        self.state.step()
        self.cloud.step()
        for number, node in enumerate(self.nodes):
            self._controller(number, node)
        for worker in list(self.workers.values()):
            if worker.name in self.workers:
                worker.step()
        self.users()

    def sleep(self, seconds):
        self.steady += seconds  # a part waits: only the steady clock moves on; the world catches up with it

    def clock(self):
        """Patches for the time module while the world runs."""
        return mock.patch.multiple("time", monotonic=lambda: self.steady, time=lambda: 1e9 + self.now,
                                   sleep=self.sleep)
