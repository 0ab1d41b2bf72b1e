"""Simulated workers on a virtual clock, written from the protocol's specification."""

from __future__ import annotations

from dataclasses import dataclass

from simulation.provenance import HEARTBEAT_ANSWER, Source


@dataclass
class Task:
    """One attempt of a task on a worker; times are on the virtual clock, `progress` is in seconds of run time."""

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
        self.superseded = {}  # ended attempts replaced by a newer one: (key, attempt) -> task
        self.images = set()
        self.began = world.now
        self.last_contact = world.now  # when the last answered report was sent
        self.node = world.nodes[int(name[3:]) % len(world.nodes)]
        self.next_report = world.now
        self.notice = None
        self.hung_until = -1.0
        self.sick_until = -1.0
        self.last_reported = None
        self.delayed_answer = None  # a delayed response to a report: (when, sent, session, body, source)

    def event(self, what, key, task):
        self.world.log.append((self.world.now, what, key, task.attempt, self.name, self.zone, self.kind, self.spot))

    def record_stop(self, key):
        task = self.tasks[key]
        if task.state in ("running", "saving", "waiting"):
            self.event("off", key, task)
        if task.state in ("running", "saving"):
            self.record_progress(key, task)

    def progress_s(self, key, task):
        """Return the task's progress in seconds, including what an earlier attempt had saved."""
        until = (
            task.end_at - self.world.jobs[key.partition("/")[0]]["stowS"] if task.state == "saving" else self.world.now
        )
        return task.progress + max(0.0, until - task.since)

    def record_progress(self, key, task):
        """Count saved and lost work: checkpoints survive, work since the last one is lost unless the task is done."""
        job = key.partition("/")[0]
        spec = self.world.jobs[job]
        if key in self.world.completed or spec["shape"] == "service":
            return
        progress_s = self.progress_s(key, task)
        safe = (
            progress_s
            if task.state == "saving" and self.world.now >= task.end_at
            else (progress_s // spec["markS"] * spec["markS"] if spec["markS"] > 0 else 0.0)
        )
        saved_s = self.world.saved[key] = max(safe, self.world.saved.get(key, 0.0))
        self.world.lost[job] += max(0.0, progress_s - saved_s)
        self.world.stops[job] += 1

    def lose_all(self):
        for key in self.tasks:
            self.record_stop(key)
        self.tasks, self.superseded = {}, {}

    def finish(self, key, why, saved=False):
        self.record_stop(key)
        task = self.tasks[key]
        task.state, task.why, task.saved = "ended", why, saved

    def step(self):
        now = self.world.now
        if now < self.hung_until:
            return
        if now - self.last_contact > self.world.lease_s:
            self.lose_all()
            self.session += 1
            self.last_contact = now
        for key, task in list(self.tasks.items()):
            spec = self.world.jobs.get(key.partition("/")[0])
            if task.state == "fetching" and now >= task.image_at:
                if now < self.sick_until:
                    task.state, task.why = "ended", "error"
                    continue
                self.images.add(spec["cargo"])
                if key in self.world.completed:
                    # the result of the earlier attempt is kept, so the task exits as soon as it has its image
                    task.state = "running"
                    self.event("on", key, task)
                    self.finish(key, "done")
                    continue
                task.state, task.since = "waiting" if spec["shape"] == "group" else "running", now
                task.progress = self.world.saved.get(key, 0.0)
                self.world.starts[key.partition("/")[0]] += 1
                self.event("on", key, task)
            elif task.state == "waiting" and self.world.gang_is_complete(key, task.attempt):
                task.state, task.since = "running", now
            elif task.state == "running" and now - task.since >= spec.get("fails_s", 1e9):  # a job that always fails
                self.finish(key, "error")
            elif task.state == "running" and spec["shape"] != "service" and self.progress_s(key, task) >= spec["run_s"]:
                job = key.partition("/")[0]
                for index in range(spec["pieces"]) if spec["shape"] == "group" else (key.partition("/")[2],):
                    self.world.complete(job, index)  # all tasks of a gang complete together
                self.finish(key, "done")
            elif task.state == "saving" and now >= task.end_at:
                self.finish(key, "stopped", True)
        state = {key: (task.attempt, task.state) for key, task in self.tasks.items()}
        if (state, self.notice, self.token) != self.last_reported:
            self.next_report = min(self.next_report, max(now, self.last_contact + 0.5))
        if self.delayed_answer is not None:
            if now < self.delayed_answer[0]:
                return  # at most one report is in flight
            (_, sent, session, body, source), self.delayed_answer = self.delayed_answer, None
            if session == self.session:
                self.apply_answer(body, sent, source)
        if now >= self.next_report:
            self.last_reported = (state, self.notice, self.token)
            self.report()

    def body(self):
        self.sequence += 1
        rows = []
        for key, task in [*self.tasks.items(), *((key, task) for (key, _), task in self.superseded.items())]:
            row = {"piece": key, "launch": task.attempt, "tide": task.state}
            if task.state == "ended":
                row["cause"] = task.why
                row["stored"] = task.saved
            rows.append(row)
        return {
            "vessel": self.name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "hull": self.kind,
            "harbor": self.zone,
            "driftwood": self.spot,
            "watch": self.session,
            "tally": self.sequence,
            "helm": self.token,
            "warningS": None if self.notice is None else self.notice - self.world.now,
            "pieces": rows,
        }

    def report(self):
        now = self.world.now
        source = Source(self.world.process(self.node), now, HEARTBEAT_ANSWER)
        self.next_report = now + self.world.report_s * self.world.random.uniform(0.75, 1.25)
        answer = self.world.to_controller(self.name, self.node, "POST", "/v1/report", self.body())
        if answer is None:
            # Response time-out of 4 s (none if the connection was reset), then the next controller a second later.
            self.next_report = now + (1.0 if self.world.connection_was_reset(self.name, self.node) else 5.0)
            self.node = self.world.next_node(self.node)
        elif answer[0] == 200:
            if self.world.should_inject(self.world.held_up):
                when = now + self.world.failure_random.uniform(0.5, 3.9)
                self.delayed_answer = when, now, self.session, answer[1], source
            else:
                self.apply_answer(answer[1], now, source)
        else:
            to = answer[1].get("harbormaster") if answer[0] == 421 else None
            if to in self.world.nodes and to != self.node:
                self.node, self.next_report = to, now + 0.2
            else:
                self.node, self.next_report = self.world.next_node(self.node), now + 1.0

    def apply_answer(self, body, sent, source):
        if body.get("helm", -1) >= self.token:
            self.token = body["helm"]
            self.last_contact = sent
            with self.world.provenance.carrying_out(source):
                self.execute(body["orders"])

    def execute(self, commands):
        for command in commands:
            key, attempt = command["piece"], command["launch"]
            task = self.tasks.get(key)
            if command["order"] == "start":
                if (task is not None and task.attempt == attempt) or (key, attempt) in self.superseded:
                    continue
                self.world.provenance.note_start(self.world.now, self.name, key, attempt, self.token)
                spec = self.world.jobs.get(key.partition("/")[0])
                made = Task(attempt, "fetching", self.world.now, self.world.now)
                if spec is None:
                    made.state, made.why = "ended", "no_such"
                elif self.world.refuses_start(key):
                    made.state, made.why = "ended", self.world.refusals[key.partition("/")[0]]
                elif task is not None and task.state != "ended":
                    continue  # simplification: one attempt per task; a real worker reports in_use
                elif self.world.free_slots(self, spec) < 1:
                    made.state, made.why = "ended", "full"
                elif spec["cargo"] not in self.images:
                    made.image_at += spec["sizeGb"]
                if task is not None:
                    self.superseded[key, task.attempt] = task
                self.tasks[key] = made
            elif (key, attempt) in self.superseded:
                if command["order"] == "clear":
                    self.world.provenance.note_forgotten(self.world.now, self.name, key, attempt)
                    del self.superseded[key, attempt]
            elif task is not None and task.attempt == attempt:
                if command["order"] == "clear" and task.state == "ended":
                    self.world.provenance.note_forgotten(self.world.now, self.name, key, attempt)
                    del self.tasks[key]
                elif command["order"] == "kill" and task.state != "ended":
                    spec = self.world.jobs[key.partition("/")[0]]
                    if task.state == "running" and spec["markS"] > 0 and command["slackS"] >= spec["stowS"]:
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
