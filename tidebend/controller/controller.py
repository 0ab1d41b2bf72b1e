"""Creates a controller's components, connects them and starts their threads."""

from __future__ import annotations

import gc
import logging
import threading
from collections.abc import Callable
from typing import Any

from tidebend import __version__, protocol
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD_PREFIX, JOB_PREFIX
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.record_chunks import CHUNK_PREFIX
from tidebend.controller import connection_limits
from tidebend.controller.api.job_api import JobApi
from tidebend.controller.api.router import Router
from tidebend.controller.autoscaling.autoscaler import Autoscaler
from tidebend.controller.peer_report import PeerFrameBuilder
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.readiness import Readiness
from tidebend.controller.records.cancellation_sealer import CancellationSealer
from tidebend.controller.records.final_lookup import FinalRecordLookup
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.records.record_limits import RecordLimits
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.controller.workers.command_dispatcher import CommandDispatcher
from tidebend.controller.workers.heartbeats import HeartbeatHandler
from tidebend.controller.workers.zone_probe import ZoneProbe
from tidebend.coordination import Coordinator, PeerExchange
from tidebend.coordination.schema_version import NEWEST_VERSION, SCHEMA_VERSION_KEY, SchemaVersion
from tidebend.kvclient import FINAL, KeyValueClient, WatchCache
from tidebend.settings import Settings
from tidebend.transport import HttpClient, Reply, Server

log = logging.getLogger("controller")

STACK_BYTES = 256 * 1024  # per thread
GC_THRESHOLDS = (5000, 20, 50)
MAX_CACHED_FINAL_STATES = 20_000  # number of jobs
# timeout of a request to the key-value store, as a fraction of a controller's lease, and its lower bound
STORE_TIMEOUT_SHARE = 0.25
MIN_STORE_TIMEOUT_S = 0.6
# Duration of a watch request, as a fraction of a controller's lease. If a request hangs, the cache is stale until it
# times out; so it lasts no longer than the interval between renewals of the lease, which also makes watches no more
# frequent than renewals.
WATCH_SHARE = 0.25
# pause after a failed watch, as a fraction of the workers' lease
WATCH_RETRY_SHARE = 0.1
# timeout of idle connections, as a multiple of the workers' lease
IDLE_TIMEOUT_LEASES = 2.0
# timeout for receiving a request's body, unless half of the workers' lease is shorter
MAX_BODY_S = 5.0


class Controller:
    """The components of one controller.

    Components are created bottom-up, beginning with the client of the key-value store, and get their dependencies as
    constructor arguments. Where two depend on each other, the first gets a function that looks the second up when it
    is called.
    """

    def __init__(self, settings: Settings, connect: Callable[..., HttpClient] = HttpClient) -> None:
        """Create all components without starting threads; `connect` creates each HTTP client."""
        self.settings = settings
        self._connect = connect
        self._create_store_client()
        self._create_coordination()
        self._create_record_writers()
        self._create_scheduler()
        self._create_machine_management()
        self._create_api()

    def _create_store_client(self) -> None:
        """Create the client of the key-value store, and the caches of its contents."""
        settings = self.settings
        self.state = KeyValueClient(
            settings.state,
            settings.store_limits,
            settings.controller_count,
            max(MIN_STORE_TIMEOUT_S, settings.controller_lease_s * STORE_TIMEOUT_SHARE),
            self._connect,
        )
        lock = threading.RLock()  # shared, so that a change becomes visible in both caches at once
        self.job_cache = JobCache(lock, MAX_CACHED_FINAL_STATES)
        self.cache = WatchCache(
            self.state,
            self._on_change,
            lock,
            watch_s=settings.controller_lease_s * WATCH_SHARE,
            retry_pause_s=WATCH_RETRY_SHARE * settings.lease_s,
        )
        self.schema_version = SchemaVersion(settings, self.state, self.cache)

    def _create_coordination(self) -> None:
        """Create what handles leases and shards, peers, and connections to workers."""
        settings = self.settings
        self.machine_registry = MachineRegistry()
        self.coordinator = Coordinator(
            settings,
            self.state,
            self.cache,
            # looked up when called, since the dispatcher depends on the coordinator
            lambda grant: self.command_dispatcher.on_shard_acquired(grant),
            self.schema_version,
            lambda node, shard: self.peer_exchange.has_reported_holding(node, shard),
        )
        self.peer_exchange = PeerExchange(settings, self.peer_frame, self.coordinator.learn_holders)
        self.command_dispatcher = CommandDispatcher(
            settings,
            self.job_cache,
            self.machine_registry,
            self.coordinator,
            self.peer_exchange,
            self._wake_scheduler,
            self._connect,
        )

    def _create_record_writers(self) -> None:
        self.quota_rebalancer = QuotaRebalancer(
            self.settings, self.cache, self.job_cache, self.schema_version, self.coordinator.held_zones
        )
        self.record_limits = RecordLimits(self.settings.store_limits, self.schema_version, self.state.writes_per_s)
        self.job_writer = JobWriter(self.cache, self.job_cache, self.quota_rebalancer, self.record_limits)
        self.cancellation_sealer = CancellationSealer(self.job_cache, self.job_writer)
        self.final_lookup = FinalRecordLookup(self.state, self.job_cache)

    def _create_scheduler(self) -> None:
        self.scheduling_loop = SchedulingLoop(
            self.settings,
            self.coordinator,
            self.job_cache,
            self.machine_registry,
            self.job_writer,
            self.quota_rebalancer,
            self._machine_types,
            self.command_dispatcher.send,
            self.peer_exchange.crash_looping_jobs,
            self.final_lookup.look_up,
        )

    def _create_machine_management(self) -> None:
        """Create what rents machines and what probes whether they are reachable."""
        self.zone_probe = ZoneProbe(
            self.settings, self.coordinator, self.peer_exchange, self.machine_registry, self._connect
        )
        self.autoscaler = Autoscaler(
            self.settings,
            self.coordinator,
            self.peer_exchange,
            self.job_cache,
            self.machine_registry,
            self.job_writer,
            self.scheduling_loop,
            self.zone_probe,
            self._connect,
        )
        self._peer_frame_builder = PeerFrameBuilder(
            self.settings,
            self.cache,
            self.coordinator,
            self.schema_version,
            self.machine_registry,
            self.scheduling_loop.completions,
            self.autoscaler,
            self.zone_probe,
        )

    def _create_api(self) -> None:
        """Create the handlers of users' requests and workers' heartbeats."""
        self.job_api = JobApi(
            self.settings,
            self.state,
            self.cache,
            self.job_cache,
            self.job_writer,
            self.schema_version,
            self.cancellation_sealer,
            self._machine_types,
            self.scheduling_loop.wake,
            self.final_lookup.look_up,
        )
        self.heartbeats = HeartbeatHandler(
            self.settings,
            self.cache,
            self.job_cache,
            self.machine_registry,
            self.coordinator,
            self.scheduling_loop.wake,
            self.zone_probe.record_report,
        )
        self.readiness = Readiness(self.settings, self.cache, self.peer_exchange, self._machine_types)
        self._router = Router(self.readiness, self.job_api, self.heartbeats.report)

    # Looked up when called, since the components that use them are created before those that provide them.

    def _wake_scheduler(self) -> None:
        self.scheduling_loop.wake()

    def _machine_types(self) -> dict[str, protocol.MachineType]:
        return self.autoscaler.types

    def peer_frame(self) -> dict[str, Any]:
        """Return the frame to be sent to peers now."""
        return self._peer_frame_builder.build()

    def _on_change(self, key: str, value: Any, version: int) -> None:
        """Apply a changed record to the caches and wake the loops that depend on it; called with the caches locked."""
        self.job_cache.on_change(key, value, version)
        if key == SCHEMA_VERSION_KEY and self.schema_version.supports_pipelines:
            # the store's limits announced for after the upgrade may apply from now on
            self.state.set_limits(self.settings.next_store_limits)
            self.record_limits.apply(self.settings.next_store_limits, self.state.writes_per_s)
            log.info("schema version %d is in force", self.schema_version.version)
        if key.startswith((JOB_PREFIX, HEAD_PREFIX, CHUNK_PREFIX, FINAL)):
            self.scheduling_loop.wake()
            self.cancellation_sealer.wake_if_needed()
        else:
            self.coordinator.wake.set()

    # Running

    def route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        """Answer a request; `body` reads its body. Propagates the errors of reading and parsing the body."""
        return self._router.route(method, path, body)

    def ready(self) -> bool:
        """Return whether the load balancer should send requests to this controller."""
        return self.readiness.is_ready()

    def start_threads(self) -> None:
        """Start all threads except for a server's; a server passes requests to `route`."""
        self.cache.start()
        self.coordinator.start()
        if self.settings.peers:
            self.peer_exchange.start()
        self.command_dispatcher.start()
        if self.settings.peers:
            self.zone_probe.start()
        self.scheduling_loop.start()
        self.cancellation_sealer.start()
        self.autoscaler.start()

    def start(self) -> Server:
        """Open the listening socket and start all threads; the caller has to run the returned server."""
        server = Server(
            self.settings.listen,
            self.route,
            idle_timeout_s=IDLE_TIMEOUT_LEASES * self.settings.lease_s,
            body_timeout_s=min(MAX_BODY_S, self.settings.lease_s / 2.0),
            max_connections=connection_limits.max_incoming_connections(self.settings),
            backlog=connection_limits.listen_backlog(self.settings),
            max_threads=connection_limits.connection_threads(self.settings),
        )
        self.start_threads()
        return server


def run(settings: Settings) -> None:
    """Run a controller until the process ends."""
    threading.stack_size(STACK_BYTES)
    gc.set_threshold(*GC_THRESHOLDS)
    server = Controller(settings).start()
    log.info("version %s, reads records up to schema version %d", __version__, NEWEST_VERSION)
    log.info("controller %s in zone %s listens on %s:%d", settings.name, settings.zone, *settings.listen)
    server.serve_forever(poll_interval=5.0)
