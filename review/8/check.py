"""A gang that is spread over zones never runs, though every zone has room: no controller may place it alone."""

from __future__ import annotations

import time

from case import TROUBLE, expect, run
from cluster import ZONES, Cluster, Record, Site, job

GANG = "req-000001"
# until each controller has taken the shard of its own zone; at the start the first one may hold several
SETTLED_AFTER_S = 10.0
# how long a job may be left waiting while machines that fit have room
BOUND_S = 90.0
RUN_S = 2.0


def check(record: Record) -> bool:
    """Return whether the gang didn't wait for longer than the bound beside machines with room."""
    with Cluster(Site(capacity=6), record) as cluster:
        expect(cluster.wait_ready(), "the controllers aren't ready")
        for zone in ZONES:
            cluster.cloud.add("ocho-nucleos", zone, False, 0.5)
            cluster.cloud.add("ocho-nucleos", zone, False, 0.5)
        time.sleep(SETTLED_AFTER_S)
        gang = job(GANG, shape="group", pieces=2, vcpus=2.0, memoryGb=4.0, spread=TROUBLE, reckonS=RUN_S)
        answer = cluster.submit(gang, run_s=RUN_S)
        expect(answer is not None and answer[0] == 201, "the gang isn't accepted")
        state = cluster.wait_for(GANG, ("running", "done"), BOUND_S)
        zones = sorted({worker.row["harbor"] for worker in cluster.cloud.workers.values()})
        record(f"after {BOUND_S:.0f} s the gang is {state}; machines up in {', '.join(zones)}")
        return state in ("running", "done")


if __name__ == "__main__":
    run(check)
