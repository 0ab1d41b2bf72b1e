"""A controller is killed and back at once while users cancel jobs; later it answers that these are queued."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from review.standin import slow_return
from review.standin.cluster import ATS, Cluster, run_case

WATCHED_S = 30.0
LATER_JOB = "req-000201"


def case(cluster: Cluster, trouble: bool) -> int:
    """Run the case; return the exit status."""
    if not slow_return.start(cluster):
        return 2
    jobs = slow_return.fill_zone(cluster)
    if jobs is None or not slow_return.cancel(cluster, jobs, trouble):
        return 2
    cluster.note("check: all controllers are ready; users ask for their cancelled jobs at all of them")
    until = time.monotonic() + WATCHED_S
    later_at: float | None = None
    while time.monotonic() < until:
        for job in jobs:
            for node in cluster.names:
                cluster.poll(job, node)
        if later_at is None and slow_return.has_room(cluster):
            cluster.submit(cluster.job(LATER_JOB, harbor=slow_return.ZONE, vcpus=2.0, run_s=2.0, reckonS=2.0))
            later_at = time.monotonic()
        time.sleep(3.0)
    if later_at is not None:
        state = cluster.poll(LATER_JOB, slow_return.OTHERS[0])
        waited_s = time.monotonic() - later_at
        cluster.note(f"seen besides: {LATER_JOB}, submitted beside an empty machine, is {state} {waited_s:.0f} s later")
    return 1 if any(line.startswith("went_back") for line in cluster.broken) else 0


if __name__ == "__main__":
    sys.exit(run_case(ATS, Path(__file__).with_name("record.txt"), case))
