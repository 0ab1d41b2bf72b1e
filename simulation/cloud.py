"""A simulated cloud provider on a virtual clock, written from the protocol's specification."""

from __future__ import annotations

from dataclasses import dataclass

from simulation.workers import Worker


@dataclass
class CloudMachine:
    """A rented machine as the cloud lists it; `worker` is None until it has booted."""

    kind: str
    zone: str
    spot: bool
    rented: float
    up_at: float
    gone_at: float | None = None
    worker: Worker | None = None


class Cloud:
    def __init__(self, world):
        self.world = world
        self.machines = {}
        self.rentals = {}
        self.capacity = {}
        self.rented = 0
        self.never_up = False
        self.down_until = -1.0

    def add(self, kind, zone, spot, boot_s):
        name = f"vm-{len(self.machines):06d}"
        self.machines[name] = CloudMachine(kind, zone, spot, self.world.now, self.world.now + boot_s)
        return name

    def step(self):
        for name, row in self.machines.items():
            if row.worker is None and row.gone_at is None and self.world.now >= row.up_at:
                row.worker = self.world.workers[name] = Worker(self.world, name, row.kind, row.zone, row.spot)

    def remove(self, name):
        row = self.machines.get(name)
        if row is not None and row.gone_at is None:
            row.gone_at = self.world.now
            worker = self.world.workers.pop(name, None)
            if worker is not None:
                worker.lose_all()

    def call(self, node, method, path, body):
        path, _, _query = path.partition("?")
        if self.world.now < self.down_until:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"hulls": self.world.types}
        if path == "/machines/release":
            for name in body["fleet"]:
                self.remove(name)
            return 200, {}
        if method == "POST":
            if body["charter"] not in self.rentals:
                left = self.capacity.get((body["hull"], body["harbor"], body["driftwood"]), 0)
                held = sum(
                    1
                    for row in self.machines.values()
                    if row.gone_at is None
                    and (row.kind, row.zone, row.spot) == (body["hull"], body["harbor"], body["driftwood"])
                )
                count = min(body["howMany"], int(left - held))
                if count < 1:
                    return 503, {"error": "no capacity"}
                boot_s = self.world.kinds[body["hull"]]["startupS"]
                boot_s = 1e9 if self.never_up else boot_s
                self.rentals[body["charter"]] = [
                    self.add(body["hull"], body["harbor"], body["driftwood"], boot_s) for _ in range(count)
                ]
                self.rented += count
            return 200, {"fleet": self.rentals[body["charter"]]}
        listed_at = self.world.now - self.world.list_lag_s
        rows = [
            {
                "id": name,
                "hull": row.kind,
                "harbor": row.zone,
                "driftwood": row.spot,
                "heldS": listed_at - row.rented,
                "address": f"10.1.0.{int(name[3:])}:9000",
                "tide": "running" if listed_at >= row.up_at else "starting",
            }
            for name, row in self.machines.items()
            if row.rented <= listed_at and (row.gone_at is None or row.gone_at > listed_at)
        ]
        return 200, {"fleet": rows, "more": False}
