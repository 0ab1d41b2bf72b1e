"""Late copies of direct commands on real processes: controllers, and the workers of `review/standin`.

    python3 -m tools.late_copies --runs 5

A worker executes each request with direct commands once more, seconds after it was answered. The holder of a zone is
killed and back within a second, and a job is cancelled. Its team is at its limit meanwhile. Exit status 1 if a rule was
broken in a run, 2 if a run wasn't possible.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any
from unittest import mock

from review.standin import machines
from review.standin.cluster import VOCES, Cluster, Record
from review.standin.web import Answer

MACHINES_PER_ZONE = 3
CANCELLED, OTHER = "req-000001", "req-000002"
TASK = {"vcpus": 4.0, "memoryGb": 1.0, "reckonS": 3.0, "run_s": 3.0}
# copies arrive these seconds after the requests, some of them later than `cancel_s` after a cancellation
COPIES_AFTER_S = (6.0, 44.0)
DOWN_S = 0.5
KILLED_AFTER_S, CANCELLED_AFTER_S = 5.0, 15.0
# how long to watch after the cancellation: until the copies of the last starts have come
WATCHED_S = 52.0


class CopyingMachine(machines.Machine):
    """A machine to which copies of its direct commands come late."""

    def _direct(self, method: str, path: str, body: Any) -> Answer | None:
        answer = super()._direct(method, path, body)
        if path == "/orders" and answer is not None and answer[0] == 200:
            for after_s in COPIES_AFTER_S:
                timer = threading.Timer(after_s, super()._direct, (method, path, body))
                timer.daemon = True
                timer.start()
        return answer


def max_usage(cluster: Cluster) -> float:
    """Return the most CPUs that the jobs' tasks have used at a time."""
    used = most = 0.0
    running: set[tuple[str, str]] = set()
    for _, what, piece, _, machine, _ in sorted(cluster.world.events, key=lambda event: event[0]):
        key = (piece, machine)
        if what == "on" and key not in running:
            running.add(key)
            used += TASK["vcpus"]
        elif what != "on" and key in running:
            running.remove(key)
            used -= TASK["vcpus"]
        most = max(most, used)
    return most


def late_starts(cluster: Cluster, told: float) -> list[str]:
    """Return the starts of the cancelled job's tasks later than `cancel_s` after the confirmation."""
    bound = told + cluster.site.times.cancel_s
    return [
        f"{piece} starts on {machine} {at - told:.1f} s after its cancellation"
        for at, what, piece, _, machine, _ in cluster.world.events
        if what == "on" and piece.startswith(CANCELLED) and at > bound
    ]


def play(cluster: Cluster) -> list[str] | None:
    """Run the deployment once; return the broken rules, or None if it wasn't possible."""
    site = cluster.site
    for zone in site.zones:
        for _ in range(MACHINES_PER_ZONE):
            cluster.cloud.add("ocho-nucleos", zone)
    cluster.cloud.max_machines = MACHINES_PER_ZONE * len(site.zones)
    if not cluster.start_all(20.0):
        return None
    for job, tasks in ((CANCELLED, 40), (OTHER, 400)):
        if not cluster.submit(cluster.job(job, pieces=tasks, **TASK)):
            return None
    time.sleep(KILLED_AFTER_S)
    holder = cluster.holders()[site.zones[0]]
    cluster.kill(holder)
    time.sleep(DOWN_S)
    cluster.start(holder)
    time.sleep(CANCELLED_AFTER_S - KILLED_AFTER_S)
    if cluster.cancel(CANCELLED) != "withdrawn":
        return None
    told = time.monotonic()
    time.sleep(WATCHED_S)
    found = [f"ran_cancelled: {line}" for line in late_starts(cluster, told)]
    found += [f"ran_twice: {line}" for line in cluster.world.ran_twice]
    limit = site.teams[0][2]
    usage = max_usage(cluster)
    if usage > limit:
        found.append(f"quota: {usage} CPUs, with a limit of {limit}")
    return found


def main() -> int:
    """Run the deployment several times; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=1)
    status = 0
    for number in range(parser.parse_args().runs):
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(machines, "Machine", CopyingMachine),
            Cluster(VOCES, Record(Path(folder) / "record.txt")) as cluster,
        ):
            found = play(cluster)
            starts = sum(event[1] == "on" for event in cluster.world.events)
        if found is None:
            print(f"run {number}: not possible", flush=True)
            return 2
        print(f"run {number}: {starts} starts, {len(found)} broken rules: {found[:3]}", flush=True)
        status = max(status, int(bool(found)))
    return status


if __name__ == "__main__":
    sys.exit(main())
