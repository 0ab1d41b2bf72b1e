"""A job that needs no GPU waits beside a machine that fits and has room, because that machine has GPUs."""

from __future__ import annotations

import time

from case import TROUBLE, expect, run
from cluster import Cluster, Record, Site, job, machine_type

ZONES = ("palermo-centro", "palermo-porto", "monreale")
TEAM = "sala-operativa"
GPU_WORK, SERVICE, JOB = "req-000001", "req-000002", "req-000003"
# how long a job may be left waiting while a machine that fits has room
BOUND_S = 90.0
# the cloud's ordinary machines in each zone: no more than the service takes, or some to spare
ORDINARY = 1 if TROUBLE else 3


def site() -> Site:
    """Return a deployment with ordinary machines and one machine with GPUs in its first zone."""
    types = [machine_type("media", ZONES, 8.0, 0.0, 32.0), machine_type("calcolo-gpu", ZONES, 24.0, 2.0, 96.0)]
    capacity_of = {("media", zone): ORDINARY for zone in ZONES}
    capacity_of.update({("calcolo-gpu", zone): int(zone == ZONES[0]) for zone in ZONES})
    return Site(zones=ZONES, types=types, capacity_of=capacity_of, gpus_max=2.0, teams=(TEAM,))


def check(record: Record) -> bool:
    """Return whether the job didn't wait for longer than the bound beside a machine with room."""
    with Cluster(site(), record) as cluster:
        expect(cluster.wait_ready(), "the controllers aren't ready")
        for zone in ZONES:
            cluster.cloud.add("media", zone, False, 0.5)
        gpu_machine = cluster.cloud.add("calcolo-gpu", ZONES[0], False, 0.5)
        # keeps the machine with GPUs: 20 of its 24 CPUs are left
        work = job(GPU_WORK, crew=TEAM, accelerators=1.0, memoryGb=10.0, reckonS=300.0)
        cluster.submit(work, run_s=300.0)
        service = job(SERVICE, crew=TEAM, shape="service", rank="critical", pieces=3, vcpus=8.0, reckonS=0.0)
        cluster.submit(service)
        expect(cluster.wait_for(SERVICE, ("running",), 15.0) == "running", "the service doesn't run")
        time.sleep(3.0)
        cluster.submit(job(JOB, crew=TEAM))
        state = cluster.wait_for(JOB, ("running", "done"), BOUND_S)
        worker = cluster.cloud.workers.get(gpu_machine)
        expect(worker is not None, "the machine with GPUs is gone")
        used = 0.0 if worker is None else worker.used("vcpus")
        record(f"after {BOUND_S:.0f} s the job, of 4 CPUs, is {state}; {gpu_machine} uses {used:.0f} of its 24 CPUs")
        return state in ("running", "done")


if __name__ == "__main__":
    run(check)
