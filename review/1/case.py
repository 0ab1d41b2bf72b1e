"""A machine loses the network for seconds; a start command that was held up meanwhile runs a task a second time."""

from __future__ import annotations

import sys
import threading
import time
import zlib
from pathlib import Path
from typing import Any

from review.standin.cluster import VOCES_FLEET, Cluster, run_case
from review.standin.machines import Machine

NEAR, OTHER, FAR = "xela-norte", "xela-sur", "antigua-uno"
CUT_S = 6.6
# when, after the beginning of the cut, the long task in the other zone completes, and the first service is cancelled
OTHER_ENDS_S, SERVICE_CANCELLED_S = 4.6, 4.8
WATCHED_S = 8.0
WIDE: dict[str, Any] = {"vcpus": 8.0, "memoryGb": 4.0, "run_s": 600.0, "reckonS": 600.0}


def turn(job: str, zones: list[str]) -> list[str]:
    """Return the order in which the holders of the zones take their turns at a job."""
    return sorted(zones, key=lambda zone: zlib.crc32(f"{job}/{zone}.0".encode()))


def job_id(first: int, *order: str) -> str:
    """Return the first job id from a number on at which the holders take their turns in that order."""
    number = first
    while turn(f"req-{number:06d}", [NEAR, OTHER, FAR])[: len(order)] != list(order):
        number += 1
    return f"req-{number:06d}"


class Scene:
    """The jobs and machines of the case."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.moved = job_id(200, OTHER, FAR, NEAR)
        self.small = job_id(300, NEAR)
        self.service = job_id(400, NEAR)
        self.machine: Machine | None = None

    def submit(self, job: str, **fields: Any) -> bool:
        """Submit a job of one task."""
        return self.cluster.submit(self.cluster.job(job, **fields))

    def runs(self, *jobs: str, seconds: float = 15.0) -> bool:
        """Wait until these jobs' first tasks are on machines."""
        places = self.cluster.world.on_machine
        return self.cluster.wait(lambda: all(places.get(f"{job}/0") for job in jobs), seconds)

    def place(self, job: str) -> Machine:
        """Return the machine of a job's first task."""
        (name,) = self.cluster.world.on_machine[f"{job}/0"]
        return self.cluster.cloud.machines[name]

    def is_allocated(self, job: str) -> bool:
        """Whether the controllers have placed a job, by what the state service has stored; for the timing only."""
        with self.cluster.store.changed:
            row = self.cluster.store.items.get(f"tidebend/live/job/{job}")
        return bool(row and row[0].get("claims"))

    def prepare(self) -> bool:
        """Start the deployment and fill it, but for 4 CPUs of one machine; return whether that worked."""
        cluster = self.cluster
        for zone in (NEAR, NEAR, OTHER, FAR):
            cluster.cloud.add("ocho-nucleos", zone)
        cluster.cloud.max_machines = len(cluster.cloud.rows)
        service = {"shape": "service", "rank": "critical", "run_s": 600.0, "reckonS": 0.0}
        if not cluster.start_all(20.0):
            return False
        ok = self.submit("req-000101", harbor=NEAR, **{**WIDE, **service})
        ok = ok and self.submit("req-000102", harbor=OTHER, **WIDE) and self.submit("req-000103", harbor=FAR, **WIDE)
        if not ok or not self.runs("req-000101", "req-000102", "req-000103"):
            return False
        ok = self.submit("req-000104", harbor=NEAR, vcpus=3.0, **service)
        ok = ok and self.submit("req-000105", harbor=NEAR, vcpus=1.0, run_s=600.0, reckonS=600.0)
        if not ok or not self.runs("req-000104", "req-000105"):
            return False
        self.machine = self.place("req-000104")
        time.sleep(2.0 * cluster.site.times.report_s)
        return True

    def await_report(self) -> None:
        """Wait until the machine has just got the answer to a report."""
        assert self.machine is not None
        before = self.machine.answered_at
        self.cluster.wait(lambda: self.machine is not None and self.machine.answered_at > before, 6.0)


def users(scene: Scene, began: float) -> None:
    """What users do from the beginning of the cut on: three jobs come, a task completes, a service is cancelled."""
    cluster = scene.cluster
    assert scene.machine is not None
    scene.machine.finish("req-000105/0")
    scene.submit(scene.moved, vcpus=3.0, run_s=600.0, reckonS=600.0)
    cluster.wait(lambda: scene.is_allocated(scene.moved), 4.0)
    time.sleep(0.2)
    scene.submit(scene.small, harbor=NEAR, vcpus=1.0, run_s=600.0, reckonS=600.0)
    cluster.wait(lambda: scene.is_allocated(scene.small), 4.0)
    scene.submit(scene.service, harbor=NEAR, shape="service", rank="critical", vcpus=3.0, run_s=600.0, reckonS=0.0)
    time.sleep(max(0.0, began + OTHER_ENDS_S - time.monotonic()))
    scene.place("req-000102").finish("req-000102/0")
    time.sleep(max(0.0, began + SERVICE_CANCELLED_S - time.monotonic()))
    cluster.cancel("req-000101")


def case(cluster: Cluster, trouble: bool) -> int:
    """Run the case; return the exit status."""
    scene = Scene(cluster)
    if not scene.prepare() or scene.machine is None:
        return 2
    machine = scene.machine
    scene.await_report()
    began = time.monotonic()
    if trouble:
        cluster.note(f"machine {machine.name}: loses the network")
        machine.cut()
    acts = threading.Thread(target=users, args=(scene, began), daemon=True)
    acts.start()
    time.sleep(max(0.0, began + CUT_S - time.monotonic()))
    if trouble:
        cluster.note(f"machine {machine.name}: has the network again")
        machine.mend()
    time.sleep(WATCHED_S)
    acts.join(5.0)
    cluster.note(f"check: on machines now: { ({p: m for p, m in cluster.world.on_machine.items() if m}) }")
    cluster.broken[:0] = [f"ran_twice: {line}" for line in cluster.world.ran_twice]
    return 1 if cluster.world.ran_twice else 0


if __name__ == "__main__":
    sys.exit(run_case(VOCES_FLEET, Path(__file__).with_name("record.txt"), case))
