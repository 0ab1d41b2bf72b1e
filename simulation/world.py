"""Real controllers on a virtual clock, with stand-ins for all that is around them.

One thread steps everything in turn, so the same seed gives the same log. The controllers are the real ones, without
their threads and sockets.
"""

from __future__ import annotations

import contextlib
import json
import random
from collections import Counter
from unittest import mock

from simulation.cloud import Cloud
from simulation.links import Link
from simulation.state import StateService
from simulation.versions import Version, current

NEW = current()
TICK = 0.1
STATE = ("state", 1)
CLOUD = ("cloud", 1)


class World:
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
        """`controllers`: how many, over the zones in turn (one in each); `limits`: of the state service, enforced;
        `polls`: seconds between a user's polls for a job before and after its end."""
        self.random = random.Random(seed)
        self.now = 100.0
        self.log = []
        self.jobs, self.completed = {}, {}
        self.done_tasks, self.last_done = {}, {}  # job -> how many of its tasks are done, and since when the last
        self.kinds = {kind["name"]: kind for kind in types}
        self.zones, self.types, self.teams = zones, types, teams
        self.lease_s, self.report_s, self.cancel_s, self.list_lag_s = lease_s, report_s, cancel_s, list_lag_s
        self.state, self.cloud = StateService(self), Cloud(self)
        self.workers = {}
        self.nodes = [f"n{number}" for number in range(controllers or len(zones))]
        self.limits = {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12, **(limits or {})}
        if limits:
            self.state.limits.update({key: self.limits[key] for key in self.state.limits})
        self.cloud_rps, self.poll_s = cloud_rps, polls
        self.objectives = objectives or [
            {"kind": "deadline", "class": "c", "share": 0.9, "times": times} for times in (1.5, 1.0)
        ]
        self.frozen = {}  # controller -> until
        self.deaf = {}  # machine -> until: its reports arrive, answers and commands don't reach it
        self.mute = {}  # machine -> until: commands reach it and are answered, its reports don't arrive
        self.copies = []  # what is copied; see Copies
        self.delayed_reports = []  # copies under way: (when, controller, report)
        self.repeats = []  # direct commands that are repeated: (until, how late)
        self.delayed_commands = []  # repeats under way: (when, machine, path, body)
        self.chance = random.Random(seed + 1)  # what befalls requests; the rest of a seed's day stays as it is
        self.late_reports = []  # (until, share): of these reports a copy comes again, up to well over a lease late
        self.late_writes = []  # (until, share): transactions that get no answer and are carried out 2 to 12 s later
        self.held_up = []  # (until, share): commands that are carried out, and answers that come, seconds later
        self.delayed_transactions = []  # such transactions: (when, controller, path, body)
        self.lost_answers = []  # (until, share): changes of the state that are carried out at once, without an answer
        self.copies_for_next = []  # (until, share): of these reports a copy is kept until the next leader begins
        self.retained_reports = []  # such copies
        self.led = None  # the leader's record as of the last step
        self.cancelled_at_end = []  # (until, share): of the jobs that end, those that are called off at that moment
        self.cancelled_through = None  # the controller that users ask to cancel jobs; None: any
        # until then users ask everywhere, also while requests to the state are under way
        self.concurrent_requests_until = -1.0
        self.recently_changed_jobs = []  # jobs that were just accepted, ended or cancelled, the newest last
        self.looking = False
        self.scheduled_actions = []  # what befalls it yet: (when, action)
        self.slow = []  # (until, share): requests to the state service whose answers come after the time-out
        self.unread = {}  # controller -> until: its reads of changes are unanswered, all else is answered
        self.hung_watch = {}  # controller -> until: the watch that it has open brings nothing, unnoticed
        self.saved = {}  # task, or gang -> seconds of progress that are safe
        self.lost = Counter()  # job -> seconds of work that were lost
        self.starts, self.stops = Counter(), Counter()  # job -> starts executed, tasks that left without being done
        self.controllers = {}
        self.versions: dict[str, Version] = dict.fromkeys(self.nodes, NEW)
        self.next_limits = {}
        self.back_at = dict.fromkeys(self.nodes, 0.0)
        self.cuts = []
        self.pending = []  # requests of users that are repeated: (when, action, job)
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

    # Traffic

    def cut_between(self, node, side, zone=None):
        return next(
            (cut for cut in self.cuts if cut.node == node and self.now < cut.until and cut.side in ("all", side, zone)),
            None,
        )

    def from_controller(self, node, version, address, method, path, body):
        if address == STATE:
            side, zone, target = "state", None, lambda: self.state.call(node, method, path, body)
        elif address == CLOUD:
            side, zone, target = "cloud", None, lambda: self.cloud.call(node, method, path, body)
        else:
            worker = self.workers.get(f"vm-{int(address[0].rpartition('.')[2]):06d}")
            if worker is None:
                raise version.unreachable("no such host")
            if self.now < self.deaf.get(worker.name, -1.0):
                raise version.no_answer("nothing comes back")
            side, zone, target = "workers", worker.zone, lambda: worker.direct(method, path, body)
        if side == "state":
            self.before_state(node, version, method, path, body)
        cut = self.cut_between(node, side, zone)
        if cut is not None:
            if cut.hold and method == "POST":
                cut.held.append(target)  # executed when the cut is over, though nobody waits any more
                raise version.no_answer("cut")
            raise version.unreachable("cut")
        if side == "workers" and method == "POST" and self.befalls(self.held_up):
            self.delayed_commands.append((self.now + self.chance.uniform(2.0, 12.0), worker.name, path, body))
            raise version.no_answer("held up")
        if side == "state":
            self.during_store_request(node, method, path, body, False)
        answer = target()
        if side == "state":
            self.during_store_request(node, method, path, body, True)
            if method != "GET" and self.befalls(self.lost_answers):
                raise version.no_answer("only the answer is lost")
        if answer is None:
            raise version.no_answer("hangs")
        if side == "workers" and method == "POST":  # carried out, and not kept back by a cut
            self.delayed_commands += [
                (self.now + late_s, worker.name, path, body) for until, late_s in self.repeats if self.now < until
            ]
        return answer[0], json.loads(json.dumps(answer[1]))

    def before_state(self, node, version, method, path, body):
        """Troubles of requests to the state service other than cuts; raises for those without an answer."""
        if path.startswith("/changes") and self.now < self.unread.get(node, -1.0):
            raise version.no_answer("no answer to reads")
        for rows, least, most in ((self.late_writes, 2.0, 12.0), (self.slow, 0.3, 3.0)):
            if (rows is self.slow or path == "/multi") and self.befalls(rows):
                if method == "POST":
                    when = self.now + self.chance.uniform(least, most)
                    self.delayed_transactions.append((when, node, path, body))
                raise version.no_answer("no answer in time")

    def befalls(self, rows):
        """Whether a trouble of a share of something, as (until, share), strikes this time."""
        share = max((share for until, share in rows if self.now < until), default=0.0)
        return share > 0.0 and self.chance.random() < share

    def apply_delayed_transactions(self):
        """What got no answer is carried out all the same, after newer requests; an outage keeps it until it's over."""
        if self.now < self.state.down_until:
            return
        for row in [row for row in self.delayed_transactions if row[0] <= self.now]:
            self.delayed_transactions.remove(row)
            self.state.call(None, "POST", row[2], row[3])

    def to_controller(self, machine, node, method, path, body):
        """None: no answer."""
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
            self.copy(machine, node, body)
        try:
            reply = controller.route(method, path, lambda: raw)
        except self.versions[node].reply as thrown:
            reply = thrown
        if machine and self.now < self.deaf.get(machine, -1.0):
            return None
        return reply.status, json.loads(json.dumps(reply.body))

    def was_reset(self, machine, node):
        """Whether a report without an answer failed at once, for a connection that was reset."""
        cut = self.cut_between(node, "workers", self.workers[machine].zone)
        if cut is None or not cut.resets or machine in cut.told:
            return False
        cut.told.add(machine)
        return True

    def copy(self, machine, node, report):
        for row in self.copies:
            if self.now < row.until and row.machine in (None, machine):
                self.delayed_reports += [
                    (self.now + row.late_s, to, report) for to in (self.nodes if row.everywhere else [node])
                ]
        if self.befalls(self.copies_for_next):
            self.retained_reports.append(report)
        if self.befalls(self.late_reports):
            to = self.chance.choice(self.nodes)
            self.delayed_reports.append((self.now + self.chance.uniform(2.0, 1.8 * self.lease_s), to, report))

    def deliver_copies(self):
        leader = self.state.items.get("tidebend/live/leader")
        if leader is not None and leader[1] != self.led:
            self.led = leader[1]
            self.delayed_reports += [
                (self.now, node, report) for report in self.retained_reports for node in self.nodes
            ]
            self.retained_reports.clear()
        for row in [row for row in self.delayed_commands if row[0] <= self.now]:
            self.delayed_commands.remove(row)
            if row[1] in self.workers:
                self.workers[row[1]].direct("POST", row[2], row[3])
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
                if self.befalls(self.cancelled_at_end):
                    self.cancel(job)

    def holder(self, zone):
        row = self.state.items.get(f"tidebend/live/block/{zone}.0")
        return row[0]["holder"] if row else self.nodes[0]

    def next_node(self, node):
        return self.nodes[(self.nodes.index(node) + 1) % len(self.nodes)]

    def gang_is_whole(self, key, attempt):
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

    def room(self, worker, spec):
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
        began = len(self.log)  # what was answered before this stands in the log already
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
        before = self.answers.get(name, (None, None))
        if not self.looking:
            self.answers[name] = (status, state)
        if (before[0] != status and status in (200, 201)) or (before[1] != state and state == "withdrawn"):
            self.recently_changed_jobs.append(name)
        return status, state

    def during_store_request(self, node, method, path, body, carried_out):
        """Called while a controller's request to the state service is under way: users ask, repeat and cancel."""
        if (
            self.now < self.concurrent_requests_until
            and not self.looking
            and self.recently_changed_jobs
            and self.chance.random() < 0.2
        ):
            self.look(self.chance.choice(self.recently_changed_jobs[-3:]), [self.chance.choice(self.nodes)])

    def look(self, name, nodes):
        self.looking = True
        for node in nodes:
            action = self.chance.choice(("poll", "poll", "poll", "submit", "submit", "cancel"))
            if action == "cancel" and (self.chance.random() < 0.7 or self.cancelled_through not in (None, node)):
                action = "poll"
            if action == "cancel":
                if name not in self.polls:
                    continue  # users cancel what they were told is accepted
                self.log.append((self.now, "asked", "cancel", name, None))
            self.user(action, name, node)
        self.looking = False

    def look_closely(self):
        """At all nodes, right after a job was accepted, ended or cancelled."""
        if self.now < self.concurrent_requests_until:
            for name in dict.fromkeys(self.recently_changed_jobs[-3:]):
                self.look(name, self.nodes)
        del self.recently_changed_jobs[:-3]

    def submit_unfit(self, name, status, **spec):
        """A job that must be refused with this status: it fits no machine, or lacks a field."""
        self.log.append((self.now, "asked", "submit", name, {"refused": status}))
        self.user("submit", name, body={"id": name, **spec})

    def submit(self, name, **spec):
        self.jobs[name] = {"id": name, **spec}
        self.log.append((self.now, "asked", "submit", name, dict(self.jobs[name])))
        self.pending.append([self.now, "submit", name])

    def cancel_now(self, count, hang_s=0.0, most_hang=8):
        """Users call off jobs that run, within a fifth of a second; some of their machines hang from that moment."""
        there = {}
        for worker in self.workers.values():
            for key, task in worker.tasks.items():
                if task.state in ("running", "waiting"):
                    there.setdefault(key.partition("/")[0], []).append(worker)
        told = {name for name in there if name in self.polls and self.answers[name][1] not in ("done", "withdrawn")}
        names = self.chance.sample(sorted(told), min(count, len(told)))
        machines = sorted({worker.name for name in names for worker in there[name]})
        for name in names:
            self.cancel(name)
            self.pending[-1][0] = self.now + self.chance.uniform(0.0, 0.2)
        for machine in self.chance.sample(machines, min(most_hang, len(machines)) if hang_s else 0):
            self.workers[machine].hung_until = self.now + hang_s
        return names

    def troubled(self):
        """Whether anything besides single machines isn't as it should be."""
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

    def users(self):
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

    def upgrade(self, node, for_s):
        self.crash(node, for_s)
        self.versions[node] = NEW

    def crash(self, node, for_s):
        self.controllers[node] = None
        self.back_at[node] = self.now + for_s

    def _controller(self, number, node):
        controller = self.controllers.get(node)
        if self.now < self.frozen.get(node, -1.0):
            return
        if controller is None:
            if self.now < self.back_at[node]:
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
                self._quietly(quiet, driver.catch_up)
                driver.note_watch(self.monotonic_now)
            driver.maintain_shards()
        if turn % 3 == 0 and driver.is_loaded:
            self._quietly(quiet, driver.mapping_event)
        for _ in range(20):
            if not driver.send_next_command():
                break
        while driver.probe_next():
            pass
        if turn % 5 == 0:
            self._tell_peers(node, driver.peer_frame())
            self._quietly(quiet, driver.guard_machines)
        if turn % 10 == 0:
            self._quietly(quiet, driver.scale)

    def _tell_peers(self, node, frame):
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
        """The watch that a controller has open brings nothing from now on, for as long as the controller waits."""
        controller = self.controllers.get(node)
        if controller is not None:
            self.hung_watch[node] = self.now + self.versions[node].driver(controller).hung_watch_s

    @staticmethod
    def _quietly(quiet, step):
        with contextlib.suppress(*quiet):
            step()

    def step(self):
        self.ticks += 1
        self.now = round(self.now + TICK, 6)
        self.monotonic_now = max(self.monotonic_now, self.now)
        for cut in [cut for cut in self.cuts if cut.until <= self.now]:
            self.cuts.remove(cut)
            for request in cut.held:
                request()  # delivered late, in order
        for row in [row for row in self.scheduled_actions if row[0] <= self.now]:
            self.scheduled_actions.remove(row)
            row[1]()
        self.deliver_copies()
        self.apply_delayed_transactions()
        self.state.step()
        self.cloud.step()
        for number, node in enumerate(self.nodes):
            self._controller(number, node)
        for worker in list(self.workers.values()):
            if worker.name in self.workers:
                worker.step()
        self.users()
        self.look_closely()

    def sleep(self, seconds):
        self.monotonic_now += seconds  # a part waits: only the steady clock moves on; the world catches up with it

    def clock(self):
        """Patches for the time module while the world runs."""
        return mock.patch.multiple(
            "time", monotonic=lambda: self.monotonic_now, time=lambda: 1e9 + self.now, sleep=self.sleep
        )
