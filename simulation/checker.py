"""Invariants of the scheduler, checked against the simulation's own log, independently of the scheduler's code."""

from __future__ import annotations

from typing import NamedTuple

FINAL_STATES = ("done", "withdrawn")


class FoundBreach(NamedTuple):
    """A violated invariant, with what reveals it."""

    rule: str
    at: float  # virtual time in seconds
    text: str
    place: int | None = None  # index of the log's row that reveals it; None if it follows from the end of the world
    subject: str = ""  # the task, job or team

    @property
    def row(self):
        """The breach as it is reported: (rule, time, text)."""
        return self.rule, self.at, self.text


def contradicts(final, said_at, state, began):
    """Whether an answer contradicts an earlier final answer, which is at index `said_at` of the log.

    A non-final answer is allowed if its request was sent, at log index `began`, before the final answer was given.
    """
    return state != final and (said_at < began or state in FINAL_STATES)


def breaches(log, jobs, teams, cancel_s, completed_at=None):
    """Return every violated invariant as (rule, time, text)."""
    return [breach.row for breach in find_breaches(log, jobs, teams, cancel_s, completed_at)]


def find_breaches(log, jobs, teams, cancel_s, completed_at=None):
    """Return every violated invariant as a FoundBreach."""
    found = []
    running_on = {}  # task -> {machine: zone}
    cancelled, first_asked, final_states, accepted = {}, {}, {}, {}
    usage = {team["name"]: [0.0, 0.0] for team in teams}
    limits = {team["name"]: (team.get("cpus_max") or 1e18, team.get("gpus_max") or 1e18) for team in teams}
    ran_after_cancel = set()
    orphans = set()
    zone_counts = {}  # job -> zone -> number of its tasks there
    overdue = []  # (deadline, job), in order: cancelled jobs whose tasks must have stopped by then

    def prerequisites(job):
        """Return all jobs that a job waits for, directly or transitively."""
        found, left = set(), [job]
        while left:
            for other in jobs.get(left.pop(), {}).get("awaits") or ():
                if other not in found:
                    found.add(other)
                    left.append(other)
        return found

    def report(rule, text, subject):
        found.append(FoundBreach(rule, now, text, place, subject))

    def check_overdue():
        while overdue and now > overdue[0][0]:
            _, job = overdue.pop(0)
            if any(zone_counts.get(job, {}).values()) and job not in ran_after_cancel:
                ran_after_cancel.add(job)
                report("ran_cancelled", f"tasks of {job} are still on machines", job)

    must_be_refused = {}  # jobs that must be rejected -> expected status
    final_at = {}  # job -> log index of its first final answer
    accepted_at = {}

    for place, row in enumerate(log):
        now, what = row[0], row[1]
        check_overdue()
        if what == "on":
            _, _, task, _, machine, zone, kind, spot = row
            job = task.partition("/")[0]
            spec = jobs[job]
            if running_on.get(task):
                report("ran_twice", f"{task} on {sorted(running_on[task])} and {machine}", task)
            if job in cancelled and now > cancelled[job] + cancel_s:
                report("ran_cancelled", f"{task} starts after cancellation", task)
            zones = zone_counts.setdefault(job, {})
            zones[zone] = zones.get(zone, 0) + 1
            wrong = (
                (spec["hulls"] is not None and kind not in spec["hulls"])
                or (spec["harbor"] is not None and zone != spec["harbor"])
                or (spot and not spec["driftwood"])
                or (spec["samePlace"] and sum(1 for count in zones.values() if count) > 1)
                or (spec["spread"] and zones[zone] > (spec["pieces"] + 1) // 2)
            )
            if wrong:
                report("wrong_place", f"{task} on {machine} ({kind}, {zone}, spot {spot})", task)
            for other in spec.get("awaits") or ():
                missing = [
                    n for n in range(jobs[other]["pieces"]) if (completed_at or {}).get(f"{other}/{n}", 1e18) > now
                ]
                if missing:
                    report("too_early", f"{task} starts before tasks {missing[:3]} of {other}", task)
            running_on.setdefault(task, {})[machine] = zone
            used = usage[spec["crew"]]
            used[0] += spec["vcpus"]
            used[1] += spec["accelerators"]
            if used[0] > limits[spec["crew"]][0] + 1e-6 or used[1] > limits[spec["crew"]][1] + 1e-6:
                report("quota", f"{spec['crew']} uses {used}", spec["crew"])
        elif what == "off":
            _, _, task, _, machine, *_ = row
            zone = running_on.get(task, {}).pop(machine, None)
            if zone is not None:
                zone_counts[task.partition("/")[0]][zone] -= 1
                spec = jobs[task.partition("/")[0]]
                usage[spec["crew"]][0] -= spec["vcpus"]
                usage[spec["crew"]][1] -= spec["accelerators"]
        elif what == "asked":
            first_asked.setdefault((row[2], row[3]), now)
            if row[2] == "submit" and "refused" in (row[4] or ()):
                must_be_refused[row[3]] = row[4]["refused"]
        elif what == "told":
            _, _, action, job, status, state = row[:6]
            # Log index at which the request was sent: its answer needn't reflect answers given while it was in flight.
            began = row[6] if len(row) > 6 else place
            if job in must_be_refused and action == "submit" and status in (200, 201):
                report("accepted_unfit", f"{job}: {status}, expected {must_be_refused[job]}", job)
            if status in (200, 201) and ("submit", job) not in first_asked:
                report("invented", f"{job} was never submitted", job)
            refused = status == 404 or (action == "submit" and status in (400, 422))
            if refused and job in accepted and accepted_at[job] < began:
                report("forgotten", f"{job}: {status}", job)
            if status in (200, 201):
                accepted.setdefault(job, now)
                accepted_at.setdefault(job, place)
                if job in final_states and contradicts(final_states[job], final_at[job], state, began):
                    report("went_back", f"{job}: {final_states[job]}, then {state}", job)
                if state == "withdrawn":
                    if not any(("cancel", other) in first_asked for other in {job, *prerequisites(job)}):
                        report("went_back", f"{job} is cancelled without a request", job)
                    if job not in cancelled:
                        cancelled[job] = now
                        overdue.append((now + cancel_s, job))
                if (
                    state in ("queued", "running")
                    and job not in orphans
                    and any(now > cancelled.get(other, 1e18) + cancel_s for other in prerequisites(job))
                ):
                    orphans.add(job)
                    report("orphaned", f"{job} is still reported as {state}", job)
                if state == "done" and job in jobs and completed_at is not None:
                    missing = [n for n in range(jobs[job]["pieces"]) if completed_at.get(f"{job}/{n}", 1e18) > now]
                    if missing:
                        report("not_done", f"{job} is done without tasks {missing[:3]}", job)
                if state in FINAL_STATES:
                    final_states.setdefault(job, state)
                    final_at.setdefault(job, place)
    if not any(row[1] == "on" for row in log):
        found.append(FoundBreach("nothing_ran", log[-1][0] if log else 0.0, "no task was started"))
    return found


def contradicted(log, by_new_only=False):
    """Return jobs that a controller reported as done or cancelled and a controller reported otherwise when asked later.

    `by_new_only`: only final answers from the current version count; answers from any version can contradict them.
    """
    found, final, said_at = set(), {}, {}
    for place, row in enumerate(log):
        if row[1] != "told" or row[4] not in (200, 201):
            continue
        job, state, began, is_new = row[3], row[5], row[6], row[8]
        if job in final and contradicts(final[job], said_at[job], state, began):
            found.add(job)
        if state in FINAL_STATES and (is_new or not by_new_only):
            final.setdefault(job, state)
            said_at.setdefault(job, place)
    return found


def forgotten(log, calm_from, bound_s=75.0):
    """Return accepted jobs for which all requests failed for over `bound_s` seconds once all failures had ended."""
    found, answered, told = [], {}, set()
    for row in log:
        if row[1] != "told":
            continue
        now, job, status = row[0], row[3], row[4]
        if status in (200, 201):
            answered[job] = now
        elif job in answered and job not in told and now - max(answered[job], calm_from) > bound_s:
            told.add(job)
            found.append(("forgotten", now, f"{job}: no answer for {now - max(answered[job], calm_from):.0f} s"))
    return found


def all_breaches(world, starvation, over_at=None):
    """Return all violations of a simulation as (rule, time, text); see `all_found_breaches`."""
    return [breach.row for breach in all_found_breaches(world, starvation, over_at)]


def all_found_breaches(world, starvation, over_at=None):
    """Return all violations of a simulation, after asking every controller about every accepted job once more.

    `over_at`: when the injected failures ended; by default when `starvation` last saw one active.
    """
    accepted = sorted({row[3] for row in world.log if row[1] == "told" and row[4] in (200, 201)})
    unknown = [
        ("forgotten", world.now, f"{name}: {node} answers {status} after the last failure")
        for name in accepted
        for node in world.nodes
        if (status := world.user("poll", name, node)[0]) != 200
    ]
    at_the_end = (
        forgotten(world.log, starvation.calm_from if over_at is None else over_at) + unknown + starvation.breaches
    )
    found = find_breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)
    return found + [FoundBreach(*row) for row in at_the_end]


def starts_after_cancellation(log):
    """Return tasks that start after their job was reported as cancelled, as (task, seconds later)."""
    told, found = {}, []
    for row in log:
        if row[1] == "told" and row[5] == "withdrawn":
            told.setdefault(row[3], row[0])
        elif row[1] == "on" and row[2].partition("/")[0] in told:
            found.append((row[2], row[0] - told[row[2].partition("/")[0]]))
    return found


class StarvationDetector:
    """Detects jobs that wait although no failure is active, machines that fit are free and the team is below its limit.

    Uses the state of the simulated workers and cloud; `check` must be called about once a second.
    """

    def __init__(self, world, bound_s=90.0):
        self.world, self.bound_s = world, bound_s
        self.since, self.found = {}, {}
        self.calm_from = world.now

    def check(self):
        world = self.world
        if world.has_active_failure():
            self.calm_from = world.now
            waiting = set()
        else:
            waiting = {name for name in world.polls if self._is_starved(name)}
        self.since = {name: self.since.get(name, world.now) for name in waiting}
        for name, since in self.since.items():
            if world.now - since > self.bound_s:
                self.found.setdefault(name, ("beside_room", world.now, f"{name} waits for {self.bound_s:.0f} s"))

    @property
    def breaches(self):
        return list(self.found.values())

    def _is_starved(self, name):
        world, spec = self.world, self.world.jobs[name]
        if (
            world.answers[name][1] in ("done", "withdrawn")
            or "fails_s" in spec
            or any(name == row[2] for row in world.pending)
            or any(world.done_tasks.get(other, 0) < world.jobs[other]["pieces"] for other in spec.get("awaits") or ())
        ):
            return False
        there = {
            key: worker.zone
            for worker in world.workers.values()
            for key, task in worker.tasks.items()
            if task.state != "ended"
        }
        pending = [
            index
            for index in range(spec["pieces"])
            if f"{name}/{index}" not in there and f"{name}/{index}" not in world.completed
        ]
        gang = spec["shape"] == "group"
        if not pending or (gang and len(pending) < spec["pieces"]):
            return False  # the remaining tasks of a gang must end first
        needed = len(pending) if gang else 1
        if not self._under_limit(spec, needed):
            return False
        zones = {}
        for key, zone in there.items():
            if key.partition("/")[0] == name:
                zones[zone] = zones.get(zone, 0) + 1
        room = {}
        for worker in world.workers.values():
            if self._fits(worker, spec):
                room[worker.zone] = room.get(worker.zone, 0) + int(min(world.free_slots(worker, spec), needed))
        if spec["spread"]:
            room = {zone: min(count, (spec["pieces"] + 1) // 2 - zones.get(zone, 0)) for zone, count in room.items()}
        if spec["samePlace"]:
            return any(count >= needed for zone, count in room.items() if not zones or zone in zones)
        return sum(room.values()) >= needed

    def _fits(self, worker, spec):
        world = self.world
        return (
            world.now >= max(worker.hung_until, worker.sick_until)
            and worker.notice is None
            and world.now - worker.began > world.lease_s  # not one that has only just started
            and (spec["hulls"] is None or worker.kind in spec["hulls"])
            and spec["harbor"] in (None, worker.zone)
            and (spec["driftwood"] or not worker.spot)
        )

    def _under_limit(self, spec, tasks):
        world = self.world
        used = [0.0, 0.0]
        for worker in world.workers.values():
            for key, task in worker.tasks.items():
                other = world.jobs[key.partition("/")[0]]
                if task.state != "ended" and other["crew"] == spec["crew"]:
                    used[0] += other["vcpus"]
                    used[1] += other["accelerators"]
        limit = next(team for team in world.teams if team["name"] == spec["crew"])
        return used[0] + tasks * spec["vcpus"] <= (limit.get("cpus_max") or 1e18) and used[1] + tasks * spec[
            "accelerators"
        ] <= (limit.get("gpus_max") or 1e18)
