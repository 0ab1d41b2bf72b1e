"""Runs the scenarios in tests/scenarios: what is submitted, which faults occur when, and what is expected at the end.

A line is an event, `TIME action words...`, an expectation, `expect words...`, or a setting of the simulated world.
`TIME every STEP UNTIL submit NAME ...` submits NAME-0, NAME-1 and so on. No scenario may break a rule of the checker.
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


def parse_value(text):
    if text in ("true", "false", "null"):
        return {"true": True, "false": False, "null": None}[text]
    try:
        return int(text) if text.lstrip("-").isdigit() else float(text)
    except ValueError:
        return text


def parse_fields(words):
    parsed = {key: parse_value(text) for key, text in (word.split("=", 1) for word in words)}
    if "run_s" in parsed:
        parsed.setdefault("reckonS", float(parsed["run_s"]))
    for key in ("hulls", "awaits"):
        if isinstance(parsed.get(key), str):
            parsed[key] = parsed[key].split(",")
    return parsed


class Scenario:
    """A parsed scenario file."""

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
            elif words[0] == "seed":  # a seed with which the failure occurs, where it doesn't with the default
                self.seed = int(words[1])
            elif words[0] == "production":  # the controllers that run production's version at first
                self.production = words[1:]
            elif words[0] == "next":  # future limits of the key-value store that the settings announce
                self.next_limits = parse_fields(words[1:])
            elif words[0] == "zones":
                self.zones = words[1:]
            elif words[0] == "team":
                self.teams.append({"name": words[1], "gpus": 0.0, "gpus_max": 0.0, **parse_fields(words[2:])})
            elif words[0] == "type":
                self.types.append(
                    {
                        "name": words[1],
                        "accelerators": 0.0,
                        "localGb": 50.0,
                        "fetchGbPerS": 1.0,
                        "harbors": self.zones,
                        **parse_fields(words[2:]),
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
        events = sorted(self.events, key=lambda event: event[0])
        with world.clock():
            while world.now < begin + self.length:
                while events and events[0][0] <= world.now - begin:
                    self.apply_event(world, events.pop(0)[1])
                world.step()
        return world

    def apply_event(self, world, words):
        action, rest = words[0], words[1:]
        if action == "submit":
            world.submit(rest[0], **{**JOB, **parse_fields(rest[1:])})
        elif action == "cancel":
            world.cancel(rest[0])
        elif action == "cancel_at_end":
            # SECONDS SHARE [NODE]: this share of the jobs that end is cancelled at that moment, through the controller
            world.cancelled_at_end.append((world.now + float(rest[0]), float(rest[1])))
            world.cancelled_through = rest[2] if len(rest) > 2 else None
        elif action == "ask":  # ACTION JOB NODE: a single poll, submit or cancel request to this controller
            if rest[0] == "cancel":
                world.log.append((world.now, "asked", "cancel", rest[1], None))
            world.user(rest[0], rest[1], rest[2])
        elif action == "crash":
            for node in world.nodes if rest[0] == "all" else [rest[0]]:
                world.crash(node, float(rest[1]))
        elif action == "upgrade":  # NODE SECONDS: restarted with the new version, down for this time
            world.upgrade(rest[0], float(rest[1]))
        elif action == "limits":  # KEY=VALUE...: limits of the key-value store, from now on
            world.state.limits.update(parse_fields(rest))
        elif action == "cut":
            # NODE SIDE SECONDS [hold]: a network partition; with "hold", POST requests are executed when it ends
            world.cuts.append(Cut(rest[0], rest[1], world.now + float(rest[2]), "hold" in rest))
        elif action == "outage":
            world.state.down(world.now + float(rest[0]))
        elif action == "cloud_outage":
            world.cloud.down_until = world.now + float(rest[0])
        elif action == "refuse":  # NODE SECONDS: the key-value store refuses the controller's requests
            world.state.refuses[rest[0]] = world.now + float(rest[1])
        elif action == "die":
            worker = world.workers.pop(rest[0], None)
            if worker is not None:
                worker.lose_all()
        elif action == "take":
            world.cloud.remove(rest[0])
        elif action == "notice":
            world.workers[rest[0]].notice = world.now + float(rest[1])
        elif action == "hang":
            world.workers[rest[0]].hung_until = world.now + float(rest[1])
        elif action == "deaf":  # MACHINE SECONDS: its heartbeats arrive, answers and commands are lost
            world.deaf[rest[0]] = world.now + float(rest[1])
        elif action == "mute":  # MACHINE SECONDS: commands reach it, its heartbeats are lost
            world.mute[rest[0]] = world.now + float(rest[1])
        elif action == "copies":  # MACHINE|all SECONDS DELAY [everywhere]: heartbeats arrive a second time, this late
            world.copies.append(
                Copies(
                    None if rest[0] == "all" else rest[0],
                    world.now + float(rest[1]),
                    float(rest[2]),
                    "everywhere" in rest,
                )
            )
        elif action == "repeats":  # SECONDS DELAY: direct commands are executed a second time, this much later
            world.repeats.append((world.now + float(rest[0]), float(rest[1])))
        elif action == "late_reports":  # SECONDS SHARE: copies of these heartbeats arrive up to well over a lease later
            world.late_reports.append((world.now + float(rest[0]), float(rest[1])))
        elif action == "late_writes":  # SECONDS SHARE: these transactions get no answer and are executed later
            world.late_writes.append((world.now + float(rest[0]), float(rest[1])))
        elif action == "slow":  # SECONDS SHARE: the key-value store answers these requests after their time-out
            world.slow.append((world.now + float(rest[0]), float(rest[1])))
        elif action == "held_up":  # SECONDS SHARE: these commands and answers are delayed by seconds, machines go on
            world.held_up.append((world.now + float(rest[0]), float(rest[1])))
        elif action == "unread":  # NODE SECONDS: its watch requests get no answer, its other requests do
            world.unread[rest[0]] = world.now + float(rest[1])
        elif action == "hang_watch":  # NODE: its open watch request delivers no changes until it times out
            world.hang_watch(rest[0])
        elif action == "freeze":  # NODE SECONDS: the process is suspended while its clocks run on
            world.frozen[rest[0]] = world.now + float(rest[1])
        elif action == "sick":
            world.workers[rest[0]].sick_until = world.now + float(rest[1])
        elif action == "never_up":
            world.cloud.never_up = rest[0] == "on"
        else:
            raise ValueError(" ".join(words))


def state_of(world, job):
    return next((row[5] for row in reversed(world.log) if row[1] == "told" and row[3] == job and row[5]), None)


def down_s(world, job):
    """Return the total time in seconds for which a job's tasks were down, each counted from its first start."""
    down_since, total = {}, 0.0
    for row in world.log:
        if row[1] in ("on", "off") and row[2].partition("/")[0] == job:
            if row[1] == "off":
                down_since[row[2]] = row[0]
            elif row[2] in down_since:
                total += row[0] - down_since.pop(row[2])
    return total + sum(world.now - since for since in down_since.values())


def is_met(world, words):
    expectation, rest = words[0], words[1:]
    if expectation in ("done", "withdrawn", "running", "queued"):
        return state_of(world, rest[0]) == expectation
    if expectation == "answer":  # JOB STATUS: the HTTP status of the last answer about the job
        return world.answers[rest[0]][0] == int(rest[1])
    if expectation == "on":  # JOB N: tasks that run now
        return sum(
            1
            for worker in world.workers.values()
            for key, task in worker.tasks.items()
            if key.partition("/")[0] == rest[0] and task.state == "running"
        ) == int(rest[1])
    if expectation == "starts":  # JOB at_most N
        return sum(1 for row in world.log if row[1] == "on" and row[2].partition("/")[0] == rest[0]) <= int(rest[2])
    if expectation == "no_change_refused":  # no transaction was refused as too large
        return not world.state.refused
    if expectation == "format":
        return (
            world.state.items["tidebend/live/format"][0] == {"version": int(rest[0])}
            if int(rest[0]) > 1
            else "tidebend/live/format" not in world.state.items
        )
    if expectation == "started":  # JOB within SECONDS: the first task started so soon after the submission
        submitted_at = next(row[0] for row in world.log if row[1] == "asked" and row[3] == rest[0])
        started_at = next((row[0] for row in world.log if row[1] == "on" and row[2].partition("/")[0] == rest[0]), 1e18)
        return started_at - submitted_at <= float(rest[2])
    if expectation == "rented":
        return world.cloud.rented <= int(rest[1]) if rest[0] == "at_most" else world.cloud.rented >= int(rest[1])
    if expectation == "machines":  # at_most N: machines that aren't released
        return sum(1 for row in world.cloud.machines.values() if row.gone_at is None) <= int(rest[1])
    if expectation == "missed":  # JOB SECONDS: its replicas' total downtime, each from its first start on, at most this
        return down_s(world, rest[0]) <= float(rest[1])
    if expectation == "gone":
        return world.cloud.machines[rest[0]].gone_at is not None
    if expectation == "kept":
        return world.cloud.machines[rest[0]].gone_at is None
    raise ValueError(" ".join(words))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path):
    scenario = Scenario(path)
    if scenario.production and production() is None:
        pytest.skip("the commit of the version in production isn't in this repository's history")
    world = scenario.run()
    found = breaches(world.log, world.jobs, scenario.teams, world.cancel_s, world.completed)
    assert not found, found[:5]
    for words in scenario.expected:
        assert is_met(world, words), " ".join(words)


def test_same_seed_same_log():
    path = next(path for path in SCENARIOS if path.stem == "crash_of_all")
    assert Scenario(path).run().log == Scenario(path).run().log
