"""The disruption of case 3: a controller is killed and comes back while users cancel waiting jobs."""

from __future__ import annotations

import threading
import time

from review.standin.cluster import Cluster

ZONE = "palermo-centro"
VICTIM, OTHERS = "berth-0", ["berth-1", "berth-2"]
AWAY_S = 1.0
# how late two answers of the state service to the returning controller leave: "occasionally a few hundred" milliseconds
FIRST_PAGE_LATE_S = 0.4
FIRST_TRANSACTION_LATE_S = 0.3
# users cancel one job after the other, from the moment at which the controller is started again
CANCELLED = 24
PAUSE_S = 0.08
# the tasks that fill the zone's machines until then
FILLERS, FILLER_S = 2, 7.0


class SlowAnswers:
    """Two answers of the state service to the controller that came back are a few hundred milliseconds late."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._left = {"/kv?": FIRST_PAGE_LATE_S, "/multi": FIRST_TRANSACTION_LATE_S}

    def __call__(self, name: str, method: str, path: str) -> float:
        """Return how late the answer to a request leaves."""
        for prefix in list(self._left):
            if name == VICTIM and path.startswith(prefix):
                late_s = self._left.pop(prefix)
                self._cluster.note(f"state service: the answer to {method} {path} of {name} leaves {late_s} s late")
                return late_s
        return 0.0


def start(cluster: Cluster) -> bool:
    """Start the deployment with two machines in each zone; return whether it serves."""
    for zone in cluster.site.zones:
        for _ in range(2):
            cluster.cloud.add("media", zone)
    cluster.cloud.max_machines = 2 * len(cluster.site.zones)
    return cluster.start_all(20.0)


def fill_zone(cluster: Cluster) -> list[str] | None:
    """Fill the zone's machines, and submit jobs that wait for room there; return these, None if that fails."""
    filler = cluster.job("req-000001", harbor=ZONE, pieces=FILLERS, vcpus=8.0, run_s=FILLER_S, reckonS=FILLER_S)
    if not cluster.submit(filler, OTHERS) or not cluster.wait(lambda: len(cluster.world.events) >= FILLERS, 15.0):
        return None
    jobs = [f"req-{number:06d}" for number in range(100, 100 + CANCELLED)]
    for job in jobs:
        if not cluster.submit(cluster.job(job, harbor=ZONE, vcpus=2.0, run_s=2.0, reckonS=2.0), OTHERS):
            return None
    return jobs


def cancel(cluster: Cluster, jobs: list[str], trouble: bool) -> bool:
    """Kill and start the controller if there is to be trouble, and cancel the jobs; return whether all serve again."""
    if trouble:
        cluster.kill(VICTIM)
        time.sleep(AWAY_S)
        cluster.store.answer_late_s = SlowAnswers(cluster)
        cluster.start(VICTIM)
    threads = []
    for number, job in enumerate(jobs):
        order = OTHERS if number % 2 else OTHERS[::-1]
        threads.append(threading.Thread(target=cluster.cancel, args=(job, order), daemon=True))
        threads[-1].start()
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join(30.0)
    return cluster.wait_ready(cluster.names, 10.0)


def has_room(cluster: Cluster) -> bool:
    """Whether a machine of the zone is up and empty."""
    machines = [machine for machine in cluster.cloud.machines.values() if machine.zone == ZONE]
    return any(not machine.gone and machine.is_idle for machine in machines)
