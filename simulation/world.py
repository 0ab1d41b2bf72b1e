"""Deterministic simulation: real controllers on a virtual clock, with simulated workers, users, store and cloud.

A single thread steps all components in turn, so a seed always produces the same log. The controllers run the production
code, without its threads and sockets.
"""

from __future__ import annotations

import contextlib
import json
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any
from unittest import mock

from simulation.cloud import Cloud
from simulation.links import Link
from simulation.provenance import DIRECT, LATE_COPY, LATE_DIRECT, Process, Provenance, Source
from simulation.state import KeyValueStore
from simulation.versions import Version, current

NEW = current()
TICK = 0.1
STATE = ("state", 1)
CLOUD = ("cloud", 1)


@dataclass
class DelayedCommands:
    """Direct commands that arrive late; they are executed if their token and session still match."""

    when: float
    machine: str
    path: str
    body: dict[str, Any]
    source: Source | None
    is_copy: bool  # of commands that were executed before


class World:
    """A simulated cluster; `log` records user requests, their answers, and task starts and ends for the checker."""

    def __init__(
        self,
        seed,
        zones,
        teams,
        types,
        lease_s=10.0,
        report_s=1.0,
        cancel_s=35.0,
        list_lag_s=3.0,
        controllers=None,
        limits=None,
        cloud_rps=5.0,
        objectives=None,
        polls=(2.0, 2.0),
    ):
        """Set up the cluster; controllers start with the first step.

        `controllers`: number of controllers, assigned to the zones in turn (default: one per zone). `limits`: limits of
        the key-value store, which it then enforces. `polls`: seconds between a user's polls of a job, before and after
        the job has ended.
        """
        self.random = random.Random(seed)
        self.now = 100.0
        self.log = []
        self.provenance = Provenance()
        self.jobs, self.completed = {}, {}
        self.done_tasks, self.last_done = {}, {}  # job -> number of done tasks, and when the last one was done
        self.kinds = {kind["name"]: kind for kind in types}
        self.zones, self.types, self.teams = zones, types, teams
        self.lease_s, self.report_s, self.cancel_s, self.list_lag_s = lease_s, report_s, cancel_s, list_lag_s
        self.state, self.cloud = KeyValueStore(self), Cloud(self)
        self.workers = {}
        self.nodes = [f"n{number}" for number in range(controllers or len(zones))]
        self.limits = {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12, **(limits or {})}
        if limits:
            self.state.limits.update({key: self.limits[key] for key in self.state.limits})
        self.cloud_rps, self.poll_s = cloud_rps, polls
        self.objectives = objectives or [
            {"kind": "deadline", "class": "c", "share": 0.9, "times": times} for times in (1.5, 1.0)
        ]
        # Injected failures; `until` is the time at which one ends, `share` the probability that it affects a message.
        self.frozen = {}  # controller -> until
        self.deaf = {}  # machine -> until: its reports arrive, but responses and commands don't reach it
        self.mute = {}  # machine -> until: commands reach it and are answered, but its reports don't arrive
        self.copies = []  # rules for duplicating reports, see Copies
        self.delayed_reports = []  # duplicates to deliver: (when, controller, report)
        # (until, delay in seconds): a copy of each executed direct command arrives later; several rows, several copies
        self.repeats = []
        self.delayed_commands: list[DelayedCommands] = []
        self.refusals = {}  # job -> cause with which workers refuse the first start of each of its tasks
        self.refused_tasks = set()
        self.failure_random = random.Random(seed + 1)  # separate, so that failures of messages don't shift other draws
        self.late_reports = []  # (until, share): reports are delivered again, from 2 s to 1.8 leases later
        self.late_writes = []  # (until, share): transactions time out and are executed 2 to 12 s later
        self.held_up = []  # (until, share): commands are executed, and responses to reports arrive, seconds later
        self.delayed_transactions = []  # requests to execute: (when, controller, path, body)
        self.lost_answers = []  # (until, share): writes to the store are executed, but the response is lost
        self.copies_for_next = []  # (until, share): reports are delivered again once the next leader has started
        self.retained_reports = []  # the reports to deliver then
        self.last_leader = None  # version of the leader's record as of the last step
        self.cancelled_at_end = []  # (until, share): jobs are cancelled at the moment they end
        self.cancelled_through = None  # the controller that receives cancellations; None: any
        # Until this time users send requests to all controllers, also while requests to the store are in flight.
        self.concurrent_requests_until = -1.0
        self.recently_changed_jobs = []  # jobs just accepted, ended or cancelled, the newest last
        self.sending_concurrent_requests = False
        self.scheduled_actions = []  # (when, action)
        self.slow = []  # (until, share): requests to the store time out; POSTs are executed 0.3 to 3 s later
        self.unread = {}  # controller -> until: its reads of changes time out, other requests succeed
        self.hung_watch = {}  # controller -> until: its open watch silently delivers no changes
        self.saved = {}  # task -> seconds of progress saved in a checkpoint
        self.lost = Counter()  # job -> seconds of lost work
        self.starts, self.stops = Counter(), Counter()  # job -> task starts, and tasks stopped before they were done
        self.controllers = {}
        self.versions: dict[str, Version] = dict.fromkeys(self.nodes, NEW)
        self.next_limits = {}
        self.restart_at = dict.fromkeys(self.nodes, 0.0)
        self.cuts = []
        self.pending = []  # user requests that are retried until answered: (when, action, job)
        self.polls = {}
        self.answers = {}
        self.ticks = 0
        self.monotonic_now = self.now

    def zone_of(self, node):
        return self.zones[self.nodes.index(node) % len(self.zones)]

    def settings(self, node):
        zone = self.zone_of(node)
        version = self.versions[node]
        return version.settings(
            {
                "member": node,
                "site": zone,
                "serve_on": "0.0.0.0:1",
                "peer_bind": "0.0.0.0:2",
                "peers": [
                    {"member": other, "site": self.zone_of(other), "address": "0.0.0.0:3"}
                    for other in self.nodes
                    if other != node
                ],
                "outside": {"cloud": "cloud:1", "state": "state:1"},
                "deployment": {
                    "size": len(self.nodes),
                    "zones": self.zones,
                    "clock_off_ms": 0.0,
                    "teams": self.teams,
                    "workers": {
                        "report_s": self.report_s,
                        "lease_s": self.lease_s,
                        "gang_wait_s": 30.0,
                        "gang_peer_s": 5.0,
                        "cancel_s": self.cancel_s,
                    },
                    "state": {**self.limits, "next": self.next_limits},
                    "objectives": self.objectives,
                    "cloud": {"rps": self.cloud_rps, "list_lag_s": self.list_lag_s},
                    "resources": {"max_sockets": 600},
                },
            },
            version.knobs(),
        )

    # Messages

    def cut_between(self, node, side, zone=None):
        return next(
            (cut for cut in self.cuts if cut.node == node and self.now < cut.until and cut.side in ("all", side, zone)),
            None,
        )

    def process(self, node):
        """Return the process that a controller's name stands for at present."""
        return Process(node, self.versions[node] is NEW)

    def from_controller(self, node, version, address, method, path, body):
        """Deliver a controller's request, and attribute what it does to the controller, however late it is executed."""
        with self.provenance.carrying_out(Source(Process(node, version is NEW), self.now, DIRECT)):
            return self._from_controller(node, version, address, method, path, body)

    def _from_controller(self, node, version, address, method, path, body):
        if address == STATE:
            side, zone, target = "state", None, lambda: self.state.call(node, method, path, body)
        elif address == CLOUD:
            side, zone, target = "cloud", None, lambda: self.cloud.call(node, method, path, body)
        else:
            worker = self.workers.get(f"vm-{int(address[0].rpartition('.')[2]):06d}")
            if worker is None:
                raise version.unreachable("no such host")
            if self.now < self.deaf.get(worker.name, -1.0):
                raise version.no_answer("response lost")
            side, zone, target = "workers", worker.zone, lambda: self.execute_direct(worker, method, path, body)
        if side == "state":
            self.inject_store_failure(node, version, method, path, body)
        cut = self.cut_between(node, side, zone)
        if cut is not None:
            if cut.hold and method == "POST":
                cut.held.append(self._executed_late(target))  # when the cut ends, after the caller has timed out
                raise version.no_answer("cut")
            raise version.unreachable("cut")
        if side == "workers" and method == "POST" and self.should_inject(self.held_up):
            when = self.now + self.failure_random.uniform(2.0, 12.0)
            late = self.provenance.late(LATE_DIRECT)
            self.delayed_commands.append(DelayedCommands(when, worker.name, path, body, late, is_copy=False))
            raise version.no_answer("command delayed")
        if side == "state":
            self.during_store_request(node, method, path, body, False)
        answer = target()
        if side == "state":
            self.during_store_request(node, method, path, body, True)
            if method != "GET" and self.should_inject(self.lost_answers):
                raise version.no_answer("request executed, response lost")
        if answer is None:
            raise version.no_answer("hangs")
        return answer[0], json.loads(json.dumps(answer[1]))

    def _executed_late(self, request):
        """Return a request that is attributed to the controller which sends it now, whenever it is executed."""
        late = self.provenance.late(LATE_DIRECT)

        def execute():
            with self.provenance.carrying_out(late):
                return request()

        return execute

    def execute_direct(self, worker, method, path, body):
        """Deliver a direct request to a worker for the first time; copies of commands may arrive later."""
        answer = worker.direct(method, path, body)
        if answer is None and method == "POST" and self.now < worker.hung_until:
            # executed when the machine goes on, after the caller has timed out
            late = self.provenance.late(LATE_DIRECT)
            self.delayed_commands.append(
                DelayedCommands(worker.hung_until, worker.name, path, body, late, is_copy=False)
            )
        if answer is not None and method == "POST":
            self.delayed_commands += [
                DelayedCommands(
                    self.now + late_s, worker.name, path, body, self.provenance.late(LATE_COPY), is_copy=True
                )
                for until, late_s in self.repeats
                if self.now < until
            ]
        return answer

    def inject_store_failure(self, node, version, method, path, body):
        """Inject failures of requests to the key-value store other than cuts; raise if the request gets no response."""
        if path.startswith("/changes") and self.now < self.unread.get(node, -1.0):
            raise version.no_answer("reads of changes time out")
        for rows, least, most in ((self.late_writes, 2.0, 12.0), (self.slow, 0.3, 3.0)):
            if (rows is self.slow or path == "/multi") and self.should_inject(rows):
                if method == "POST":
                    when = self.now + self.failure_random.uniform(least, most)
                    self.delayed_transactions.append((when, node, path, body, self.provenance.late(LATE_DIRECT)))
                raise version.no_answer("request timed out")

    def should_inject(self, rows):
        """Decide at random whether a failure, given as rows of (until, share), affects this message."""
        share = max((share for until, share in rows if self.now < until), default=0.0)
        return share > 0.0 and self.failure_random.random() < share

    def apply_delayed_transactions(self):
        """Execute requests that timed out, after newer ones; during an outage of the store they wait until its end."""
        if self.now < self.state.down_until:
            return
        for row in [row for row in self.delayed_transactions if row[0] <= self.now]:
            self.delayed_transactions.remove(row)
            with self.provenance.carrying_out(row[4]):
                self.state.call(None, "POST", row[2], row[3])

    def to_controller(self, machine, node, method, path, body):
        """Deliver a request to a controller; return (status, body), or None if there is no response."""
        controller = self.controllers.get(node)
        zone = self.workers[machine].zone if machine in self.workers else None
        if (
            controller is None
            or self.now < self.frozen.get(node, -1.0)
            or self.cut_between(node, "workers" if machine else "users", zone)
        ):
            return None
        if machine and self.now < self.mute.get(machine, -1.0):
            return None
        raw = json.dumps(body).encode()
        if machine:
            self.copy_report(machine, node, body)
        try:
            reply = controller.route(method, path, lambda: raw)
        except self.versions[node].reply as thrown:
            reply = thrown
        if machine and self.now < self.deaf.get(machine, -1.0):
            return None
        return reply.status, json.loads(json.dumps(reply.body))

    def connection_was_reset(self, machine, node):
        """Whether an unanswered report failed at once because a cut reset its connection."""
        cut = self.cut_between(node, "workers", self.workers[machine].zone)
        if cut is None or not cut.resets or machine in cut.reset_machines:
            return False
        cut.reset_machines.add(machine)
        return True

    def copy_report(self, machine, node, report):
        for row in self.copies:
            if self.now < row.until and row.machine in (None, machine):
                self.delayed_reports += [
                    (self.now + row.late_s, to, report) for to in (self.nodes if row.everywhere else [node])
                ]
        if self.should_inject(self.copies_for_next):
            self.retained_reports.append(report)
        if self.should_inject(self.late_reports):
            to = self.failure_random.choice(self.nodes)
            self.delayed_reports.append((self.now + self.failure_random.uniform(2.0, 1.8 * self.lease_s), to, report))

    def deliver_delayed_messages(self):
        leader = self.state.items.get("tidebend/live/leader")
        if leader is not None and leader[1] != self.last_leader:
            self.last_leader = leader[1]
            self.delayed_reports += [
                (self.now, node, report) for report in self.retained_reports for node in self.nodes
            ]
            self.retained_reports.clear()
        for row in [row for row in self.delayed_commands if row.when <= self.now]:
            worker = self.workers.get(row.machine)
            if worker is not None and self.now < worker.hung_until:
                continue  # executed when the machine goes on
            self.delayed_commands.remove(row)
            with self.provenance.carrying_out(row.source):
                if worker is not None and row.is_copy:
                    worker.direct("POST", row.path, row.body)
                elif worker is not None:
                    self.execute_direct(worker, "POST", row.path, row.body)
        due = [row for row in self.delayed_reports if row[0] <= self.now]
        self.delayed_reports = [row for row in self.delayed_reports if row[0] > self.now]
        for _, node, report in due:
            controller = self.controllers.get(node)
            if controller is not None and self.now >= self.frozen.get(node, -1.0):
                raw = json.dumps(report).encode()
                with contextlib.suppress(self.versions[node].reply):
                    controller.route("POST", "/v1/report", lambda raw=raw: raw)

    def complete(self, job, index):
        key = f"{job}/{index}"
        if key not in self.completed:
            self.completed[key] = self.now
            self.done_tasks[job] = self.done_tasks.get(job, 0) + 1
        if self.completed[key] == self.now:
            self.last_done[job] = self.now
            if self.done_tasks[job] == self.jobs[job]["pieces"]:
                self.recently_changed_jobs.append(job)
                if self.should_inject(self.cancelled_at_end):
                    self.cancel(job)

    def refuses_start(self, key):
        """Whether a worker refuses this start of a task; the next one isn't refused."""
        if key.partition("/")[0] not in self.refusals or key in self.refused_tasks:
            return False
        self.refused_tasks.add(key)
        return True

    def holder(self, zone):
        row = self.state.items.get(f"tidebend/live/block/{zone}.0")
        return row[0]["holder"] if row else self.nodes[0]

    def next_node(self, node):
        return self.nodes[(self.nodes.index(node) + 1) % len(self.nodes)]

    def gang_is_complete(self, key, attempt):
        job = key.partition("/")[0]
        if self.jobs[job]["pieces"] == 1:
            return True
        there = {
            other
            for worker in self.workers.values()
            for other, task in worker.tasks.items()
            if other.partition("/")[0] == job and task.attempt == attempt and task.state in ("waiting", "running")
        }
        return len(there) == self.jobs[job]["pieces"]

    def free_slots(self, worker, spec):
        kind = self.kinds[worker.kind]
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
        began = len(self.log)  # responses given before this request are at lower log indices
        if action == "submit":
            spec = body or self.jobs[name]
            answer = self.to_controller(
                None,
                node,
                "POST",
                "/api/jobs",
                {key: value for key, value in spec.items() if key not in ("run_s", "fails_s")},
            )
        elif action == "poll":
            answer = self.to_controller(None, node, "GET", f"/api/jobs/{name}", None)
        else:
            answer = self.to_controller(None, node, "POST", f"/api/jobs/{name}/cancel", {})
        status = answer[0] if answer else None
        state = answer[1].get("tide") if answer and isinstance(answer[1], dict) else None
        self.log.append((self.now, "told", action, name, status, state, began, node, self.versions[node] is NEW))
        previous = self.answers.get(name, (None, None))
        if not self.sending_concurrent_requests:
            self.answers[name] = (status, state)
        if (previous[0] != status and status in (200, 201)) or (previous[1] != state and state == "withdrawn"):
            self.recently_changed_jobs.append(name)
        return status, state

    def during_store_request(self, node, method, path, body, executed):
        """Let users poll, resubmit and cancel while a controller's request to the key-value store is in flight."""
        if (
            self.now < self.concurrent_requests_until
            and not self.sending_concurrent_requests
            and self.recently_changed_jobs
            and self.failure_random.random() < 0.2
        ):
            self.send_concurrent_requests(
                self.failure_random.choice(self.recently_changed_jobs[-3:]), [self.failure_random.choice(self.nodes)]
            )

    def send_concurrent_requests(self, name, nodes):
        self.sending_concurrent_requests = True
        for node in nodes:
            action = self.failure_random.choice(("poll", "poll", "poll", "submit", "submit", "cancel"))
            if action == "cancel" and (
                self.failure_random.random() < 0.7 or self.cancelled_through not in (None, node)
            ):
                action = "poll"
            if action == "cancel":
                if name not in self.polls:
                    continue  # users cancel only jobs that were confirmed as accepted
                self.log.append((self.now, "asked", "cancel", name, None))
            self.user(action, name, node)
        self.sending_concurrent_requests = False

    def ask_about_recent_changes(self):
        """Send requests to all controllers about jobs that were just accepted, ended or cancelled."""
        if self.now < self.concurrent_requests_until:
            for name in dict.fromkeys(self.recently_changed_jobs[-3:]):
                self.send_concurrent_requests(name, self.nodes)
        del self.recently_changed_jobs[:-3]

    def submit_unfit(self, name, status, **spec):
        """Submit a job that must be rejected with this status: it fits no machine or lacks a field."""
        self.log.append((self.now, "asked", "submit", name, {"refused": status}))
        self.user("submit", name, body={"id": name, **spec})

    def submit(self, name, **spec):
        self.jobs[name] = {"id": name, **spec}
        self.log.append((self.now, "asked", "submit", name, dict(self.jobs[name])))
        self.pending.append([self.now, "submit", name])

    def cancel_now(self, count, hang_s=0.0, max_hanging=8):
        """Cancel up to `count` running jobs within 0.2 s; up to `max_hanging` of their machines hang for `hang_s`."""
        there = {}
        for worker in self.workers.values():
            for key, task in worker.tasks.items():
                if task.state in ("running", "waiting"):
                    there.setdefault(key.partition("/")[0], []).append(worker)
        told = {name for name in there if name in self.polls and self.answers[name][1] not in ("done", "withdrawn")}
        names = self.failure_random.sample(sorted(told), min(count, len(told)))
        machines = sorted({worker.name for name in names for worker in there[name]})
        for name in names:
            self.cancel(name)
            self.pending[-1][0] = self.now + self.failure_random.uniform(0.0, 0.2)
        for machine in self.failure_random.sample(machines, min(max_hanging, len(machines)) if hang_s else 0):
            self.workers[machine].hung_until = self.now + hang_s
        return names

    def has_active_failure(self):
        """Whether any injected failure is active, other than hanging, sick or lost machines."""
        now = self.now
        return bool(
            now
            < max(
                [
                    self.state.down_until,
                    self.cloud.down_until,
                    *self.state.refuses.values(),
                    *self.frozen.values(),
                    *self.deaf.values(),
                    *self.mute.values(),
                    *self.unread.values(),
                    *(cut.until for cut in self.cuts),
                    *(
                        rows[0]
                        for many in (
                            self.late_reports,
                            self.late_writes,
                            self.lost_answers,
                            self.held_up,
                            self.slow,
                            self.repeats,
                            self.copies_for_next,
                        )
                        for rows in many
                    ),
                ]
            )
            or self.delayed_transactions
            or self.delayed_commands
            or self.delayed_reports
            or self.scheduled_actions
            or None in self.controllers.values()
        )

    def cancel(self, name):
        self.log.append((self.now, "asked", "cancel", name, None))
        self.pending.append([self.now, "cancel", name])

    def step_users(self):
        for row in list(self.pending):
            if self.now < row[0]:
                continue
            status, _ = self.user(row[1], row[2], self.cancelled_through if row[1] == "cancel" else None)
            if status in (200, 201, 400, 404, 422):
                self.pending.remove(row)
                if row[1] == "submit" and status in (200, 201):
                    self.polls[row[2]] = self.now + 0.5 * self.poll_s[0]
            else:
                row[0] = self.now + 1.0
        for name, when in list(self.polls.items()):
            if self.now >= when:
                self.polls[name] = self.now + self.poll_s[self.answers[name][1] in ("done", "withdrawn")]
                self.user("poll", name)

    # Controllers

    def upgrade(self, node, downtime_s):
        self.crash(node, downtime_s)
        self.versions[node] = NEW
        self.provenance.upgraded_at[node] = self.now

    def crash(self, node, downtime_s):
        self.controllers[node] = None
        self.restart_at[node] = self.now + downtime_s

    def _step_controller(self, number, node):
        controller = self.controllers.get(node)
        if self.now < self.frozen.get(node, -1.0):
            return
        if controller is None:
            if self.now < self.restart_at[node]:
                return
            version = self.versions[node]
            controller = self.controllers[node] = version.controller(self.settings(node), Link(self, node, version))
            version.driver(controller).read_in_place(version.quiet)
        driver, quiet = self.versions[node].driver(controller), self.versions[node].quiet
        turn = self.ticks + number
        if turn % 8 == 0:
            driver.renew_lease()
        if turn % 2 == 0:
            if self.now >= self.hung_watch.get(node, -1.0):
                self._run_suppressed(quiet, driver.catch_up)
                driver.note_watch(self.monotonic_now)
            self._run_suppressed(quiet, driver.seal_cancellations)
            driver.maintain_shards()
        if turn % 3 == 0 and driver.is_loaded:
            self._run_suppressed(quiet, driver.mapping_event)
        for _ in range(20):
            if not driver.send_next_command():
                break
        while driver.probe_next():
            pass
        if turn % 5 == 0:
            self._send_peer_frame(node, driver.peer_frame())
            self._run_suppressed(quiet, driver.guard_machines)
        if turn % 10 == 0:
            self._run_suppressed(quiet, driver.scale)

    def _send_peer_frame(self, node, frame):
        for peer, other in self.controllers.items():
            if (
                other is not None
                and peer != node
                and self.now >= self.frozen.get(peer, -1.0)
                and not self.cut_between(node, "peers")
                and not self.cut_between(peer, "peers")
            ):
                self.versions[peer].driver(other).receive_peer_frame(json.loads(json.dumps(frame)))

    def hang_watch(self, node):
        """Make a controller's open watch deliver nothing until the controller's own time-out for it expires."""
        controller = self.controllers.get(node)
        if controller is not None:
            self.hung_watch[node] = self.now + self.versions[node].driver(controller).hung_watch_s

    @staticmethod
    def _run_suppressed(quiet, step):
        with contextlib.suppress(*quiet):
            step()

    def step(self):
        self.ticks += 1
        self.now = round(self.now + TICK, 6)
        self.monotonic_now = max(self.monotonic_now, self.now)
        for cut in [cut for cut in self.cuts if cut.until <= self.now]:
            self.cuts.remove(cut)
            for request in cut.held:
                request()  # delivered late, in the order sent
        for row in [row for row in self.scheduled_actions if row[0] <= self.now]:
            self.scheduled_actions.remove(row)
            row[1]()
        self.deliver_delayed_messages()
        self.apply_delayed_transactions()
        self.state.step()
        self.cloud.step()
        for number, node in enumerate(self.nodes):
            self._step_controller(number, node)
        for worker in list(self.workers.values()):
            if worker.name in self.workers:
                worker.step()
        self.step_users()
        self.ask_about_recent_changes()

    def sleep(self, seconds):
        # Only the monotonic clock advances while a component sleeps; `now` catches up in later steps.
        self.monotonic_now += seconds

    def clock(self):
        """Patch the time module to the virtual clocks while the simulation runs."""
        return mock.patch.multiple(
            "time", monotonic=lambda: self.monotonic_now, time=lambda: 1e9 + self.now, sleep=self.sleep
        )
