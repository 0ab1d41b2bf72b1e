"""Randomised search for combinations of troubles that break a rule on a small simulated cluster.

A trouble is an injected failure, such as a crash or a network partition. Each seed gives one simulated world with jobs
and two or three troubles at random times, followed by a period without troubles, in which every controller must know
each accepted job and jobs have time to complete. Bugs can be planted to check that the search finds them.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from simulation.attribution import attribute
from simulation.checker import StarvationDetector, all_found_breaches, contradicted, starts_after_cancellation
from simulation.planted_faults import FAULTS
from simulation.troubles import JOB, REPEAT_COMBINATIONS, TROUBLE_COMBINATIONS, TROUBLES
from simulation.versions import Version, version_at
from simulation.world import World

ZONES = ("north", "south", "west")
TEAM = {"name": "team", "cpus": 24.0, "cpus_max": 40.0, "gpus": 0.0, "gpus_max": 0.0}
BOX = {
    "name": "box",
    "vcpus": 8.0,
    "accelerators": 0.0,
    "memoryGb": 32.0,
    "localGb": 50.0,
    "fetchGbPerS": 1.0,
    "price": 1.0,
    "spotPrice": 0.4,
    "startupS": 8.0,
    "harbors": list(ZONES),
}
# (report_s, lease_s, cancel_s), in the ratios used by deployments
TIMES = ((1.0, 10.0, 35.0), (3.0, 14.0, 39.0), (2.5, 15.25, 40.25))
CALM_S = 150.0  # simulated time without troubles at the end
REPEATS_SHARE = 0.2  # share of the worlds with one of `REPEAT_COMBINATIONS`


def _draw_combination(seed: int, rng: random.Random) -> list[str]:
    """Return the troubles of a seed's world."""
    drawn = list(rng.choice(TROUBLE_COMBINATIONS) if rng.random() < 0.5 else rng.sample(sorted(TROUBLES), 2))
    repeats_rng = random.Random(seed + 4)  # separate, so that the other worlds stay as they are
    return list(repeats_rng.choice(REPEAT_COMBINATIONS)) if repeats_rng.random() < REPEATS_SHARE else drawn


def _random_jobs(rng: random.Random) -> list[tuple[float, dict]]:
    """Return (seconds from the start, job) of all kinds; some depend on others, some fail on every machine."""
    jobs = []
    times = sorted(rng.uniform(0.0, 45.0) for _ in range(rng.randint(1, 4)))
    for when in [0.0] * 4 + times:
        kind = rng.choice(("array", "array", "ends far apart", "gang", "service", "waits"))
        job = {
            **JOB,
            "shape": "sweep",
            "cargo": f"img-{rng.randrange(3)}",
            "pieces": rng.randint(1, 6),
            "run_s": rng.choice((4.0, 12.0, 40.0, 60.0)),
        }
        if kind == "ends far apart":
            job.update(pieces=rng.randint(2, 3), run_s=60.0)
        elif kind == "gang":
            job.update(shape="group", pieces=2, samePlace=rng.random() < 0.5, markS=5.0, stowS=2.0, driftwood=False)
        elif kind == "service":
            job.update(
                shape="service",
                rank="critical",
                pieces=rng.randint(1, 3),
                driftwood=False,
                dueS=None,
                spread=rng.random() < 0.5,
            )
        elif kind == "waits" and jobs:
            others = [name for name, earlier in enumerate(jobs) if earlier[1]["shape"] != "service"]
            job["awaits"] = [f"req-{name}" for name in others[-1:]]
        if rng.random() < 0.08:
            job["fails_s"] = 1.0
        job["reckonS"] = 0.0 if kind == "service" else job["run_s"] * rng.uniform(0.6, 1.5)
        jobs.append((when, job))
    return jobs


def _can_complete(name: str, jobs: dict) -> bool:
    """Return whether a job can complete successfully."""
    job = jobs[name]
    return (
        job["shape"] != "service"
        and "fails_s" not in job
        and all(_can_complete(other, jobs) for other in job.get("awaits", ()))
    )


def _random_upgrades(rng: random.Random, nodes: list[str]) -> list[tuple[float, str, float]]:
    """Return (seconds from the start, controller, downtime in seconds) of a rolling upgrade in random order."""
    order = rng.sample(nodes, len(nodes))
    at = rng.uniform(3.0, 12.0)
    upgrades = []
    for node in order:
        upgrades.append((at, node, rng.choice((0.2, 1.0, 4.0))))
        at += rng.uniform(4.0, 25.0)
    return upgrades


def _random_short_jobs(rng: random.Random) -> list[tuple[float, dict]]:
    """Return one short job per second, so that jobs complete throughout an upgrade."""
    jobs = []
    for number in range(60):
        job = {**JOB, "shape": rng.choice(("sweep", "sweep", "group")), "cargo": "img-0", "vcpus": 1.0}
        job.update(pieces=rng.randint(1, 3), run_s=rng.choice((2.0, 4.0, 7.0)))
        job["reckonS"] = job["run_s"]
        jobs.append((1.0 * number, job))
    return jobs


def play(seed: int, combination: tuple[str, ...] = (), former: Version | None = None) -> dict:
    """Run one seed's world and return its troubles with their times, the broken rules and the unfinished jobs.

    For each broken rule, `by_current` says whether a process of the current version sent, answered or recorded what
    broke it, and `involved` which processes did; see `simulation.attribution`.

    `combination`: the troubles to inject; random if empty. `former`: the version that the controllers start with; they
    are upgraded during the troubles while many jobs are cancelled as they end, and no job depends on another.
    """
    random.seed(seed)  # used by the controllers
    rng = random.Random(seed)
    report_s, lease_s, cancel_s = rng.choice(TIMES)
    team = {**TEAM, "cpus_max": random.Random(seed + 1).choice((40.0, 24.0))}  # with 24, jobs often wait for quota
    world = World(seed, list(ZONES), [team], [dict(BOX)], lease_s=lease_s, report_s=report_s, cancel_s=cancel_s)
    upgrades = _random_upgrades(random.Random(seed + 2), world.nodes) if former else []
    if former:
        world.versions.update(dict.fromkeys(world.nodes, former))
    for zone in ZONES:
        world.cloud.capacity["box", zone, False] = world.cloud.capacity["box", zone, True] = 3
        for number in range(2):
            world.cloud.add("box", zone, number == 1, -50.0)
    begin = world.now
    jobs = [(at, f"req-{number}", job) for number, (at, job) in enumerate(_random_jobs(rng))]
    if former:
        jobs = [row for row in jobs if "awaits" not in row[2]]
        short = _random_short_jobs(random.Random(seed + 3))
        jobs += [(at, f"req-short-{number}", job) for number, (at, job) in enumerate(short)]
        jobs.sort(key=lambda row: row[0])
        world.cancelled_at_end.append((begin + 80.0, 0.7))
    first = begin + rng.uniform(15.0, 30.0)
    trouble_times = [first]
    for _ in range(rng.randint(1, 2)):
        trouble_times.append(
            trouble_times[-1] + rng.choice((1.0, 0.5 * lease_s, 2.0 * lease_s)) * rng.uniform(0.05, 1.0)
        )
    drawn_names = _draw_combination(seed, rng)
    trouble_names = list(combination) or drawn_names
    trouble_names += rng.sample(sorted(TROUBLES), max(0, len(trouble_times) - len(trouble_names)))
    trouble_times += [trouble_times[-1] + rng.uniform(0.05, 0.5) * lease_s for _ in trouble_names[len(trouble_times) :]]
    cancels = sorted(
        (
            rng.uniform(trouble_times[0], trouble_times[1])
            if rng.random() < 0.7
            else rng.choice(trouble_times) + rng.uniform(-1.0, 1.0) * lease_s,
            name,
        )
        for _, name, _ in jobs
        if rng.random() < 0.6
    )
    events, troubles_end, starvation = [], first, StarvationDetector(world)
    with world.clock():
        while world.now < troubles_end + CALM_S or trouble_times or upgrades:
            while jobs and begin + jobs[0][0] <= world.now:
                _, name, job = jobs.pop(0)
                world.submit(name, **job)
            while cancels and cancels[0][0] <= world.now:
                _, name = cancels.pop(0)
                if world.answers.get(name, (0,))[0] in (200, 201):
                    world.cancel(name)
            while upgrades and begin + upgrades[0][0] <= world.now:
                _, node, away_s = upgrades.pop(0)
                world.upgrade(node, away_s)
                troubles_end = max(troubles_end, world.now + away_s)
                events.append(f"{world.now - begin:.1f} upgrade {node} {away_s:.1f} s")
            while trouble_times and trouble_times[0] <= world.now:
                trouble_times.pop(0)
                name = trouble_names.pop(0)
                target, seconds = TROUBLES[name](world, rng)
                troubles_end = max(troubles_end, world.now + seconds)
                events.append(f"{world.now - begin:.1f} {name} {target} {seconds:.1f} s")
            world.step()
            if world.ticks % 10 == 0:
                starvation.check()
        breaches = attribute(world, all_found_breaches(world, starvation, troubles_end))
    accepted = {row[3] for row in world.log if row[1] == "told" and row[4] in (200, 201)}
    ended = {name for name, (_, state) in world.answers.items() if state in ("done", "withdrawn")}
    unfinished = [name for name in sorted(accepted) if name not in ended and _can_complete(name, world.jobs)]
    return {
        "seed": seed,
        "troubles": events,
        "breaches": [list(row.breach.row) for row in breaches],
        "by_current": [row.by_current for row in breaches],
        "involved": [[str(involvement) for involvement in row.involved] for row in breaches],
        "contradicted": sorted(contradicted(world.log)),
        "contradicted_new": sorted(contradicted(world.log, by_new_only=True)),
        "unfinished": unfinished,
        "asked": len(world.answers),
        "began": sum(world.starts.values()),
        "late_starts": [list(row) for row in starts_after_cancellation(world.log)],
    }


def play_with(fault: str, seed: int, combination: tuple[str, ...] = (), former_commit: str = "") -> dict:
    """Run a seed's world with a planted bug.

    `former_commit`: commit of the version that the controllers start with; raises VersionNotFoundError if it doesn't
    exist.
    """
    former = version_at(former_commit) if former_commit else None
    with FAULTS[fault]() if fault else contextlib.nullcontext():
        return play(seed, combination, former)


def search(seeds: range, fault: str = "", workers: int = 4, former_commit: str = "") -> Iterator[dict]:
    """Yield the result of each seed, in order."""
    with ProcessPoolExecutor(workers) as pool:
        yield from pool.map(partial(play_with, fault, former_commit=former_commit), seeds, chunksize=4)
