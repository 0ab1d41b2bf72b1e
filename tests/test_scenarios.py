"""Runs the scenarios in tests/scenarios: what is submitted, what fails when, and what must hold.

A line is `TIME action words...` or `expect words...`; the rest sets the scene. `TIME every STEP UNTIL submit NAME ...`
submits NAME-0, NAME-1 and so on. Every scenario must keep the rules.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from simulation.checker import breaches
from simulation.links import Copies, Cut
from simulation.versions import production
from simulation.world import World

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
JOB = {
    "tier": "c",
    "crew": "team",
    "shape": "sweep",
    "rank": "standard",
    "pieces": 1,
    "vcpus": 4.0,
    "accelerators": 0.0,
    "memoryGb": 4.0,
    "cargo": "img",
    "sizeGb": 1.0,
    "hulls": None,
    "harbor": None,
    "samePlace": False,
    "spread": False,
    "driftwood": True,
    "reckonS": 10.0,
    "markS": 0.0,
    "stowS": 0.0,
    "dueS": 120.0,
    "run_s": 10.0,
}


def value(text):
    if text in ("true", "false", "null"):
        return {"true": True, "false": False, "null": None}[text]
    try:
        return int(text) if text.lstrip("-").isdigit() else float(text)
    except ValueError:
        return text


def fields(words):
    made = {key: value(text) for key, text in (word.split("=", 1) for word in words)}
    if "run_s" in made:
        made.setdefault("reckonS", float(made["run_s"]))
    for key in ("hulls", "awaits"):
        if isinstance(made.get(key), str):
            made[key] = made[key].split(",")
    return made


class Scenario:
    def __init__(self, path, seed=None):
        self.zones, self.teams, self.types = ["north", "south", "west"], [], []
        self.capacity, self.machines, self.events, self.expected = [], [], [], []
        self.length, self.seed = 90.0, 1
        self.production, self.next_limits = [], {}
        for line in path.read_text().splitlines():
            words = line.partition("#")[0].split()
            if not words:
                continue
            if words[0] == "expect":
                self.expected.append(words[1:])
            elif words[0][0].isdigit() and words[1] == "every":
                begin, step, until = float(words[0]), float(words[2]), float(words[3])
                self.events += [
                    (begin + n * step, [words[4], f"{words[5]}-{n}", *words[6:]])
                    for n in range(int((until - begin) / step) + 1)
                ]
            elif words[0][0].isdigit():
                self.events.append((float(words[0]), words[1:]))
            elif words[0] == "run":
                self.length = float(words[1])
            elif words[0] == "seed":  # one that shows what the scenario guards against, where the first doesn't
                self.seed = int(words[1])
            elif words[0] == "production":  # nodes that begin with the version in production
                self.production = words[1:]
            elif words[0] == "next":  # limits of the state service that the settings announce
                self.next_limits = fields(words[1:])
            elif words[0] == "zones":
                self.zones = words[1:]
            elif words[0] == "team":
                self.teams.append({"name": words[1], "gpus": 0.0, "gpus_max": 0.0, **fields(words[2:])})
            elif words[0] == "type":
                self.types.append(
                    {
                        "name": words[1],
                        "accelerators": 0.0,
                        "localGb": 50.0,
                        "fetchGbPerS": 1.0,
                        "harbors": self.zones,
                        **fields(words[2:]),
                    }
                )
            elif words[0] == "capacity":
                self.capacity.append((words[1], float(words[2]), float(words[3])))
            elif words[0] == "machines":
                self.machines.append((int(words[1]), words[2], words[3], "spot" in words[4:]))
            else:
                raise ValueError(f"{path.name}: {line}")
        self.seed = self.seed if seed is None else seed
        self.teams = self.teams or [{"name": "team", "cpus": 16.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0}]
        self.types = self.types or [
            {
                "name": "box",
                "vcpus": 8.0,
                "accelerators": 0.0,
                "memoryGb": 32.0,
                "localGb": 50.0,
                "fetchGbPerS": 1.0,
                "price": 1.0,
                "spotPrice": 0.4,
                "startupS": 10.0,
                "harbors": self.zones,
            }
        ]

    def run(self):
        random.seed(self.seed)
        world = World(self.seed, self.zones, self.teams, self.types)
        world.next_limits = self.next_limits
        world.versions.update(dict.fromkeys(self.production, production()))
        for kind, ordinary, spot in self.capacity:
            for zone in self.zones:
                world.cloud.capacity[kind, zone, False] = ordinary
                world.cloud.capacity[kind, zone, True] = spot
        for count, kind, zone, spot in self.machines:
            for _ in range(count):
                world.cloud.add(kind, zone, spot, -50.0)
        begin = world.now
        waiting = sorted(self.events, key=lambda event: event[0])
        with world.clock():
            while world.now < begin + self.length:
                while waiting and waiting[0][0] <= world.now - begin:
                    self.act(world, waiting.pop(0)[1])
                world.step()
        return world

    def act(self, world, words):
        what, rest = words[0], words[1:]
        if what == "submit":
            world.submit(rest[0], **{**JOB, **fields(rest[1:])})
        elif what == "cancel":
            world.cancel(rest[0])
        elif what == "cancel_at_end":
            # SECONDS SHARE [NODE]: so many of the jobs that end are cancelled at that moment, through this controller
            world.cancelled_at_end.append((world.now + float(rest[0]), float(rest[1])))
            world.cancelled_through = rest[2] if len(rest) > 2 else None
        elif what == "ask":  # a single request: poll, submit or cancel, of a certain node
            if rest[0] == "cancel":
                world.log.append((world.now, "asked", "cancel", rest[1], None))
            world.user(rest[0], rest[1], rest[2])
        elif what == "crash":
            for node in world.nodes if rest[0] == "all" else [rest[0]]:
                world.crash(node, float(rest[1]))
        elif what == "upgrade":  # NODE SECONDS: replaced by the new version
            world.upgrade(rest[0], float(rest[1]))
        elif what == "limits":  # of the state service, from now on
            world.state.limits.update(fields(rest))
        elif what == "cut":  # NODE SIDE SECONDS [hold]
            world.cuts.append(Cut(rest[0], rest[1], world.now + float(rest[2]), "hold" in rest))
        elif what == "outage":
            world.state.down(world.now + float(rest[0]))
        elif what == "cloud_outage":
            world.cloud.down_until = world.now + float(rest[0])
        elif what == "refuse":  # the state service refuses one node
            world.state.refuses[rest[0]] = world.now + float(rest[1])
        elif what == "die":
            worker = world.workers.pop(rest[0], None)
            if worker is not None:
                worker.lose_all()
        elif what == "take":
            world.cloud.remove(rest[0])
        elif what == "notice":
            world.workers[rest[0]].notice = world.now + float(rest[1])
        elif what == "hang":
            world.workers[rest[0]].hung_until = world.now + float(rest[1])
        elif what == "deaf":  # MACHINE SECONDS: its reports arrive, answers and commands don't reach it
            world.deaf[rest[0]] = world.now + float(rest[1])
        elif what == "mute":  # MACHINE SECONDS: commands reach it, its reports don't arrive
            world.mute[rest[0]] = world.now + float(rest[1])
        elif what == "copies":  # MACHINE|all SECONDS DELAY [everywhere]: its reports come again so much later
            world.copies.append(
                Copies(
                    None if rest[0] == "all" else rest[0],
                    world.now + float(rest[1]),
                    float(rest[2]),
                    "everywhere" in rest,
                )
            )
        elif what == "repeats":  # SECONDS LATE: direct commands are carried out again so much later
            world.repeats.append((world.now + float(rest[0]), float(rest[1])))
        elif what == "late_reports":  # SECONDS SHARE: copies of these come again, up to well over a lease later
            world.late_reports.append((world.now + float(rest[0]), float(rest[1])))
        elif what == "late_writes":  # SECONDS SHARE: these transactions get no answer and are carried out later
            world.late_writes.append((world.now + float(rest[0]), float(rest[1])))
        elif what == "slow":  # SECONDS SHARE: the state service's answers to these come after the time-out
            world.slow.append((world.now + float(rest[0]), float(rest[1])))
        elif what == "held_up":  # SECONDS SHARE: of commands and answers; they come seconds later, machines go on
            world.held_up.append((world.now + float(rest[0]), float(rest[1])))
        elif what == "unread":  # NODE SECONDS: its reads of changes get no answer, its other requests do
            world.unread[rest[0]] = world.now + float(rest[1])
        elif what == "hang_watch":  # NODE: its open watch brings nothing, for as long as it waits
            world.hang_watch(rest[0])
        elif what == "freeze":  # NODE SECONDS: stands still while its clocks run on
            world.frozen[rest[0]] = world.now + float(rest[1])
        elif what == "sick":
            world.workers[rest[0]].sick_until = world.now + float(rest[1])
        elif what == "never_up":
            world.cloud.never_up = rest[0] == "on"
        else:
            raise ValueError(" ".join(words))


def state_of(world, job):
    return next((row[5] for row in reversed(world.log) if row[1] == "told" and row[3] == job and row[5]), None)


def down_s(world, job):
    """Seconds that a job's tasks weren't on machines, from the time each was first there, added up."""
    off, total = {}, 0.0
    for row in world.log:
        if row[1] in ("on", "off") and row[2].partition("/")[0] == job:
            if row[1] == "off":
                off[row[2]] = row[0]
            elif row[2] in off:
                total += row[0] - off.pop(row[2])
    return total + sum(world.now - at for at in off.values())


def holds(world, words):
    what, rest = words[0], words[1:]
    if what in ("done", "withdrawn", "running", "queued"):
        return state_of(world, rest[0]) == what
    if what == "answer":  # the last answer's status
        return world.answers[rest[0]][0] == int(rest[1])
    if what == "on":  # tasks on machines now
        return sum(
            1
            for worker in world.workers.values()
            for key, task in worker.tasks.items()
            if key.partition("/")[0] == rest[0] and task.state == "running"
        ) == int(rest[1])
    if what == "starts":  # JOB at_most N
        return sum(1 for row in world.log if row[1] == "on" and row[2].partition("/")[0] == rest[0]) <= int(rest[2])
    if what == "no_change_refused":  # for its size
        return not world.state.refused
    if what == "format":
        return (
            world.state.items["tidebend/live/format"][0] == {"version": int(rest[0])}
            if int(rest[0]) > 1
            else "tidebend/live/format" not in world.state.items
        )
    if what == "started":  # JOB within SECONDS of its submission
        asked = next(row[0] for row in world.log if row[1] == "asked" and row[3] == rest[0])
        first = next((row[0] for row in world.log if row[1] == "on" and row[2].partition("/")[0] == rest[0]), 1e18)
        return first - asked <= float(rest[2])
    if what == "rented":
        return world.cloud.rented <= int(rest[1]) if rest[0] == "at_most" else world.cloud.rented >= int(rest[1])
    if what == "machines":  # at_most N left
        return sum(1 for row in world.cloud.machines.values() if row.gone_at is None) <= int(rest[1])
    if what == "missed":  # JOB SECONDS: its replicas, each from its first start on, for so long at the most in all
        return down_s(world, rest[0]) <= float(rest[1])
    if what == "gone":
        return world.cloud.machines[rest[0]].gone_at is not None
    if what == "kept":
        return world.cloud.machines[rest[0]].gone_at is None
    raise ValueError(" ".join(words))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    scenario = Scenario(path)
    if scenario.production and production() is None:
        pytest.skip("the version in production isn't in the history at hand")
    world = scenario.run()
    found = breaches(world.log, world.jobs, scenario.teams, world.cancel_s, world.completed)
    assert not found, found[:5]
    for words in scenario.expected:
        assert holds(world, words), " ".join(words)


def test_same_seed_same_log():
    path = next(path for path in SCENARIOS if path.stem == "crash_of_all")
    assert Scenario(path).run().log == Scenario(path).run().log
