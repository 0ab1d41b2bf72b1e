"""What each team and class had: sampled while a world runs, added up at its end."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from simulation.world import World

QUOTA = "tidebend/live/quota/"
# a team counts as at its limit from this share of it on: a task more may not fit
AT_LIMIT = 0.9


_Room = tuple[list[float], str, bool]  # what a machine has free, its zone, whether it is spot


@dataclass
class _Team:
    waiting: int = 0  # samples with work waiting
    below: int = 0  # of these: below its limit although there is room for it
    owed: int = 0  # of these: below its guarantee
    had: float = 0.0  # sum over samples with work waiting of the share of its limit, or of its guarantee, in use
    most: float = 0.0
    over: float = 0.0
    kept_by: Counter = field(default_factory=Counter)
    reached: list[float] = field(default_factory=list)  # from demand to limit or guarantee
    since: float | None = None


class Sampler:
    """Looks at the workers themselves, not at what the service thinks of them."""

    def __init__(self, world: World, every: int) -> None:
        self.world = world
        self.every = every
        self.teams: dict[str, _Team] = defaultdict(_Team)
        self.up: Counter = Counter()  # job -> samples in which its replicas ran, added up
        self.owed_up: Counter = Counter()  # job -> samples in which they should have
        self.first: dict[str, float] = {}  # job -> when its first task was started
        self.machine_s = 0.0

    def sample(self) -> None:
        if self.world.ticks % self.every:
            return
        world, placed = self.world, Counter()
        room: list[_Room] = []
        for worker in world.workers.values():
            kind = world.kinds[worker.kind]
            free = [kind["vcpus"], kind["accelerators"], kind["memoryGb"]]
            for key, task in worker.tasks.items():
                if task.state == "ended":
                    continue
                job = key.partition("/")[0]
                spec = world.jobs[job]
                placed[job] += 1
                if task.state == "running":
                    self.up[job] += 1
                    self.first.setdefault(job, world.now)
                free = [have - need for have, need in zip(free, _need(spec), strict=True)]
            if worker.notice is None and world.now >= worker.hung_until:
                room.append((free, worker.zone, worker.spot))
        self.machine_s += len(world.workers)
        used: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for job, count in placed.items():
            spec = world.jobs[job]
            used[spec["crew"]][0] += count * spec["vcpus"]
            used[spec["crew"]][1] += count * spec["accelerators"]
        waiting: dict[str, list[str]] = defaultdict(list)
        for job in world.polls:
            status = world.answers[job][1]
            if status in ("done", "withdrawn"):
                continue
            spec = world.jobs[job]
            if spec["shape"] == "service":
                self.owed_up[job] += spec["pieces"]
            left = spec["pieces"] - placed[job] - world.done_tasks.get(job, 0)
            if left > 0:
                waiting[spec["crew"]].append(job)
        for team in world.teams:
            self._team(team, used[team["name"]], waiting[team["name"]], room)

    def _team(self, team: dict, used: list[float], waiting: list[str], room: list[_Room]) -> None:
        world, row, limit = self.world, self.teams[team["name"]], team["cpus_max"] or 0.0
        row.most = max(row.most, used[0])
        if limit:
            row.over = max(row.over, used[0] - limit)
        goal = limit or team["cpus"]
        if not waiting or not goal:
            row.since = None
            return
        row.waiting += 1
        row.had += min(1.0, used[0] / goal)
        row.owed += used[0] < AT_LIMIT * team["cpus"]
        if row.since is None:
            row.since = world.now
        if used[0] >= AT_LIMIT * goal and row.since > 0:
            row.reached.append(world.now - row.since)
            row.since = 0.0  # counted once for each time that its work waits
        why = min((self._why(team, used, world.jobs[job], room) for job in waiting[:8]), default="")
        row.kept_by[why.partition(" ")[2]] += 1
        row.below += why.startswith(("1", "2")) and used[0] < AT_LIMIT * goal

    def _why(self, team: dict, used: list[float], spec: dict, room: list[_Room]) -> str:
        """What keeps a job's next task, the service's own doing first."""
        need = _need(spec)
        limits = (team["cpus_max"] or 1e18, team["gpus_max"] or 1e18)
        if used[0] + need[0] > limits[0] + 1e-6 or used[1] + need[1] > limits[1] + 1e-6:
            return "4 its limit"
        fitting: Counter = Counter()
        begun = {
            worker.zone
            for worker in self.world.workers.values()
            if spec["samePlace"]
            for key, task in worker.tasks.items()
            if task.state != "ended" and key.partition("/")[0] == spec["id"]
        }
        for free, zone, spot in room:
            if (spec["driftwood"] or not spot) and begun <= {zone}:
                fitting[zone] += int(min((f + 1e-6) // n for n, f in zip(need, free, strict=True) if n > 0))
        # a gang starts whole
        least = spec["pieces"] if spec["shape"] == "group" else 1
        if not spec["samePlace"] and sum(fitting.values()) < least:
            return "3 no room"
        zones = {zone for zone, fits in fitting.items() if fits >= (least if spec["samePlace"] else 1)}
        if not zones:
            return "3 no room"
        if used[0] + least * need[0] > limits[0] + 1e-6:
            return "4 its limit"
        shares = self.world.state.items.get(QUOTA + team["name"])
        if shares is not None and limits[0] < 1e18:
            left = limits[0] - sum(row[0] for row in shares[0].values())
            if left + 1e-6 < need[0] and not any(
                self._spare(team["name"], zone, shares[0]) + left + 1e-6 >= need[0] for zone in zones
            ):
                return "1 shares elsewhere"
        if self._recorded(team["name"]) + least * need[0] > limits[0] + 1e-6:
            return "2 ends that aren't recorded"
        return "2 turns and pauses"

    def _recorded(self, team: str) -> float:
        """CPUs that a team's recorded claims take, as the controller with the newest reading knows them."""
        newest = max(
            (controller for controller in self.world.controllers.values() if controller is not None),
            key=lambda controller: controller.cache._revision,
            default=None,
        )
        return newest.job_cache.used(team)[0] if newest is not None else 0.0

    def _spare(self, team: str, zone: str, shares: dict) -> float:
        world = self.world
        used = sum(
            world.jobs[key.partition("/")[0]]["vcpus"]
            for worker in world.workers.values()
            if worker.zone == zone
            for key, task in worker.tasks.items()
            if task.state != "ended" and world.jobs[key.partition("/")[0]]["crew"] == team
        )
        return shares.get(zone, [0.0])[0] - used


def _need(spec: dict) -> tuple[float, float, float]:
    return spec["vcpus"], spec["accelerators"], spec["memoryGb"]


def _served(world: World, sampler: Sampler, jobs: list[str]) -> float | None:
    """Of services the share of replica time, of others the share of tasks done; None without a job."""
    shares, weights = [], []
    for job in jobs:
        spec = world.jobs[job]
        if spec["shape"] == "service":
            owed = sampler.owed_up[job]
            if owed:
                shares.append(min(1.0, sampler.up[job] / owed))
                weights.append(owed * spec["vcpus"])
        else:
            shares.append(world.done_tasks.get(job, 0) / spec["pieces"])
            weights.append(spec["pieces"] * spec["vcpus"] * spec["run_s"])
    return statistics.fmean(shares, weights) if shares else None


def report(world: World, sampler: Sampler) -> dict:
    # what came in the last eighth, or later than it takes to run, says little about who is served
    asked = {row[3]: row[0] for row in world.log if row[1] == "asked" and row[2] == "submit"}
    begin = min(asked.values(), default=world.now)
    jobs = [
        job
        for job, at in asked.items()
        if at + 2.0 * world.jobs[job]["run_s"] < world.now - 0.125 * (world.now - begin)
    ]
    by_team, by_class = defaultdict(list), defaultdict(list)
    for job in jobs:
        by_team[world.jobs[job]["crew"]].append(job)
        by_class[world.jobs[job]["tier"]].append(job)
    teams = {}
    for team in world.teams:
        row = sampler.teams[team["name"]]
        share = 1.0 / max(1, row.waiting)
        teams[team["name"]] = {
            "served": _served(world, sampler, by_team[team["name"]]),
            "limit": team["cpus_max"],
            "guaranteed": team["cpus"],
            "most": row.most,
            "overshoot": row.over,
            "waiting_s": row.waiting,
            "had": row.had * share if row.waiting else None,
            "stranded": row.below * share,
            "below_guarantee": row.owed * share,
            "to_limit_s": statistics.median(row.reached) if row.reached else None,
            "kept_by": dict(row.kept_by),
        }
    classes = {}
    for label, names in by_class.items():
        waits = sorted(sampler.first[job] - asked[job] for job in names if job in sampler.first)
        due = [job for job in names if world.jobs[job]["dueS"]]
        met = [
            job
            for job in due
            if world.done_tasks.get(job, 0) == world.jobs[job]["pieces"]
            and world.last_done[job] <= asked[job] + world.jobs[job]["dueS"]
        ]
        classes[label] = {
            "served": _served(world, sampler, names),
            "jobs": len(names),
            "started": len(waits),
            "wait_p50_s": waits[len(waits) // 2] if waits else None,
            "wait_p90_s": waits[int(0.9 * len(waits))] if waits else None,
            "by_deadline": len(met) / len(due) if due else None,
            "stops": sum(world.stops[job] for job in names),
            "lost_cpu_s": sum(world.lost[job] * world.jobs[job]["vcpus"] for job in names),
        }
    counts, starts = world.state.counts, sum(world.starts.values())
    return {
        "teams": teams,
        "classes": classes,
        "least_served_team": _least(teams),
        "least_served_class": _least(classes),
        "overshoot": max((row["overshoot"] for row in teams.values()), default=0.0),
        **{part: _mean(teams, part) for part in ("stranded", "below_guarantee", "had")},
        "kept_by": dict(sum((row.kept_by for row in sampler.teams.values()), Counter())),
        "starts": starts,
        "stops": sum(world.stops.values()),
        "lost_cpu_s": sum(lost * world.jobs[job]["vcpus"] for job, lost in world.lost.items()),
        "machine_s": sampler.machine_s,
        "state": dict(counts),
        "changes_per_start": counts["changes"] / max(1, starts),
        "conflicts_per_start": counts["conflicts"] / max(1, starts),
    }


def _mean(teams: dict[str, dict], part: str) -> float | None:
    """Over the time in which teams had work waiting."""
    rows = [row for row in teams.values() if row["waiting_s"]]
    return statistics.fmean([row[part] for row in rows], [row["waiting_s"] for row in rows]) if rows else None


def _least(rows: dict[str, dict]) -> dict | None:
    served = {name: row["served"] for name, row in rows.items() if row["served"] is not None}
    name = min(served, key=served.get, default=None)
    return None if name is None else {"name": name, "served": served[name]}
