"""Plays an experiment: builds its world, submits its jobs, sets its troubles off, and reports."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from simulation.checker import breaches
from simulation.experiment import Experiment, Jobs, Trouble
from simulation.links import Cut
from simulation.report import Sampler, report
from simulation.versions import Version, current
from simulation.world import TICK, World
from tidebend.protocol import KIND_BY_WIRE_NAME, PRIORITY_BY_WIRE_NAME

_SHAPES = {ours: theirs for theirs, ours in KIND_BY_WIRE_NAME.items()}
_RANKS = {ours: theirs for theirs, ours in PRIORITY_BY_WIRE_NAME.items()}


def _arrivals(experiment: Experiment, chance: random.Random) -> list[tuple[float, str, dict]]:
    """(seconds from the beginning, class, job) in their order."""
    found = []
    for label, jobs in experiment.jobs.items():
        teams = [name for team in jobs.teams for name in experiment.team_names(team)]
        times = [0.5] * jobs.at_start
        at = jobs.begin_s
        while jobs.per_minute > 0:
            at += chance.expovariate(jobs.per_minute / 60.0)
            if at >= min(jobs.end_s, experiment.cluster.seconds):
                break
            times.append(at)
        found += [(when, label, _job(label, jobs, chance.choice(teams), chance)) for when in times]
    return sorted(found, key=lambda row: row[0])


def _job(label: str, jobs: Jobs, team: str, chance: random.Random) -> dict:
    run_s = 0.0 if jobs.kind == "service" else jobs.run_s * math.exp(chance.gauss(0.0, 0.3))
    estimate = run_s * math.exp(chance.gauss(0.0, jobs.wrong_by))
    return {
        "tier": label,
        "crew": team,
        "shape": _SHAPES[jobs.kind],
        "rank": _RANKS[jobs.priority],
        "pieces": chance.choice(jobs.tasks),
        "vcpus": jobs.cpus,
        "accelerators": jobs.gpus,
        "memoryGb": jobs.memory_gb,
        "cargo": f"{label}-{chance.randrange(jobs.images)}",
        "sizeGb": jobs.image_gb,
        "hulls": None,
        "harbor": None,
        "samePlace": jobs.one_zone,
        "spread": jobs.spread,
        "driftwood": jobs.spot,
        "reckonS": estimate,
        "markS": jobs.checkpoint_s,
        "stowS": jobs.save_s,
        "dueS": jobs.deadline_s or None,
        "run_s": run_s,
    }


def build(experiment: Experiment, seed: int, version: Version | None) -> World:
    cluster, chance = experiment.cluster, random.Random(seed)
    zones = [f"zone-{number}" for number in range(cluster.zones)]
    teams = [
        {
            "name": name,
            "cpus": team.guaranteed,
            "cpus_max": team.limit,
            "gpus": team.guaranteed_gpus,
            "gpus_max": team.limit_gpus,
        }
        for label, team in experiment.teams.items()
        for name in experiment.team_names(label)
    ]
    types = [
        {
            "name": name,
            "vcpus": kind.cpus,
            "accelerators": kind.gpus,
            "memoryGb": kind.memory_gb,
            "localGb": 50.0,
            "fetchGbPerS": kind.fetch_gb_per_s,
            "price": kind.price,
            "spotPrice": kind.spot_price,
            "startupS": kind.boot_s,
            "harbors": zones,
        }
        for name, kind in experiment.kinds.items()
    ]
    objectives = [
        {"kind": "deadline", "class": label, "share": 0.9, "times": 1.0}
        for label, jobs in experiment.jobs.items()
        if jobs.deadline_s
    ]
    world = World(
        seed,
        zones,
        teams,
        types,
        cluster.lease_s,
        cluster.report_s,
        cluster.cancel_s,
        cluster.list_lag_s,
        cluster.controllers,
        {
            "rps": experiment.state.rps,
            "write_rps": experiment.state.write_rps,
            "value_kb": experiment.state.value_kb,
            "txn_ops": experiment.state.txn_ops,
        },
        cluster.cloud_rps,
        objectives,
        polls=(5.0, 30.0),
    )
    if version is not None:
        world.versions.update(dict.fromkeys(world.nodes, version))
    for name, kind in experiment.kinds.items():
        for zone in zones:
            most = kind.most / len(zones)
            world.cloud.capacity[name, zone, True] = round(most * kind.spot)
            world.cloud.capacity[name, zone, False] = round(most * (1.0 - kind.spot))
        for number in range(kind.at_start):
            world.cloud.add(name, zones[number % len(zones)], chance.random() < kind.spot, -50.0)
    return world


def cut_zone(world: World, zone: str, seconds: float, hold: bool) -> None:
    """Nothing gets into a zone or out of it; inside it goes on."""
    until = world.now + seconds
    for node in world.nodes:
        if world.zone_of(node) != zone:
            world.cuts.append(Cut(node, zone, until, hold))
        else:
            sides = ["state", "cloud", "peers", "users", *(other for other in world.zones if other != zone)]
            world.cuts += [Cut(node, side, until, hold) for side in sides]


def act(world: World, trouble: Trouble, chance: random.Random, later: Callable[[float, Trouble], None]) -> None:
    nodes = world.nodes if trouble.node < 0 else [world.nodes[trouble.node]]
    until = world.now + trouble.seconds
    zone = world.zones[trouble.zone]
    if trouble.what == "crash":
        for node in nodes:
            world.crash(node, trouble.seconds)
    elif trouble.what == "freeze":
        world.frozen.update(dict.fromkeys(nodes, until))
    elif trouble.what == "cut":
        world.cuts += [Cut(node, trouble.side, until, trouble.hold) for node in nodes]
    elif trouble.what == "refuse":
        world.state.refuses.update(dict.fromkeys(nodes, until))
    elif trouble.what == "outage":
        world.state.down(until)
    elif trouble.what == "limits":
        world.state.limits["write_rps"] = trouble.share * world.limits["write_rps"]
        if trouble.seconds:
            later(until, Trouble(at=0.0, what="limits"))
    elif trouble.what == "machines":
        there = sorted(name for name, worker in world.workers.items() if worker.zone == zone)
        for name in chance.sample(there, round(trouble.share * len(there))):
            world.workers.pop(name).lose_all()
    elif trouble.what == "zone":
        cut_zone(world, zone, trouble.seconds, trouble.hold)
    else:  # a roll: one controller after the other, each away for `seconds`
        for number in range(len(world.nodes)):
            later(
                world.now + 2.5 * number * trouble.seconds,
                Trouble(at=0.0, what="crash", node=number, seconds=trouble.seconds),
            )


def play(
    experiment: Experiment,
    seed: int,
    version: Version | None = None,
    progress: Callable[[float], None] = lambda share: None,
) -> dict:
    """The report of one play; `version` None: the code at hand."""
    random.seed(seed)  # what the controllers draw
    chance = random.Random(seed + 1)
    world = build(experiment, seed, version or current())
    jobs = _arrivals(experiment, chance)
    troubles = sorted(((trouble.at, trouble) for trouble in experiment.troubles.values()), key=lambda row: row[0])
    sampler = Sampler(world, every=round(1.0 / TICK))
    begin, number = world.now, 0

    def later(when: float, trouble: Trouble) -> None:
        troubles.append((when - begin, trouble))
        troubles.sort(key=lambda row: row[0])

    with world.clock():
        while world.now < begin + experiment.cluster.seconds:
            now = world.now - begin
            while jobs and jobs[0][0] <= now:
                _, label, spec = jobs.pop(0)
                world.submit(f"req-{label}-{number:05}", **spec)
                number += 1
            while troubles and troubles[0][0] <= now:
                act(world, troubles.pop(0)[1], chance, later)
            world.step()
            sampler.sample()
            progress(now / experiment.cluster.seconds)
    made = report(world, sampler)
    made["breaches"] = [
        list(row) for row in breaches(world.log, world.jobs, world.teams, world.cancel_s, world.completed)
    ]
    return {"experiment": experiment.name, "seed": seed, **made}
