"""The rules, checked against the stand-ins' own log. Independent of the service's code."""

from __future__ import annotations

FINAL_STATES = ("done", "withdrawn")


def goes_back(final, said_at, state, began):
    """Whether an answer contradicts a final one, which stands at `said_at` in the log.

    An answer that isn't final may be older if its question was asked, at `began` in the log, before the final one.
    """
    return state != final and (said_at < began or state in FINAL_STATES)


def breaches(log, jobs, teams, cancel_s, completed_at=None):
    """Every rule broken, as (rule, time, text)."""
    found = []
    on = {}  # task -> {machine: (zone, since)}
    cancelled, first_asked, finals, accepted = {}, {}, {}, {}
    usage = {team["name"]: [0.0, 0.0] for team in teams}
    limits = {team["name"]: (team.get("cpus_max") or 1e18, team.get("gpus_max") or 1e18) for team in teams}
    late = set()
    orphans = set()
    by_job = {}  # job -> zone -> its tasks' places there
    overdue = []  # (when, job): cancelled jobs whose tasks must be gone by then, in order

    def before(job):
        """All jobs that a job needs, directly or through others."""
        found, left = set(), [job]
        while left:
            for other in jobs.get(left.pop(), {}).get("awaits") or ():
                if other not in found:
                    found.add(other)
                    left.append(other)
        return found

    def check_late(now):
        while overdue and now > overdue[0][0]:
            _, job = overdue.pop(0)
            if any(by_job.get(job, {}).values()) and job not in late:
                late.add(job)
                found.append(("ran_cancelled", now, f"tasks of {job} are still on machines"))

    unfit = {}  # jobs that must be refused -> with which status
    ended_at = {}  # job -> where in the log its final state was first told
    accepted_at = {}

    for place, row in enumerate(log):
        now, what = row[0], row[1]
        check_late(now)
        if what == "on":
            _, _, task, _, machine, zone, kind, spot = row
            job = task.partition("/")[0]
            spec = jobs[job]
            if on.get(task):
                found.append(("ran_twice", now, f"{task} on {sorted(on[task])} and {machine}"))
            if job in cancelled and now > cancelled[job] + cancel_s:
                found.append(("ran_cancelled", now, f"{task} starts"))
            zones = by_job.setdefault(job, {})
            zones[zone] = zones.get(zone, 0) + 1
            wrong = (
                (spec["hulls"] is not None and kind not in spec["hulls"])
                or (spec["harbor"] is not None and zone != spec["harbor"])
                or (spot and not spec["driftwood"])
                or (spec["samePlace"] and sum(1 for count in zones.values() if count) > 1)
                or (spec["spread"] and zones[zone] > (spec["pieces"] + 1) // 2)
            )
            if wrong:
                found.append(("wrong_place", now, f"{task} on {machine} ({kind}, {zone}, spot {spot})"))
            for other in spec.get("awaits") or ():
                missing = [
                    n for n in range(jobs[other]["pieces"]) if (completed_at or {}).get(f"{other}/{n}", 1e18) > now
                ]
                if missing:
                    found.append(("too_early", now, f"{task} starts, and {other} lacks {missing[:3]}"))
            on.setdefault(task, {})[machine] = zone
            used = usage[spec["crew"]]
            used[0] += spec["vcpus"]
            used[1] += spec["accelerators"]
            if used[0] > limits[spec["crew"]][0] + 1e-6 or used[1] > limits[spec["crew"]][1] + 1e-6:
                found.append(("quota", now, f"{spec['crew']} uses {used}"))
        elif what == "off":
            _, _, task, _, machine, *_ = row
            zone = on.get(task, {}).pop(machine, None)
            if zone is not None:
                by_job[task.partition("/")[0]][zone] -= 1
                spec = jobs[task.partition("/")[0]]
                usage[spec["crew"]][0] -= spec["vcpus"]
                usage[spec["crew"]][1] -= spec["accelerators"]
        elif what == "asked":
            first_asked.setdefault((row[2], row[3]), now)
            if row[2] == "submit" and "refused" in (row[4] or ()):
                unfit[row[3]] = row[4]["refused"]
        elif what == "told":
            _, _, action, job, status, state = row[:6]
            # Where in the log the question began: nobody need know what was told while it was under way.
            began = row[6] if len(row) > 6 else place
            if job in unfit and action == "submit" and status in (200, 201):
                found.append(("accepted_unfit", now, f"{job}: {status}, not {unfit[job]}"))
            if status in (200, 201) and ("submit", job) not in first_asked:
                found.append(("invented", now, f"{job} was never submitted"))
            refused = status == 404 or (action == "submit" and status in (400, 422))
            if refused and job in accepted and accepted_at[job] < began:
                found.append(("forgotten", now, f"{job}: {status}"))
            if status in (200, 201):
                accepted.setdefault(job, now)
                accepted_at.setdefault(job, place)
                if job in finals and goes_back(finals[job], ended_at[job], state, began):
                    found.append(("went_back", now, f"{job}: {finals[job]}, then {state}"))
                if state == "withdrawn":
                    if not any(("cancel", other) in first_asked for other in {job, *before(job)}):
                        found.append(("went_back", now, f"{job} is cancelled, by nobody"))
                    if job not in cancelled:
                        cancelled[job] = now
                        overdue.append((now + cancel_s, job))
                if (
                    state in ("queued", "running")
                    and job not in orphans
                    and any(now > cancelled.get(other, 1e18) + cancel_s for other in before(job))
                ):
                    orphans.add(job)
                    found.append(("orphaned", now, f"{job} is still called {state}"))
                if state == "done" and job in jobs and completed_at is not None:
                    missing = [n for n in range(jobs[job]["pieces"]) if completed_at.get(f"{job}/{n}", 1e18) > now]
                    if missing:
                        found.append(("not_done", now, f"{job} lacks {missing[:3]}"))
                if state in FINAL_STATES:
                    finals.setdefault(job, state)
                    ended_at.setdefault(job, place)
    if not any(row[1] == "on" for row in log):
        found.append(("nothing_ran", log[-1][0] if log else 0.0, "no task was started"))
    return found


def contradicted(log, by_new_only=False):
    """Jobs that a controller called done or cancelled, and that any called something else when asked later.

    `by_new_only`: what controllers of former versions said doesn't count as said, but still as something else.
    """
    found, final, said_at = set(), {}, {}
    for place, row in enumerate(log):
        if row[1] != "told" or row[4] not in (200, 201):
            continue
        job, state, began, is_new = row[3], row[5], row[6], row[8]
        if job in final and goes_back(final[job], said_at[job], state, began):
            found.add(job)
        if state in FINAL_STATES and (is_new or not by_new_only):
            final.setdefault(job, state)
            said_at.setdefault(job, place)
    return found


def forgotten(log, calm_from, bound_s=75.0):
    """Accepted jobs about which no question was answered for too long once all troubles were over."""
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
    """Every rule and check that a world breaks; each controller is asked about each accepted job once more.

    `over_at`: when its troubles were over, else when `beside` last saw any.
    """
    accepted = sorted({row[3] for row in world.log if row[1] == "told" and row[4] in (200, 201)})
    unknown = [
        ("forgotten", world.now, f"{name}: {node} answers {status} after the calm")
        for name in accepted
        for node in world.nodes
        if (status := world.user("poll", name, node)[0]) != 200
    ]
    found = breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)
    return (
        found
        + forgotten(world.log, starvation.calm_from if over_at is None else over_at)
        + unknown
        + starvation.breaches
    )


def starts_after_cancellation(log):
    """Tasks that begin after their job's user was told that it is cancelled, as (task, seconds later)."""
    told, found = {}, []
    for row in log:
        if row[1] == "told" and row[5] == "withdrawn":
            told.setdefault(row[3], row[0])
        elif row[1] == "on" and row[2].partition("/")[0] in told:
            found.append((row[2], row[0] - told[row[2].partition("/")[0]]))
    return found


class StarvationDetector:
    """Jobs that wait although nothing is amiss, machines that fit have room and their team is under its limit.

    Judged from the workers and the cloud themselves; `look` is to be called about once a second.
    """

    def __init__(self, world, bound_s=90.0):
        self.world, self.bound_s = world, bound_s
        self.since, self.found = {}, {}
        self.calm_from = world.now

    def check(self):
        world = self.world
        if world.troubled():
            self.calm_from = world.now
            waiting = set()
        else:
            waiting = {name for name in world.polls if self._waits_beside_room(name)}
        self.since = {name: self.since.get(name, world.now) for name in waiting}
        for name, since in self.since.items():
            if world.now - since > self.bound_s:
                self.found.setdefault(name, ("beside_room", world.now, f"{name} waits for {self.bound_s:.0f} s"))

    @property
    def breaches(self):
        return list(self.found.values())

    def _waits_beside_room(self, name):
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
            return False  # the rest of a gang ends first
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
                room[worker.zone] = room.get(worker.zone, 0) + int(min(world.room(worker, spec), needed))
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
            and world.now - worker.began > world.lease_s  # it has just come up
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
