"""The rules, checked against the stand-ins' own log. Independent of the service's code."""

from __future__ import annotations


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

    for row in log:
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
            wrong = ((spec["hulls"] is not None and kind not in spec["hulls"])
                     or (spec["harbor"] is not None and zone != spec["harbor"])
                     or (spot and not spec["driftwood"])
                     or (spec["samePlace"] and sum(1 for count in zones.values() if count) > 1)
                     or (spec["spread"] and zones[zone] > (spec["pieces"] + 1) // 2))
            if wrong:
                found.append(("wrong_place", now, f"{task} on {machine} ({kind}, {zone}, spot {spot})"))
            for other in spec.get("awaits") or ():
                missing = [n for n in range(jobs[other]["pieces"])
                           if (completed_at or {}).get(f"{other}/{n}", 1e18) > now]
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
        elif what == "told":
            _, _, action, job, status, state = row
            if status in (200, 201) and ("submit", job) not in first_asked:
                found.append(("invented", now, f"{job} was never submitted"))
            if job in accepted and (status == 404 or action == "submit" and status in (400, 422)):
                found.append(("forgotten", now, f"{job}: {status}"))
            if status in (200, 201):
                accepted.setdefault(job, now)
                if job in finals and state != finals[job]:
                    found.append(("went_back", now, f"{job}: {finals[job]}, then {state}"))
                if state == "withdrawn":
                    if not any(("cancel", other) in first_asked for other in {job, *before(job)}):
                        found.append(("went_back", now, f"{job} is cancelled, by nobody"))
                    if job not in cancelled:
                        cancelled[job] = now
                        overdue.append((now + cancel_s, job))
                if state in ("queued", "running") and job not in orphans and any(
                        now > cancelled.get(other, 1e18) + cancel_s for other in before(job)):
                    orphans.add(job)
                    found.append(("orphaned", now, f"{job} is still called {state}"))
                if state == "done" and job in jobs and completed_at is not None:
                    missing = [n for n in range(jobs[job]["pieces"])
                               if completed_at.get(f"{job}/{n}", 1e18) > now]
                    if missing:
                        found.append(("not_done", now, f"{job} lacks {missing[:3]}"))
                if state in ("done", "withdrawn"):
                    finals.setdefault(job, state)
    if not any(row[1] == "on" for row in log):
        found.append(("nothing_ran", log[-1][0] if log else 0.0, "no task was started"))
    return found


def forgotten(log, calm_from, bound_s=75.0):
    """Accepted jobs about which no question was answered for too long once all troubles were over."""
    found, answered, told = [], {}, set()
    for row in log:
        if row[1] != "told":
            continue
        now, _, _, job, status, _ = row
        if status in (200, 201):
            answered[job] = now
        elif job in answered and job not in told and now - max(answered[job], calm_from) > bound_s:
            told.add(job)
            found.append(("forgotten", now, f"{job}: no answer for {now - max(answered[job], calm_from):.0f} s"))
    return found
