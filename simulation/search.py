"""A seeded search for meetings of troubles that break a rule: two or three at random moments over small clusters.

Each world has a day of jobs and troubles, then a calm, in which all that was accepted must be known to every controller
and has time to end. Faults can be planted, to see that the search finds them.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from unittest import mock

from simulation.checker import StarvationDetector, all_breaches, contradicted, starts_after_cancellation
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
# report_s, lease_s, cancel_s: as they stand to each other where the service runs
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
CALM_S = 150.0

Trouble = Callable[[World, random.Random], tuple[str, float]]  # whom it strikes, and for how long


def _node(world: World, chance: random.Random) -> str:
    """Mostly the leader or a holder of work: there are as many troubles for them as for the others together."""
    leader = world.state.items.get("tidebend/live/leader")
    return leader[0]["node"] if leader and chance.random() < 0.5 else chance.choice(world.nodes)


def _machines(world: World, chance: random.Random) -> list[str]:
    zone = chance.choice(world.zones) if chance.random() < 0.4 else None
    there = sorted(name for name, worker in world.workers.items() if zone in (None, worker.zone))
    return there if zone else chance.sample(there, min(len(there), chance.randint(1, 3)))


def _crash(world, chance):
    node, seconds = _node(world, chance), chance.choice((0.1, 0.3, 3.0, world.lease_s, 2.0 * world.lease_s))
    world.crash(node, seconds)
    return node, seconds


def _crash_all(world, chance):
    longest = 0.0
    for node in world.nodes:
        seconds = chance.choice((0.1, 0.5, 4.0, 1.5 * world.lease_s))
        world.crash(node, seconds)
        longest = max(longest, seconds)
    return "all", longest


def _refuse(world, chance):
    node, seconds = _node(world, chance), chance.uniform(0.5, 2.0 * world.lease_s)
    world.state.refuses[node] = world.now + seconds
    world.hang_watch(node)
    return node, seconds


def _outage(world, chance):
    seconds = chance.choice(
        (2.0, 0.5 * world.lease_s, 2.0 * world.lease_s, world.cancel_s + 15.0, world.cancel_s + 30.0)
    )
    world.state.down(world.now + seconds)
    return "all", seconds


def _cut(world, chance):
    node, seconds, hold = _node(world, chance), chance.uniform(1.0, 3.0 * world.lease_s), chance.random() < 0.5
    sides = chance.choice((("state",), ("workers",), ("peers",), ("users",), ("workers", "state"), ("all",)))
    world.cuts += [Cut(node, side, world.now + seconds, hold) for side in sides]
    return f"{node} {'+'.join(sides)}{' held' * hold}", seconds


def _zone(world, chance):
    zone, seconds = chance.choice(world.zones), chance.uniform(2.0, 3.0 * world.lease_s)
    cut_zone(world, zone, seconds, chance.random() < 0.5)
    return zone, seconds


def _freeze(world, chance):
    node, seconds = _node(world, chance), chance.uniform(1.0, 2.0 * world.lease_s)
    world.frozen[node] = world.now + seconds
    return node, seconds


def _silence(world, chance):
    names, seconds = _machines(world, chance), chance.uniform(2.0, 2.0 * world.lease_s)
    what = chance.choice(("deaf", "mute", "hang"))
    for name in names:
        if what == "hang":
            world.workers[name].hung_until = world.now + seconds
        else:
            getattr(world, what)[name] = world.now + seconds
    return f"{what} {' '.join(names)}", seconds


def _lose(world, chance):
    names = _machines(world, chance)[:2]
    for name in names:
        if chance.random() < 0.5:
            world.cloud.remove(name)
        else:
            world.workers.pop(name).lose_all()
    return " ".join(names), 40.0  # it is listed as running for so long


def _notice(world, chance):
    names = _machines(world, chance)[:2]
    for name in names:
        world.workers[name].notice = world.now + 15.0
    return " ".join(names), 15.0


def _share_of(rows: str, least: float, most: float, aftermath: float) -> Trouble:
    def strike(world, chance):
        seconds, share = chance.uniform(least, most), chance.uniform(0.1, 0.7)
        getattr(world, rows).append((world.now + seconds, share))
        return f"{share:.2f}", seconds + aftermath

    return strike


def _repeats(world, chance):
    seconds, late = chance.uniform(20.0, 60.0), chance.uniform(2.0, 20.0)
    world.repeats.append((world.now + seconds, late))
    return f"{late:.1f} s late", seconds + late


def _unread(world, chance):
    node, seconds = _node(world, chance), chance.uniform(3.0, 2.5 * world.lease_s)
    world.unread[node] = world.now + seconds
    return node, seconds


def _alone(world, chance):
    """A controller is left with its workers and users."""
    node, seconds = _node(world, chance), chance.uniform(2.0, 4.0 * world.lease_s)
    world.cuts += [Cut(node, side, world.now + seconds, chance.random() < 0.3) for side in ("state", "peers")]
    return node, seconds


def _no_cloud(world, chance):
    seconds = chance.uniform(5.0, 30.0)
    world.cloud.down_until = world.now + seconds
    return "", seconds


def _cancel_now(world, chance):
    hang_s = chance.choice((0.0, 3.0, 0.9 * world.lease_s, 1.5 * world.lease_s, world.cancel_s + 10.0))
    names = world.cancel_now(chance.randint(1, 6), hang_s, 3)
    return f"{' '.join(names)}{f' hangs {hang_s:.1f} s' * bool(hang_s)}", hang_s


def _looks(world, chance):
    seconds = chance.uniform(5.0, 60.0)
    world.concurrent_requests_until = world.now + seconds
    return "", seconds


def _quick_machines(world, chance):
    """Work for machines that there aren't yet, which are up within two seconds."""
    for kind in world.types:
        kind["startupS"] = chance.uniform(0.3, 2.0)
    zone = chance.choice(world.zones)
    for name in [name for name, worker in world.workers.items() if worker.zone == zone]:
        world.cloud.remove(name)
    return zone, 20.0


def _cancelled_out_of_reach(world, chance):
    """Jobs are called off on machines that can't be asked from that moment, and who holds them ends."""
    zone, seconds = chance.choice(world.zones), chance.uniform(0.3, 1.2) * world.lease_s
    there = [worker for worker in world.workers.values() if worker.zone == zone]
    hangs = chance.random() < 0.5
    for worker in there:
        if hangs:
            worker.hung_until = world.now + seconds
        else:
            world.mute[worker.name] = world.deaf[worker.name] = world.now + seconds
    # more work than the team's limit takes, so that what the cancelled tasks have of it is wanted at once
    world.submit(
        f"req-more-{world.ticks}",
        **{**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 24, "run_s": 10.0, "reckonS": 10.0},
    )
    for name in sorted({key.partition("/")[0] for worker in there for key in worker.tasks} & world.polls.keys()):
        world.cancel(name)
    node, away = world.holder(zone), chance.choice((0.2, 3.0, world.lease_s))
    world.scheduled_actions.append((world.now + chance.uniform(0.2, 4.0), lambda: world.crash(node, away)))
    return f"{zone} {'hangs' if hangs else 'is cut off'}, {node} ends for {away:.1f} s", seconds + 4.0 + away


def _old_session(world, chance):
    """Machines begin another session and get work in it; what they said in the one before reaches everybody as the next
    leader begins, also a holder that is there all the time."""
    leader = _node(world, chance)
    zone = chance.choice([zone for zone in world.zones if world.holder(zone) != leader] or world.zones)
    there = [worker for worker in world.workers.values() if worker.zone == zone]
    world.retained_reports += [worker.body() for worker in there]
    seconds = chance.uniform(1.05, 1.2) * world.lease_s
    world.mute.update(dict.fromkeys([worker.name for worker in there], world.now + seconds))
    work = {**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 6, "run_s": 20.0, "reckonS": 20.0, "harbor": zone}
    world.scheduled_actions.append((world.now + seconds, lambda: world.submit(f"req-after-{world.ticks}", **work)))
    when = seconds + chance.uniform(0.3, 0.9) * world.lease_s
    world.scheduled_actions.append((world.now + when, lambda: world.crash(leader, world.lease_s)))
    return f"{zone}, {leader} ends", when + world.lease_s


def _odd(world, chance):
    """Repeats of unfinished jobs, also with a body that lacks a field; jobs that fit no machine or lack a field."""
    accepted = sorted(world.polls)
    for name in chance.sample(accepted, min(2, len(accepted))):
        world.user("submit", name)
        body = dict(world.jobs[name])
        del body[chance.choice(("vcpus", "shape", "cargo", "markS"))]
        world.user("submit", name, body=body)
        if world.answers[name][1] == "done":
            world.cancel(name)
    whole = {**JOB, "shape": "sweep", "cargo": "img-0", "pieces": 1, "reckonS": 5.0}
    number = len(world.log)
    world.submit_unfit(f"req-odd-{number}", 422, **{**whole, "vcpus": 900.0})
    del whole[chance.choice(("vcpus", "tier", "sizeGb", "rank"))]
    world.submit_unfit(f"req-odder-{number}", 400, **whole)
    return "", 0.0


TROUBLES: dict[str, Trouble] = {
    "crash": _crash,
    "crash of all": _crash_all,
    "refused": _refuse,
    "outage": _outage,
    "cut": _cut,
    "alone": _alone,
    "zone cut": _zone,
    "freeze": _freeze,
    "silence": _silence,
    "lost machines": _lose,
    "notice": _notice,
    "late reports": _share_of("late_reports", 10.0, 60.0, 30.0),
    "late writes": _share_of("late_writes", 3.0, 20.0, 12.0),
    "slow state": _share_of("slow", 3.0, 20.0, 3.0),
    "held up": _share_of("held_up", 5.0, 30.0, 12.0),
    "lost answers": _share_of("lost_answers", 3.0, 20.0, 1.0),
    "copies for the next": _share_of("copies_for_next", 10.0, 40.0, 1.0),
    "cancelled at the end": _share_of("cancelled_at_end", 20.0, 60.0, 0.0),
    "cancelled now": _cancel_now,
    "close looks": _looks,
    "odd requests": _odd,
    "quick machines": _quick_machines,
    "cancelled out of reach": _cancelled_out_of_reach,
    "old session": _old_session,
    "repeats": _repeats,
    "unread": _unread,
    "no cloud": _no_cloud,
}


# the meetings that the operators' page names; half of the worlds have one of these, the others what chance joins
MEETINGS = (
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


def _jobs(chance: random.Random) -> list[tuple[float, dict]]:
    """(seconds from the beginning, job), of all kinds; some wait for others, some fail wherever they run."""
    found = []
    times = sorted(chance.uniform(0.0, 45.0) for _ in range(chance.randint(1, 4)))
    for when in [0.0] * 4 + times:
        kind = chance.choice(("array", "array", "ends far apart", "gang", "service", "waits"))
        job = {
            **JOB,
            "shape": "sweep",
            "cargo": f"img-{chance.randrange(3)}",
            "pieces": chance.randint(1, 6),
            "run_s": chance.choice((4.0, 12.0, 40.0, 60.0)),
        }
        if kind == "ends far apart":
            job.update(pieces=chance.randint(2, 3), run_s=60.0)
        elif kind == "gang":
            job.update(shape="group", pieces=2, samePlace=chance.random() < 0.5, markS=5.0, stowS=2.0, driftwood=False)
        elif kind == "service":
            job.update(
                shape="service",
                rank="critical",
                pieces=chance.randint(1, 3),
                driftwood=False,
                dueS=None,
                spread=chance.random() < 0.5,
            )
        elif kind == "waits" and found:
            others = [name for name, before in enumerate(found) if before[1]["shape"] != "service"]
            job["awaits"] = [f"req-{name}" for name in others[-1:]]
        if chance.random() < 0.08:
            job["fails_s"] = 1.0
        job["reckonS"] = 0.0 if kind == "service" else job["run_s"] * chance.uniform(0.6, 1.5)
        found.append((when, job))
    return found


def _ends(name: str, jobs: dict) -> bool:
    """Whether a job can be done at all."""
    job = jobs[name]
    return (
        job["shape"] != "service"
        and "fails_s" not in job
        and all(_ends(other, jobs) for other in job.get("awaits", ()))
    )


def _upgrades(chance: random.Random, nodes: list[str]) -> list[tuple[float, str, float]]:
    """When each controller is replaced by today's version, in any order, and for how long it is away."""
    order = chance.sample(nodes, len(nodes))
    at = chance.uniform(3.0, 12.0)
    found = []
    for node in order:
        found.append((at, node, chance.choice((0.2, 1.0, 4.0))))
        at += chance.uniform(4.0, 25.0)
    return found


def _short_jobs(chance: random.Random) -> list[tuple[float, dict]]:
    """Many short jobs one after the other, so that some end at any moment of an upgrade."""
    found = []
    for number in range(60):
        job = {**JOB, "shape": chance.choice(("sweep", "sweep", "group")), "cargo": "img-0", "vcpus": 1.0}
        job.update(pieces=chance.randint(1, 3), run_s=chance.choice((2.0, 4.0, 7.0)))
        job["reckonS"] = job["run_s"]
        found.append((1.0 * number, job))
    return found


def play(seed: int, meeting: tuple[str, ...] = (), former: Version | None = None) -> dict:
    """What came of a seed's world: rules that broke, jobs that didn't end in the calm, what befell it and when.

    `meeting`: what meets there, else as chance has it. `former`: the version that the world begins with, and that is
    replaced during the troubles, while many jobs are called off as they end; no job waits for another then.
    """
    random.seed(seed)  # what the controllers draw
    chance = random.Random(seed)
    report_s, lease_s, cancel_s = chance.choice(TIMES)
    team = {**TEAM, "cpus_max": random.Random(seed + 1).choice((40.0, 24.0))}  # the lower one is what often binds
    world = World(seed, list(ZONES), [team], [dict(BOX)], lease_s=lease_s, report_s=report_s, cancel_s=cancel_s)
    upgrades = _upgrades(random.Random(seed + 2), world.nodes) if former else []
    if former:
        world.versions.update(dict.fromkeys(world.nodes, former))
    for zone in ZONES:
        world.cloud.capacity["box", zone, False] = world.cloud.capacity["box", zone, True] = 3
        for number in range(2):
            world.cloud.add("box", zone, number == 1, -50.0)
    begin = world.now
    jobs = [(at, f"req-{number}", job) for number, (at, job) in enumerate(_jobs(chance))]
    if former:
        jobs = [row for row in jobs if "awaits" not in row[2]]
        short = _short_jobs(random.Random(seed + 3))
        jobs += [(at, f"req-short-{number}", job) for number, (at, job) in enumerate(short)]
        jobs.sort(key=lambda row: row[0])
        world.cancelled_at_end.append((begin + 80.0, 0.7))
    first = begin + chance.uniform(15.0, 30.0)
    strikes = [first]
    for _ in range(chance.randint(1, 2)):
        strikes.append(strikes[-1] + chance.choice((1.0, 0.5 * lease_s, 2.0 * lease_s)) * chance.uniform(0.05, 1.0))
    kinds = list(chance.choice(MEETINGS) if chance.random() < 0.5 else chance.sample(sorted(TROUBLES), 2))
    kinds = list(meeting) or kinds
    kinds += chance.sample(sorted(TROUBLES), max(0, len(strikes) - len(kinds)))
    strikes += [strikes[-1] + chance.uniform(0.05, 0.5) * lease_s for _ in kinds[len(strikes) :]]
    cancels = sorted(
        (
            chance.uniform(strikes[0], strikes[1])
            if chance.random() < 0.7
            else chance.choice(strikes) + chance.uniform(-1.0, 1.0) * lease_s,
            name,
        )
        for _, name, _ in jobs
        if chance.random() < 0.6
    )
    happened, over_at, starvation = [], first, StarvationDetector(world)
    with world.clock():
        while world.now < over_at + CALM_S or strikes or upgrades:
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
                over_at = max(over_at, world.now + away_s)
                happened.append(f"{world.now - begin:.1f} upgrade {node} {away_s:.1f} s")
            while strikes and strikes[0] <= world.now:
                strikes.pop(0)
                name = kinds.pop(0)
                whom, seconds = TROUBLES[name](world, chance)
                over_at = max(over_at, world.now + seconds)
                happened.append(f"{world.now - begin:.1f} {name} {whom} {seconds:.1f} s")
            world.step()
            if world.ticks % 10 == 0:
                starvation.check()
        found = all_breaches(world, starvation, over_at)
    accepted = {row[3] for row in world.log if row[1] == "told" and row[4] in (200, 201)}
    ended = {name for name, (_, state) in world.answers.items() if state in ("done", "withdrawn")}
    unfinished = [name for name in sorted(accepted) if name not in ended and _ends(name, world.jobs)]
    return {
        "seed": seed,
        "troubles": happened,
        "breaches": [list(row) for row in found],
        "contradicted": sorted(contradicted(world.log)),
        "contradicted_new": sorted(contradicted(world.log, by_new_only=True)),
        "unfinished": unfinished,
        "asked": len(world.answers),
        "began": sum(world.starts.values()),
        "late_starts": [list(row) for row in starts_after_cancellation(world.log)],
    }


# Planted faults, one for each family

FAULTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {}


def _fault(make: Callable[[], Iterator[None]]) -> Callable[[], contextlib.AbstractContextManager]:
    FAULTS[make.__name__] = contextlib.contextmanager(make)
    return FAULTS[make.__name__]


@_fault
def staleness():
    """Workers are answered however old the last read is."""
    with mock.patch.object(Settings, "staleness_bound_s", 1e9):
        yield


@_fault
def late_transaction():
    """The last writer of a job's record wins, also when it comes late."""
    honest = WatchCache.write

    def write(self, conditions, writes, *rest, **named):
        written = {key for key, _, _ in writes if key.startswith((LIVE + "job/", LIVE + "head/", LIVE + "part/"))}
        kept = {key: version for key, version in conditions.items() if key not in written or not version}
        return honest(self, kept, writes, *rest, **named)

    with mock.patch.object(WatchCache, "write", write):
        yield


@_fault
def late_report():
    """What a report doesn't show is gone, also if the report is older than the claim."""
    with mock.patch.object(CompletionTracker, "_cannot_run_anymore", lambda self, machine, job, key: True):
        yield


@_fault
def lost_doubt():
    """Nobody remembers which starts may still be carried out."""
    with (
        mock.patch.object(Machine, "can_no_longer_start", lambda self, key: True),
        mock.patch.object(Machine, "can_forget", lambda self, key: True),
    ):
        yield


@_fault
def unread_answer():
    """Users are answered from the cache as it is, without a read."""
    with mock.patch.object(JobApi, "find", lambda self, name: self._answer_from_cache(name)):
        yield


@_fault
def freed_limit():
    """What is cancelled and not heard of counts as ended for whoever takes a block over."""
    honest = CompletionTracker.collect

    def settle(self):
        honest(self)
        grants = {grant.shard: grant for grant in self.coordinator.grants()}
        for job in self.job_cache.live_jobs():
            for claim in job.allocations if job.cancelled else ():
                machine = self.machine_registry.machines.get(claim.machine)
                grant = grants.get(shard_of(claim.zone))
                if grant is not None and (machine is None or machine.last_heartbeat < grant.held_since):
                    end = self.unrecorded.setdefault(job.id, UnrecordedCompletions())
                    end.ended[claim.machine, claim.session, claim.attempt] = claim.tasks
                    end.grants.add(grant)

    with mock.patch.object(CompletionTracker, "collect", settle):
        yield


@_fault
def earlier_session():
    """A report of an earlier session, too, is evidence of what runs."""
    apply_heartbeat, ends_on = Machine.apply_heartbeat, CompletionTracker._reconcile_machine

    def hears_any(self, report, now, direct):
        if report.session < self.session:
            self.session, self.sequence, self.report_sequence = report.session, 0, 0
        return apply_heartbeat(self, replace(report, token=max(report.token, self.token)), now, direct)

    def any_ends(self, machine, grant, ends):
        ends_on(self, machine, grant, ends)
        for job, claim in self.job_cache.allocations_on(machine.name):
            if claim.session != machine.session:
                end = ends.setdefault(job.id, UnrecordedCompletions())
                end.ended[claim.machine, claim.session, claim.attempt] = claim.tasks
                end.grants.add(grant)

    with (
        mock.patch.object(Machine, "apply_heartbeat", hears_any),
        mock.patch.object(CompletionTracker, "_reconcile_machine", any_ends),
    ):
        yield


@_fault
def beside_room():
    """Some jobs are never placed."""
    honest = PendingJobs.request

    def want(self, job, *rest, **named):
        return None if job.id.endswith("2") else honest(self, job, *rest, **named)

    with mock.patch.object(PendingJobs, "request", want):
        yield


def play_with(fault: str, seed: int, meeting: tuple[str, ...] = (), former_commit: str = "") -> dict:
    """`former_commit`: of the version that the world begins with; raises VersionNotFoundError if it isn't there."""
    former = version_at(former_commit) if former_commit else None
    with FAULTS[fault]() if fault else contextlib.nullcontext():
        return play(seed, meeting, former)


def search(seeds: range, fault: str = "", workers: int = 4, former_commit: str = "") -> Iterator[dict]:
    """What came of each of these seeds, in their order."""
    with ProcessPoolExecutor(workers) as pool:
        yield from pool.map(partial(play_with, fault, former_commit=former_commit), seeds, chunksize=4)
