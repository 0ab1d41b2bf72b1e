"""A controller is killed and back at once while users cancel jobs; later it answers that these are queued."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from review.standin import slow_return
from review.standin.cluster import ATS, Cluster, run_case

WATCHED_S = 30.0


def case(cluster: Cluster, trouble: bool) -> int:
    """Run the case; return the exit status."""
    if not slow_return.start(cluster):
        return 2
    jobs = slow_return.fill_zone(cluster)
    if jobs is None or not slow_return.cancel(cluster, jobs, trouble):
        return 2
    cluster.note("check: all controllers are ready; users ask for their cancelled jobs at all of them")
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        for job in jobs:
            for node in cluster.names:
                cluster.poll(job, node)
        time.sleep(3.0)
    return 1 if any(line.startswith("went_back") for line in cluster.broken) else 0


if __name__ == "__main__":
    sys.exit(run_case(ATS, Path(__file__).with_name("record.txt"), case))
