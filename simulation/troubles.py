"""The troubles of the search's worlds: injected failures, such as a crash or a network partition, and combinations."""

from __future__ import annotations

import random
from collections.abc import Callable

from simulation.links import Cut
from simulation.play import cut_zone
from simulation.world import World

# fields of the jobs that the troubles submit
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
REPEAT_DELAYS_S = (2.0, 20.0, 90.0, 180.0)  # upper bounds of the delays of copies of direct commands

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
