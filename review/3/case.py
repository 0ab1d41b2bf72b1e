"""Services come twice as often for some seconds; afterwards a job waits for ever beside a machine with room."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

from review.standin.cluster import ATS, Cluster, run_case
from review.standin.machines import Machine

# the rule: no job is left waiting for so long while a machine that fits has room and its team is under its limit
MAX_WAIT_S = 90.0
GPU_ZONE = "palermo-centro"
# what each class needs, as on the page of the deployment
BOOKING_DESK: dict[str, Any] = {
    "tier": "booking-desk",
    "shape": "service",
    "rank": "critical",
    "vcpus": 2.0,
    "memoryGb": 4.9,
    "spread": True,
    "reckonS": 0.0,
    "cargo": "img-booking",
    "sizeGb": 0.1,
}
ROUTE_SOLVE: dict[str, Any] = {
    "tier": "route-solve",
    "crew": "sistemi-it",
    "shape": "group",
    "vcpus": 21.0,
    "accelerators": 2.0,
    "memoryGb": 77.0,
    "samePlace": True,
    "reckonS": 300.0,
    "run_s": 300.0,
    "markS": 15.0,
    "stowS": 6.0,
    "cargo": "img-route",
    "sizeGb": 0.1,
}
ROSTER_BUILD: dict[str, Any] = {
    "tier": "roster-build",
    "vcpus": 1.0,
    "memoryGb": 3.5,
    "reckonS": 10.0,
    "run_s": 5.0,
    "driftwood": True,
    "cargo": "img-roster",
    "sizeGb": 0.1,
}
JOB = "req-000200"
# services come 5.2 times a minute; twice as often that is one in 5.8 s
BURST, BURST_PAUSE_S = (("req-000111", 6), ("req-000112", 5)), 5.8


def prepare(cluster: Cluster) -> Machine | None:
    """Start the deployment and its usual work; return the machine with GPUs, None if that fails."""
    for zone in cluster.site.zones:
        cluster.cloud.add("media", zone)
    name = cluster.cloud.add("calcolo-gpu", GPU_ZONE)
    cluster.cloud.max_machines = len(cluster.cloud.rows)
    for controller in cluster.names:
        cluster.start(controller)
    if not cluster.wait_ready(cluster.names, 15.0):
        return None
    usual = [
        cluster.job("req-000001", **ROUTE_SOLVE),
        cluster.job("req-000101", pieces=6, **BOOKING_DESK),
        cluster.job("req-000102", pieces=2, **BOOKING_DESK),
    ]
    if not all(cluster.submit(body) for body in usual):
        return None
    return cluster.cloud.machines[name] if cluster.wait(lambda: cluster.running() == 9, 15.0) else None


def has_room(machine: Machine) -> bool:
    """Whether one more task of the job fits the machine."""
    cpus, gb = machine.free()
    return not machine.gone and cpus >= ROSTER_BUILD["vcpus"] and gb >= ROSTER_BUILD["memoryGb"]


def wait_for_start(cluster: Cluster, gpu_machine: Machine) -> float:
    """Return for how long the job waited beside room, until it started or the rule's bound."""
    began = time.monotonic()
    while (waited_s := time.monotonic() - began) < MAX_WAIT_S:
        if cluster.world.on_machine.get(f"{JOB}/0") or cluster.poll(JOB, cluster.names[1]) == "done":
            break
        if not has_room(gpu_machine):
            began = time.monotonic()
        time.sleep(1.0)
    return waited_s


def case(cluster: Cluster, trouble: bool) -> int:
    """Run the case; return the exit status."""
    gpu_machine = prepare(cluster)
    if gpu_machine is None:
        return 2
    for job, pieces in BURST if trouble else ():
        if not cluster.submit(cluster.job(job, pieces=pieces, **BOOKING_DESK)):
            return 2
        time.sleep(BURST_PAUSE_S)
    if not cluster.submit(cluster.job(JOB, **ROSTER_BUILD)):
        return 2
    waited_s = wait_for_start(cluster, gpu_machine)
    cpus, gb = gpu_machine.free()
    cluster.note(
        f"check: {JOB} (1 CPU, 3.5 GB) waited for {waited_s:.1f} s; {gpu_machine.name}, a {gpu_machine.kind.name}, "
        f"has {cpus:g} CPUs and {gb:g} GB free; the team uses {2 * (cluster.running() - 1)} of 500 CPUs"
    )
    if waited_s < MAX_WAIT_S:
        return 0
    states = [f"{cluster.poll(JOB, node)} at {node}" for node in cluster.names]
    cluster.broken.insert(0, f"left waiting: {JOB} for {waited_s:.1f} s, {', '.join(states)}")
    return 1


if __name__ == "__main__":
    sys.exit(run_case(ATS, Path(__file__).with_name("record.txt"), case))
