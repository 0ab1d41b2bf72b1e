"""A stand-in for the cloud: machine types, rentals, releases and a list that lags; each machine is a `Worker`."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from http_stub import Answer, serve
from state import Bucket
from workers import Gangs, Worker


class Cloud:
    """Rents machines of the given types."""

    def __init__(self, site: Any, jobs: dict[str, dict[str, Any]], record: Callable[[str], None]) -> None:
        """`site` is the `cluster.Site`; `jobs` the submitted jobs by id, which the users fill."""
        self._site, self._jobs, self._record = site, jobs, record
        self._lock = threading.RLock()
        self._calls = Bucket(site.cloud_rps)
        self._rentals: dict[str, list[str]] = {}
        self._rows: dict[str, dict[str, Any]] = {}
        self._rented_at: dict[str, float] = {}
        self._views: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]  # the list at earlier times
        self.workers: dict[str, Worker] = {}
        self.nodes: dict[str, str] = {}  # the controllers' addresses, filled before the first machine is up
        self._gangs = Gangs()
        self._number = 0
        self._server, self.address = serve(self._route)

    def _route(self, method: str, target: str, body: Any) -> Answer:
        path, _, query = target.partition("?")
        with self._lock:
            if not self._calls.take(1):
                return 429, {"error": "too many requests"}
            if path == "/flavors":
                return 200, {"hulls": self._site.types}
            if path == "/machines/release":
                return self._release(body["fleet"])
            if method == "POST":
                return self._rent(body)
            return self._list({key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()})

    def _rent(self, body: dict[str, Any]) -> Answer:
        name = body["charter"]
        if name not in self._rentals:
            room = self._room(body["hull"], body["harbor"])
            if room < 1:
                return 503, {"error": "no capacity"}
            self._rentals[name] = [
                self.add(body["hull"], body["harbor"], body["driftwood"], None)
                for _ in range(min(room, body["howMany"]))
            ]
        return 200, {"fleet": self._rentals[name]}

    def _room(self, hull: str, harbor: str) -> int:
        of_kind = sum(row["hull"] == hull and row["harbor"] == harbor for row in self._rows.values())
        most = self._site.capacity_of.get((hull, harbor), self._site.capacity)
        return min(self._site.capacity - len(self._rows), most - of_kind)

    def add(self, hull: str, harbor: str, spot: bool, boot_s: float | None) -> str:
        """Rent a machine, which is up after `boot_s` (None: the type's time); return its name."""
        with self._lock:
            self._number += 1
            name = f"vm-{self._number:06d}"
            self._rows[name] = {
                "id": name,
                "address": None,
                "hull": hull,
                "harbor": harbor,
                "driftwood": spot,
                "tide": "starting",
            }
            self._rented_at[name] = time.monotonic()
            self._changed()
            type_row = next(row for row in self._site.types if row["name"] == hull)
            timer = threading.Timer(type_row["startupS"] if boot_s is None else boot_s, self._boot, (name, type_row))
            timer.daemon = True
            timer.start()
            self._record(f"{name}: rented in {harbor}")
            return name

    def _boot(self, name: str, type_row: dict[str, Any]) -> None:
        with self._lock:
            if name not in self._rows:
                return
            self._rows[name]["tide"] = "running"
            resources = {key: type_row[key] for key in ("vcpus", "accelerators", "memoryGb")}
            row = self._rows[name]
            self.workers[name] = Worker(
                row, resources, self._site.times, self.nodes, self._jobs, self._gangs, self._record
            )
            self._changed()

    def _release(self, names: list[str]) -> Answer:
        for name in names:
            if self._rows.pop(name, None) is not None:
                self._record(f"{name}: released")
            worker = self.workers.pop(name, None)
            if worker is not None:
                worker.end()
        self._changed()
        return 200, {}

    def _changed(self) -> None:
        now = time.monotonic()
        self._views.append((now, [{**row, "at": self._rented_at[name]} for name, row in sorted(self._rows.items())]))
        while len(self._views) > 1 and self._views[1][0] < now - self._site.list_lag_s:
            self._views.pop(0)

    def _list(self, arguments: dict[str, str]) -> Answer:
        as_of = time.monotonic() - self._site.list_lag_s
        view = [rows for at, rows in self._views if at <= as_of]
        after, most = arguments.get("from", ""), min(500, int(arguments.get("page", 500)))
        rows = [row for row in (view[-1] if view else []) if row["id"] > after]
        page = [
            {**{key: value for key, value in row.items() if key != "at"}, "heldS": max(0.0, as_of - row["at"])}
            for row in rows[:most]
        ]
        return 200, {"fleet": page, "more": len(rows) > most}
