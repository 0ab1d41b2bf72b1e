"""Wiring: one controller's parts, threads and routes."""

from __future__ import annotations

import gc
import logging
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from tidebend import protocol
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD, JOB
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.record_chunks import CHUNK
from tidebend.controller import connection_limits
from tidebend.controller.api.job_api import JobApi
from tidebend.controller.autoscaling.rentals import Rentals
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.records.record_limits import RecordLimits
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.controller.workers.heartbeats import CommandDispatcher, HeartbeatHandler
from tidebend.controller.workers.zone_probe import ZoneProbe
from tidebend.coordination import Coordinator, PeerExchange, PeerFrame, PeerMachine, shard_of
from tidebend.coordination.schema_version import FORMAT, SchemaVersion
from tidebend.kvclient import FINAL, KeyValueClient, WatchCache
from tidebend.settings import Settings
from tidebend.transport import HttpClient, Reply, Server

log = logging.getLogger("service")

STACK_BYTES = 256 * 1024
KEEP_FINALS = 20_000
# how long after a start requests wait for the first read, as a share of a controller's lease
FIRST_READ = 0.2


class Controller:
    def __init__(self, settings: Settings, connect: Callable[..., HttpClient] = HttpClient) -> None:
        self.settings = settings
        self._patient_until = time.monotonic() + FIRST_READ * settings.controller_lease_s
        lock = threading.RLock()
        self.state = KeyValueClient(
            settings.state,
            settings.state_limits,
            settings.controllers,
            max(0.6, settings.controller_lease_s / 4.0),
            connect,
        )
        self.job_cache = JobCache(lock, KEEP_FINALS)
        # A watch that hangs unnoticed keeps the cache old for its whole time, so it waits for no longer than until our
        # lease is renewed again: no more requests than the renewals make.
        self.cache = WatchCache(
            self.state, self._changed, lock, watch_s=settings.controller_lease_s / 4.0, retry_s=0.1 * settings.lease_s
        )
        self.machine_registry = MachineRegistry()
        self.command_dispatcher = CommandDispatcher(
            settings, self.job_cache, self.machine_registry, lambda: self.planner.wake(), connect
        )
        self.schema_version = SchemaVersion(settings, self.state, self.cache)
        self.coordinator = Coordinator(
            settings,
            self.state,
            self.cache,
            self.command_dispatcher.on_shard_acquired,
            self.schema_version,
            lambda node, shard: self.peer_exchange.has_reported_holding(node, shard),
        )
        self.quota_rebalancer = QuotaRebalancer(
            settings, self.cache, self.job_cache, self.schema_version, self.coordinator.held_zones
        )
        self.record_limits = RecordLimits(settings.state_limits, self.schema_version, self.state.writes_per_s)
        self.job_writer = JobWriter(self.cache, self.job_cache, self.quota_rebalancer, self.record_limits)
        self.planner = SchedulingLoop(
            settings,
            self.coordinator,
            self.job_cache,
            self.machine_registry,
            self.job_writer,
            self.quota_rebalancer,
            self._types,
            self.command_dispatcher.send,
        )
        self.peer_exchange = PeerExchange(settings, self.peer_frame, self.coordinator.learn_holders)
        self.command_dispatcher.coordinator, self.command_dispatcher.peer_exchange = (
            self.coordinator,
            self.peer_exchange,
        )
        self.planner.completions.peers_crash_looping = self.peer_exchange.crash_looping_jobs
        self.zone_probe = ZoneProbe(settings, self.coordinator, self.peer_exchange, self.machine_registry, connect)
        self.rentals = Rentals(
            settings,
            self.coordinator,
            self.peer_exchange,
            self.job_cache,
            self.machine_registry,
            self.job_writer,
            self.planner,
            self.zone_probe,
            connect,
        )
        self.job_api = JobApi(
            settings,
            self.state,
            self.cache,
            self.job_cache,
            self.job_writer,
            self.schema_version,
            self._types,
            self.planner.wake,
        )
        self.planner.look_up_finals = self.job_api.look_up_finals
        self.heartbeats = HeartbeatHandler(
            settings,
            self.cache,
            self.job_cache,
            self.machine_registry,
            self.coordinator,
            self.planner.wake,
            self.zone_probe.record_report,
        )

    def _types(self) -> dict[str, protocol.MachineType]:
        return self.rentals.types

    def _changed(self, key: str, value: Any, version: int) -> None:
        self.job_cache.on_change(key, value, version)
        if key == FORMAT and self.schema_version.pipelines:
            # from now on the limits that are to come may be in force
            self.state.keep_within(self.settings.state_next)
            self.record_limits.keep_within(self.settings.state_next, self.state.writes_per_s)
            log.info("format %d is in force", self.schema_version.version)
        if key.startswith((JOB, HEAD, CHUNK, FINAL)):
            self.planner.wake()
        else:
            self.coordinator.wake.set()

    def peer_frame(self) -> dict[str, Any]:
        machines = [
            PeerMachine(m.name, m.type, m.zone, int(m.spot), 0, *(m.address or ("", 0)), m.session)
            for m in self.machine_registry.all()
            if not m.draining and not m.releasing and self.coordinator.grant(shard_of(m.zone))
        ]
        machines += [PeerMachine.of_released(name) for name in list(self.rentals.recently_released)]
        frame = PeerFrame(
            sender=self.settings.name,
            state_as_of=time.time() - self.cache.age_s,
            machines=machines,
            held_shards=[grant.shard for grant in self.coordinator.grants()],
            holders=self.coordinator.table(),
        )
        if self.schema_version.pipelines:
            crash_looping_jobs = self.planner.completions.crash_looping_jobs()
            frame = replace(frame, crash_looping_jobs=crash_looping_jobs, report_ages_s=self.zone_probe.report_ages())
        return frame.pack()

    def _knows(self) -> bool:
        return self.cache.loaded.is_set() and bool(self.rentals.types)

    def _first_read(self) -> None:
        """Wait for it, if it is under way.

        Guards against a refusal for being a tenth of a second early: a process that ends is started again within a
        fraction of a second, so that users still come to it, and one who is refused comes back only after a second.
        """
        while not self._knows() and time.monotonic() < self._patient_until:
            time.sleep(0.01)

    def ready(self) -> bool:
        """Whether this node can decide requests. When nobody can, staying up still serves final answers."""
        if not self._knows():
            return False
        bound = self.settings.controller_lease_s
        if self.cache.age_s <= bound:
            return True
        now = time.monotonic()
        others = [
            time.time() - peer.as_of <= bound + self.settings.clock_off_s
            for peer in self.peer_exchange.peers.values()
            if now - peer.at <= bound
        ]
        return not any(others)

    def route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        path = path.partition("?")[0]
        if path == protocol.PATH_REPORT:
            reply = self.heartbeats.report(body()) if method == "POST" else Reply(405, {"error": "use POST"})
            reply.yields = True  # a worker connects anew for its next report, a user would have to ask again
            return reply
        self._first_read()
        if path == protocol.PATH_READY:
            if method not in ("GET", "HEAD"):
                return Reply(405, {"error": "use GET"})
            return Reply(200, {}) if self.ready() else Reply(503, {"error": "not ready"}, {"Retry-After": "1"})
        reply = self._users_request(method, path, body)
        # Guards users of a controller that is out of touch alone: on the same connection they would find no other until
        # the load balancer gives it up, which takes it several seconds.
        reply.closes = reply.status == 503 and not self.ready()
        return reply

    def _users_request(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        if path == protocol.PATH_JOBS:
            return self.job_api.submit(body()) if method == "POST" else Reply(405, {"error": "use POST"})
        if path.startswith(protocol.PATH_JOBS + "/"):
            name, slash, action = path[len(protocol.PATH_JOBS) + 1 :].partition("/")
            if not slash:
                return self.job_api.poll(name) if method == "GET" else Reply(405, {"error": "use GET"})
            if action == "cancel":
                if method != "POST":
                    return Reply(405, {"error": "use POST"})
                body()
                return self.job_api.cancel(name)
        return Reply(404, {"error": "no such path"})

    def begin(self) -> None:
        """Start all threads; requests reach us through `route`, by whichever server."""
        self.cache.start()
        self.coordinator.start()
        if self.settings.peers:
            self.peer_exchange.start()
        self.command_dispatcher.start()
        if self.settings.peers:
            self.zone_probe.start()
        self.planner.start()
        self.rentals.start()

    def start(self) -> Server:
        server = Server(
            self.settings.listen,
            self.route,
            idle_s=2.0 * self.settings.lease_s,
            body_s=min(5.0, self.settings.lease_s / 2.0),
            most=connection_limits.incoming(self.settings),
            backlog=connection_limits.backlog(self.settings),
        )
        self.begin()
        return server


def run(settings: Settings) -> None:
    threading.stack_size(STACK_BYTES)
    gc.set_threshold(5000, 20, 50)
    server = Controller(settings).start()
    log.info("%s in %s serves on %s:%d", settings.name, settings.zone, *settings.listen)
    server.serve_forever(poll_interval=5.0)
