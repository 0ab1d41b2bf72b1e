"""Randomised search for combinations of troubles that break a rule on a small simulated cluster.

A trouble is an injected failure, such as a crash or a network partition. Each seed gives one simulated world with jobs
and two or three troubles at random times, followed by a period without troubles, in which every controller must know
each accepted job and jobs have time to complete. Bugs can be planted to check that the search finds them.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from unittest import mock

from simulation.attribution import attribute
from simulation.checker import StarvationDetector, all_found_breaches, contradicted, starts_after_cancellation
from simulation.links import Cut
from simulation.play import cut_zone
from simulation.versions import Version, version_at
from simulation.world import World
from tidebend.cluster_state.machine import Machine
from tidebend.controller.api.job_api import JobApi
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.unrecorded_completions import UnrecordedCompletions
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.coordination import shard_of
from tidebend.kvclient import LIVE, WatchCache
from tidebend.settings import Settings

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
JOB = {
    "tier": "c",
    "crew": "team",
    "rank": "standard",
    "vcpus": 2.0,
    "accelerators": 0.0,
    "memoryGb": 2.0,
    "sizeGb": 1.0,
    "hulls": None,
    "harbor": None,
    "samePlace": False,
    "spread": False,
    "driftwood": True,
    "markS": 0.0,
    "stowS": 0.0,
    "dueS": 120.0,
}
CALM_S = 150.0  # simulated time without troubles at the end
REPEAT_DELAYS_S = (2.0, 20.0, 90.0, 180.0)  # upper bounds of the delays of copies of direct commands
REPEATS_SHARE = 0.2  # share of the worlds with one of `REPEAT_COMBINATIONS`

# Injects a failure; returns what it affects and its duration in seconds.
Trouble = Callable[[World, random.Random], tuple[str, float]]


def _choose_node(world: World, rng: random.Random) -> str:
    """Return the leader with probability 0.5, so that it is affected more often, otherwise any controller."""
    leader = world.state.items.get("tidebend/live/leader")
    return leader[0]["node"] if leader and rng.random() < 0.5 else rng.choice(world.nodes)


def _choose_machines(world: World, rng: random.Random) -> list[str]:
    zone = rng.choice(world.zones) if rng.random() < 0.4 else None
    workers = sorted(name for name, worker in world.workers.items() if zone in (None, worker.zone))
    return workers if zone else rng.sample(workers, min(len(workers), rng.randint(1, 3)))


def _crash(world, rng):
    node, seconds = _choose_node(world, rng), rng.choice((0.1, 0.3, 3.0, world.lease_s, 2.0 * world.lease_s))
    world.crash(node, seconds)
    return node, seconds


def _crash_all(world, rng):
    longest = 0.0
    for node in world.nodes:
        seconds = rng.choice((0.1, 0.5, 4.0, 1.5 * world.lease_s))
        world.crash(node, seconds)
        longest = max(longest, seconds)
    return "all", longest


def _refuse(world, rng):
    node, seconds = _choose_node(world, rng), rng.uniform(0.5, 2.0 * world.lease_s)
    world.state.refuses[node] = world.now + seconds
    world.hang_watch(node)
    return node, seconds


def _outage(world, rng):
    seconds = rng.choice((2.0, 0.5 * world.lease_s, 2.0 * world.lease_s, world.cancel_s + 15.0, world.cancel_s + 30.0))
    world.state.down(world.now + seconds)
    return "all", seconds


def _cut(world, rng):
    node, seconds, hold = _choose_node(world, rng), rng.uniform(1.0, 3.0 * world.lease_s), rng.random() < 0.5
    sides = rng.choice((("state",), ("workers",), ("peers",), ("users",), ("workers", "state"), ("all",)))
    world.cuts += [Cut(node, side, world.now + seconds, hold) for side in sides]
    return f"{node} {'+'.join(sides)}{' held' * hold}", seconds


def _cut_zone(world, rng):
    zone, seconds = rng.choice(world.zones), rng.uniform(2.0, 3.0 * world.lease_s)
    cut_zone(world, zone, seconds, rng.random() < 0.5)
    return zone, seconds


def _freeze(world, rng):
    node, seconds = _choose_node(world, rng), rng.uniform(1.0, 2.0 * world.lease_s)
    world.frozen[node] = world.now + seconds
    return node, seconds


def _silence_machines(world, rng):
    names, seconds = _choose_machines(world, rng), rng.uniform(2.0, 2.0 * world.lease_s)
    kind = rng.choice(("deaf", "mute", "hang"))
    for name in names:
        if kind == "hang":
            world.workers[name].hung_until = world.now + seconds
        else:
            getattr(world, kind)[name] = world.now + seconds
    return f"{kind} {' '.join(names)}", seconds


def _lose_machines(world, rng):
    names = _choose_machines(world, rng)[:2]
    for name in names:
        if rng.random() < 0.5:
            world.cloud.remove(name)
        else:
            world.workers.pop(name).lose_all()
    return " ".join(names), 40.0  # how long the cloud still lists a lost machine as running


def _notice(world, rng):
    names = _choose_machines(world, rng)[:2]
    for name in names:
        world.workers[name].notice = world.now + 15.0
    return " ".join(names), 15.0


def _random_share(attribute: str, min_s: float, max_s: float, aftermath_s: float) -> Trouble:
    """Return a trouble that affects a random share of events for `min_s` to `max_s`.

    `attribute`: the list of (end, share) in `World`; `aftermath_s`: how long the effects last beyond the end.
    """

    def inject(world, rng):
        seconds, share = rng.uniform(min_s, max_s), rng.uniform(0.1, 0.7)
        getattr(world, attribute).append((world.now + seconds, share))
        return f"{share:.2f}", seconds + aftermath_s

    return inject


def _repeats(world, rng):
    """Deliver up to three copies of each executed direct command, from at once to minutes later.

    Short tasks keep the team at its limit meanwhile, so that a copy that starts one of them again exceeds it.
    """
    seconds = rng.uniform(20.0, 60.0)
    short = {**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 60, "run_s": 4.0, "reckonS": 4.0}
    world.submit(f"req-short-{world.ticks}", **short)
    delays = [rng.uniform(0.1, longest) for longest in rng.sample(REPEAT_DELAYS_S, rng.randint(1, 3))]
    world.repeats += [(world.now + seconds, late_s) for late_s in delays]
    return f"{', '.join(f'{late_s:.1f}' for late_s in delays)} s late", seconds + max(delays)


def _failed_reads(world, rng):
    node, seconds = _choose_node(world, rng), rng.uniform(3.0, 2.5 * world.lease_s)
    world.unread[node] = world.now + seconds
    return node, seconds


def _alone(world, rng):
    """Cut a controller off from the key-value store and its peers; it still reaches its workers and users."""
    node, seconds = _choose_node(world, rng), rng.uniform(2.0, 4.0 * world.lease_s)
    world.cuts += [Cut(node, side, world.now + seconds, rng.random() < 0.3) for side in ("state", "peers")]
    return node, seconds


def _no_cloud(world, rng):
    seconds = rng.uniform(5.0, 30.0)
    world.cloud.down_until = world.now + seconds
    return "", seconds


def _cancel_now(world, rng):
    hang_s = rng.choice((0.0, 3.0, 0.9 * world.lease_s, 1.5 * world.lease_s, world.cancel_s + 10.0))
    names = world.cancel_now(rng.randint(1, 6), hang_s, 3)
    return f"{' '.join(names)}{f' hangs {hang_s:.1f} s' * bool(hang_s)}", hang_s


def _close_polling(world, rng):
    seconds = rng.uniform(5.0, 60.0)
    world.concurrent_requests_until = world.now + seconds
    return "", seconds


def _quick_machines(world, rng):
    """Remove the machines of a zone and let new machines start within two seconds."""
    for kind in world.types:
        kind["startupS"] = rng.uniform(0.3, 2.0)
    zone = rng.choice(world.zones)
    for name in [name for name, worker in world.workers.items() if worker.zone == zone]:
        world.cloud.remove(name)
    return zone, 20.0


def _cancelled_out_of_reach(world, rng):
    """Cancel the jobs of a zone as its machines become unreachable, then crash the shard's holder."""
    zone, seconds = rng.choice(world.zones), rng.uniform(0.3, 1.2) * world.lease_s
    workers = [worker for worker in world.workers.values() if worker.zone == zone]
    hanging = rng.random() < 0.5
    for worker in workers:
        if hanging:
            worker.hung_until = world.now + seconds
        else:
            world.mute[worker.name] = world.deaf[worker.name] = world.now + seconds
    # Demand beyond the team's limit, so that quota freed by the cancelled tasks is claimed at once.
    world.submit(
        f"req-more-{world.ticks}",
        **{**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 24, "run_s": 10.0, "reckonS": 10.0},
    )
    for name in sorted({key.partition("/")[0] for worker in workers for key in worker.tasks} & world.polls.keys()):
        world.cancel(name)
    node, away = world.holder(zone), rng.choice((0.2, 3.0, world.lease_s))
    world.scheduled_actions.append((world.now + rng.uniform(0.2, 4.0), lambda: world.crash(node, away)))
    return f"{zone} {'hangs' if hanging else 'is cut off'}, {node} ends for {away:.1f} s", seconds + 4.0 + away


def _old_session(world, rng):
    """Deliver reports of a former worker session to every controller when a new leader starts.

    The workers have begun a new session with new tasks by then, and their shard's holder may not have changed.
    """
    leader = _choose_node(world, rng)
    zone = rng.choice([zone for zone in world.zones if world.holder(zone) != leader] or world.zones)
    workers = [worker for worker in world.workers.values() if worker.zone == zone]
    world.retained_reports += [worker.body() for worker in workers]
    seconds = rng.uniform(1.05, 1.2) * world.lease_s
    world.mute.update(dict.fromkeys([worker.name for worker in workers], world.now + seconds))
    work = {**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 6, "run_s": 20.0, "reckonS": 20.0, "harbor": zone}
    world.scheduled_actions.append((world.now + seconds, lambda: world.submit(f"req-after-{world.ticks}", **work)))
    when = seconds + rng.uniform(0.3, 0.9) * world.lease_s
    world.scheduled_actions.append((world.now + when, lambda: world.crash(leader, world.lease_s)))
    return f"{zone}, {leader} ends", when + world.lease_s


def _odd_requests(world, rng):
    """Resubmit unfinished jobs, also without a required field; submit jobs that fit no machine or lack a field."""
    accepted = sorted(world.polls)
    for name in rng.sample(accepted, min(2, len(accepted))):
        world.user("submit", name)
        body = dict(world.jobs[name])
        del body[rng.choice(("vcpus", "shape", "cargo", "markS"))]
        world.user("submit", name, body=body)
        if world.answers[name][1] == "done":
            world.cancel(name)
    valid = {**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 1, "reckonS": 5.0}
    number = len(world.log)
    world.submit_unfit(f"req-odd-{number}", 422, **{**valid, "vcpus": 900.0})
    del valid[rng.choice(("vcpus", "tier", "sizeGb", "rank"))]
    world.submit_unfit(f"req-odder-{number}", 400, **valid)
    return "", 0.0


TROUBLES: dict[str, Trouble] = {
    "crash": _crash,
    "crash of all": _crash_all,
    "refused": _refuse,
    "outage": _outage,
    "cut": _cut,
    "alone": _alone,
    "zone cut": _cut_zone,
    "freeze": _freeze,
    "silence": _silence_machines,
    "lost machines": _lose_machines,
    "notice": _notice,
    "late reports": _random_share("late_reports", 10.0, 60.0, 30.0),
    "late writes": _random_share("late_writes", 3.0, 20.0, 12.0),
    "slow state": _random_share("slow", 3.0, 20.0, 3.0),
    "held up": _random_share("held_up", 5.0, 30.0, 12.0),
    "lost answers": _random_share("lost_answers", 3.0, 20.0, 1.0),
    "copies for the next": _random_share("copies_for_next", 10.0, 40.0, 1.0),
    "cancelled at the end": _random_share("cancelled_at_end", 20.0, 60.0, 0.0),
    "cancelled now": _cancel_now,
    "close looks": _close_polling,
    "odd requests": _odd_requests,
    "quick machines": _quick_machines,
    "cancelled out of reach": _cancelled_out_of_reach,
    "old session": _old_session,
    "repeats": _repeats,
    "unread": _failed_reads,
    "no cloud": _no_cloud,
}


# Combinations listed in the operators' documentation; half of the worlds use one of these, the others a random one.
TROUBLE_COMBINATIONS = (
    ("refused", "outage"),
    ("unread", "outage"),
    ("alone", "outage"),
    ("slow state", "outage"),
    ("crash of all", "late reports"),
    ("crash", "late writes"),
    ("late writes", "crash of all"),
    ("held up", "crash"),
    ("silence", "late reports"),
    ("late reports", "refused"),
    ("silence", "crash"),
    ("crash", "crash of all"),
    ("repeats", "alone"),
    ("alone", "held up"),
    ("slow state", "refused"),
    ("zone cut", "late reports"),
    ("close looks", "lost answers"),
    ("close looks", "cancelled at the end"),
    ("close looks", "cancelled now"),
    ("cancelled now", "crash"),
    ("cancelled now", "refused", "outage"),
    ("cancelled now", "silence", "crash"),
    ("copies for the next", "crash"),
    ("copies for the next", "crash of all"),
    ("lost answers", "crash"),
    ("lost answers", "late writes"),
    ("late writes", "quick machines", "crash"),
    ("silence", "cancelled now"),
    ("crash", "crash", "crash"),
    ("zone cut", "lost machines"),
    ("odd requests", "close looks"),
    ("cancelled out of reach", "close looks"),
    ("cancelled out of reach", "late reports"),
    ("old session", "crash"),
    ("old session", "late reports"),
)


# Copies of direct commands, together with what lets attempts end or be forgotten, or what changes holders meanwhile.
REPEAT_COMBINATIONS = (
    ("repeats", "crash", "cancelled now"),
    ("repeats", "crash of all", "cancelled at the end"),
    ("repeats", "cut", "cancelled now"),
    ("repeats", "silence", "crash"),
    ("repeats", "refused", "cancelled now"),
    ("repeats", "held up", "crash"),
    ("repeats", "outage", "late reports"),
    ("repeats", "cancelled out of reach"),
)


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


# Planted bugs, one of each kind

FAULTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {}


def _fault(make: Callable[[], Iterator[None]]) -> Callable[[], contextlib.AbstractContextManager]:
    FAULTS[make.__name__] = contextlib.contextmanager(make)
    return FAULTS[make.__name__]


@_fault
def staleness():
    """Reports are answered however stale the cache is."""
    with mock.patch.object(Settings, "staleness_bound_s", 1e9):
        yield


@_fault
def late_transaction():
    """Writes to job records are not conditional on the version read: a delayed transaction overwrites newer state."""
    original = WatchCache.write

    def write(self, conditions, writes, *rest, **named):
        written = {key for key, _, _ in writes if key.startswith((LIVE + "job/", LIVE + "head/", LIVE + "part/"))}
        kept = {key: version for key, version in conditions.items() if key not in written or not version}
        return original(self, kept, writes, *rest, **named)

    with mock.patch.object(WatchCache, "write", write):
        yield


@_fault
def late_report():
    """A task missing from a report counts as ended, even if the report is older than the allocation."""
    with mock.patch.object(CompletionTracker, "_cannot_run_anymore", lambda self, machine, job, key: True):
        yield


@_fault
def lost_doubt():
    """Start commands whose outcome is unknown are forgotten."""
    with (
        mock.patch.object(Machine, "can_no_longer_start", lambda self, key: True),
        mock.patch.object(Machine, "can_forget", lambda self, key: True),
    ):
        yield


@_fault
def done_forgotten_at_once():
    """Workers are told to forget done tasks while a copy of their start command may still be executed."""
    original = Machine.can_forget

    def can_forget(self, key):
        return original(self, key) or (self.tasks[key].why == "done" and self.can_no_longer_start(key))

    with mock.patch.object(Machine, "can_forget", can_forget):
        yield


@_fault
def unread_answer():
    """Users are answered from the cache without a read barrier."""
    with mock.patch.object(JobApi, "find", lambda self, name: self._answer_from_cache(name)):
        yield


@_fault
def freed_limit():
    """The new holder of a shard counts cancelled tasks as ended before their machine has reported to it."""
    original = CompletionTracker.collect

    def collect(self):
        original(self)
        grants = {grant.shard: grant for grant in self.coordinator.grants()}
        for job in self.job_cache.live_jobs():
            for claim in job.allocations if job.cancelled else ():
                machine = self.machine_registry.machines.get(claim.machine)
                grant = grants.get(shard_of(claim.zone))
                if grant is not None and (machine is None or machine.last_heartbeat < grant.held_since):
                    end = self.unrecorded.setdefault(job.id, UnrecordedCompletions())
                    end.ended[claim.machine, claim.session, claim.attempt] = claim.tasks
                    end.grants.add(grant)

    with mock.patch.object(CompletionTracker, "collect", collect):
        yield


@_fault
def earlier_session():
    """Reports of an earlier worker session are accepted as the machine's state."""
    apply_heartbeat, reconcile_machine = Machine.apply_heartbeat, CompletionTracker._reconcile_machine

    def accept_any_session(self, report, now, direct):
        if report.session < self.session:
            self.session, self.sequence, self.report_sequence = report.session, 0, 0
        return apply_heartbeat(self, replace(report, token=max(report.token, self.token)), now, direct)

    def end_other_sessions(self, machine, grant, ends):
        reconcile_machine(self, machine, grant, ends)
        for job, claim in self.job_cache.allocations_on(machine.name):
            if claim.session != machine.session:
                end = ends.setdefault(job.id, UnrecordedCompletions())
                end.ended[claim.machine, claim.session, claim.attempt] = claim.tasks
                end.grants.add(grant)

    with (
        mock.patch.object(Machine, "apply_heartbeat", accept_any_session),
        mock.patch.object(CompletionTracker, "_reconcile_machine", end_other_sessions),
    ):
        yield


@_fault
def beside_room():
    """Some jobs are never placed, although there is room for them."""
    original = PendingJobs.request

    def request(self, job, *rest, **named):
        return None if job.id.endswith("2") else original(self, job, *rest, **named)

    with mock.patch.object(PendingJobs, "request", request):
        yield


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
