"""Service level and resource use of each team and job class, sampled while a simulated world runs."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from simulation.world import World

QUOTA = "tidebend/live/quota/"
# Share of its limit from which a team counts as at the limit, since one more task may not fit.
AT_LIMIT = 0.9


_Room = tuple[list[float], str, bool]  # a machine's free resources, its zone, whether it is a spot machine


@dataclass
class _Team:
    waiting: int = 0  # samples with work waiting
    stranded: int = 0  # of these: below its limit although there is room for more
    below_guarantee: int = 0  # of these: below its guarantee
    share_sum: float = 0.0  # sum over samples with work waiting of the used share of its limit, or of its guarantee
    peak_cpus: float = 0.0
    overshoot: float = 0.0  # CPUs above its limit, maximum
    blocked_by: Counter = field(default_factory=Counter)
    ramp_up_s: list[float] = field(default_factory=list)  # times from demand to limit or guarantee
    waiting_since: float | None = None


class Sampler:
    """Sampler of the workers' actual state, as opposed to the controllers' view of it."""

    def __init__(self, world: World, every: int) -> None:
        self.world = world
        self.every = every
        self.teams: dict[str, _Team] = defaultdict(_Team)
        self.running_samples: Counter = Counter()  # job -> sum over samples of its running replicas
        self.wanted_samples: Counter = Counter()  # job -> sum over samples of its requested replicas
        self.first_start: dict[str, float] = {}  # job -> time at which its first task was running
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
                    self.running_samples[job] += 1
                    self.first_start.setdefault(job, world.now)
                free = [have - need for have, need in zip(free, _demand(spec), strict=True)]
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
                self.wanted_samples[job] += spec["pieces"]
            left = spec["pieces"] - placed[job] - world.done_tasks.get(job, 0)
            if left > 0:
                waiting[spec["crew"]].append(job)
        for team in world.teams:
            self._team(team, used[team["name"]], waiting[team["name"]], room)

    def _team(self, team: dict, used: list[float], waiting: list[str], room: list[_Room]) -> None:
        world, row, limit = self.world, self.teams[team["name"]], team["cpus_max"] or 0.0
        row.peak_cpus = max(row.peak_cpus, used[0])
        if limit:
            row.overshoot = max(row.overshoot, used[0] - limit)
        target_cpus = limit or team["cpus"]
        if not waiting or not target_cpus:
            row.waiting_since = None
            return
        row.waiting += 1
        row.share_sum += min(1.0, used[0] / target_cpus)
        row.below_guarantee += used[0] < AT_LIMIT * team["cpus"]
        if row.waiting_since is None:
            row.waiting_since = world.now
        if used[0] >= AT_LIMIT * target_cpus and row.waiting_since > 0:
            row.ramp_up_s.append(world.now - row.waiting_since)
            row.waiting_since = 0.0  # count each waiting period once
        why = min((self._blocking_reason(team, used, world.jobs[job], room) for job in waiting[:8]), default="")
        row.blocked_by[why.partition(" ")[2]] += 1
        row.stranded += why.startswith(("1", "2")) and used[0] < AT_LIMIT * target_cpus

    def _blocking_reason(self, team: dict, used: list[float], spec: dict, room: list[_Room]) -> str:
        """Return what blocks a job's next task; smaller numbers are causes within the scheduler."""
        need = _demand(spec)
        limits = (team["cpus_max"] or 1e18, team["gpus_max"] or 1e18)
        if used[0] + need[0] > limits[0] + 1e-6 or used[1] + need[1] > limits[1] + 1e-6:
            return "4 its limit"
        fitting: Counter = Counter()
        gang_zones = {
            worker.zone
            for worker in self.world.workers.values()
            if spec["samePlace"]
            for key, task in worker.tasks.items()
            if task.state != "ended" and key.partition("/")[0] == spec["id"]
        }
        for free, zone, spot in room:
            if (spec["driftwood"] or not spot) and gang_zones <= {zone}:
                fitting[zone] += int(min((f + 1e-6) // n for n, f in zip(need, free, strict=True) if n > 0))
        # All tasks of a gang start together.
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
                self._unused_quota(team["name"], zone, shares[0]) + left + 1e-6 >= need[0] for zone in zones
            ):
                return "1 shares elsewhere"
        if self._recorded_cpus(team["name"]) + least * need[0] > limits[0] + 1e-6:
            return "2 ends that aren't recorded"
        return "2 turns and pauses"

    def _recorded_cpus(self, team: str) -> float:
        """Return the CPUs of a team's recorded allocations, as known to the controller with the newest revision."""
        newest = max(
            (controller for controller in self.world.controllers.values() if controller is not None),
            key=lambda controller: controller.cache._revision,
            default=None,
        )
        return newest.job_cache.used(team)[0] if newest is not None else 0.0

    def _unused_quota(self, team: str, zone: str, shares: dict) -> float:
        world = self.world
        used = sum(
            world.jobs[key.partition("/")[0]]["vcpus"]
            for worker in world.workers.values()
            if worker.zone == zone
            for key, task in worker.tasks.items()
            if task.state != "ended" and world.jobs[key.partition("/")[0]]["crew"] == team
        )
        return shares.get(zone, [0.0])[0] - used


def _demand(spec: dict) -> tuple[float, float, float]:
    return spec["vcpus"], spec["accelerators"], spec["memoryGb"]


def _served(world: World, sampler: Sampler, jobs: list[str]) -> float | None:
    """Return the served share, weighted by CPUs: replica time for services, completed tasks otherwise.

    None if there is no job.
    """
    shares, weights = [], []
    for job in jobs:
        spec = world.jobs[job]
        if spec["shape"] == "service":
            wanted = sampler.wanted_samples[job]
            if wanted:
                shares.append(min(1.0, sampler.running_samples[job] / wanted))
                weights.append(wanted * spec["vcpus"])
        else:
            shares.append(world.done_tasks.get(job, 0) / spec["pieces"])
            weights.append(spec["pieces"] * spec["vcpus"] * spec["run_s"])
    return statistics.fmean(shares, weights) if shares else None


def report(world: World, sampler: Sampler) -> dict:
    # Leave out jobs submitted in the last eighth, or less than twice their run time before the end: they may be
    # unfinished only because the world ended.
    submitted_at = {row[3]: row[0] for row in world.log if row[1] == "asked" and row[2] == "submit"}
    begin = min(submitted_at.values(), default=world.now)
    jobs = [
        job
        for job, at in submitted_at.items()
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
            "most": row.peak_cpus,
            "overshoot": row.overshoot,
            "waiting_s": row.waiting,
            "had": row.share_sum * share if row.waiting else None,
            "stranded": row.stranded * share,
            "below_guarantee": row.below_guarantee * share,
            "to_limit_s": statistics.median(row.ramp_up_s) if row.ramp_up_s else None,
            "kept_by": dict(row.blocked_by),
        }
    classes = {}
    for label, names in by_class.items():
        waits = sorted(sampler.first_start[job] - submitted_at[job] for job in names if job in sampler.first_start)
        due = [job for job in names if world.jobs[job]["dueS"]]
        met = [
            job
            for job in due
            if world.done_tasks.get(job, 0) == world.jobs[job]["pieces"]
            and world.last_done[job] <= submitted_at[job] + world.jobs[job]["dueS"]
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
    store_counts, starts = world.state.counts, sum(world.starts.values())
    return {
        "teams": teams,
        "classes": classes,
        "least_served_team": _least_served(teams),
        "least_served_class": _least_served(classes),
        "overshoot": max((row["overshoot"] for row in teams.values()), default=0.0),
        **{field_name: _weighted_mean(teams, field_name) for field_name in ("stranded", "below_guarantee", "had")},
        "kept_by": dict(sum((row.blocked_by for row in sampler.teams.values()), Counter())),
        "starts": starts,
        "stops": sum(world.stops.values()),
        "lost_cpu_s": sum(lost * world.jobs[job]["vcpus"] for job, lost in world.lost.items()),
        "machine_s": sampler.machine_s,
        "state": dict(store_counts),
        "changes_per_start": store_counts["changes"] / max(1, starts),
        "conflicts_per_start": store_counts["conflicts"] / max(1, starts),
    }


def _weighted_mean(teams: dict[str, dict], field_name: str) -> float | None:
    """Return the mean over teams, weighted by the time in which they had work waiting."""
    rows = [row for row in teams.values() if row["waiting_s"]]
    return statistics.fmean([row[field_name] for row in rows], [row["waiting_s"] for row in rows]) if rows else None


def _least_served(rows: dict[str, dict]) -> dict | None:
    served = {name: row["served"] for name, row in rows.items() if row["served"] is not None}
    name = min(served, key=served.get, default=None)
    return None if name is None else {"name": name, "served": served[name]}
