"""The control service: construction of its parts, and the order of its start and shutdown."""

from __future__ import annotations

import json
import logging
import resource
import signal
import socket
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tidebend.access import AuthenticatedServer, KeyedClient, Keyring, create_keyring, parse_address
from tidebend.control.api import ControlApi
from tidebend.control.metrics import METRICS_PATH, Metrics
from tidebend.control.settings import CONTROLLER_NAME, ControlSettings
from tidebend.controller import Controller, connection_limits
from tidebend.kvstore import Engine, InProcessClient, StoreService
from tidebend.messages import JoinResponse, paths
from tidebend.provider import AgentProcesses, Provider
from tidebend.settings import StoreLimits
from tidebend.transport import Reply

log = logging.getLogger("control")

KEYS_FILE, ADDRESS_FILE, STORE_DIRECTORY, AGENTS_DIRECTORY = "keys.json", "address", "state", "agents"
STACK_BYTES = 256 * 1024
BODY_TIMEOUT_S = 10.0
# Connection threads of each auxiliary server: that of the key-value store, for debugging tools, and that of metrics.
AUXILIARY_THREADS = 100
MAX_AUXILIARY_SERVERS = 2
# Connections that may wait to be accepted, however few `connections` allows: all agents reconnect at once after the
# control service was down.
MIN_BACKLOG = 128


class PortInUseError(Exception):
    """Listening on an address failed; the text names the address and the reason."""


class Control:
    """The control service: key-value store, provider, controller and their HTTP servers."""

    def __init__(self, settings: ControlSettings, directory: Path) -> None:
        """Open the data directory and bind the servers.

        Raises DataDamagedError, DirectoryLockedError, StoreUnavailableError, KeyFileError, CertificateError or
        PortInUseError; the data directory is unchanged then.
        """
        self.settings = settings
        self.directory = directory
        self.engine = Engine(directory / STORE_DIRECTORY)
        try:
            self._wire()
        except BaseException:
            self.engine.close()
            raise

    def _wire(self) -> None:
        settings, directory = self.settings, self.directory
        keys = directory / KEYS_FILE
        if not keys.exists():
            create_keyring(keys)
        self.keyring = Keyring(keys)
        self._tls = settings.tls.client_context() if settings.tls else None
        state = settings.state
        limits = StoreLimits(
            state.requests_per_s, state.changes_per_s, int(state.value_kb * 1024), state.changes_a_transaction
        )
        self.store_service = StoreService(self.engine, limits)
        bind_address = self._bind_address()
        # The number of threads depends on the settings alone, so the port needn't be known yet.
        unbound_settings = settings.controller_settings(bind_address[1], bind_address[0])
        threads = connection_limits.connection_threads(unbound_settings) - MAX_AUXILIARY_SERVERS * AUXILIARY_THREADS
        _warn_if_too_few_files(settings.connections)
        self.server = self._create_server(
            bind_address, lambda *_: Reply(503, {"error": "starting"}, {"Retry-After": "1"}), threads
        )
        self.address = f"{self.server.host}:{self.server.port}"
        own_settings = settings.controller_settings(self.server.port, self.server.host)
        processes = AgentProcesses(
            directory / AGENTS_DIRECTORY, self.address, keys.absolute(), settings.agents_alone_leases, settings.tls
        )
        self.provider = Provider(
            self.engine,
            settings.zone,
            settings.machines,
            processes,
            self._connect,
            lambda name: self.api.address_of(name),
        )
        self.controller = Controller(own_settings, self._connector(own_settings.state, own_settings.cloud))
        self.api = ControlApi(
            self.engine, self.controller, self.provider, self._join_response, self._connect, settings.times.gang_peer_s
        )
        self.servers = [self.server]
        if state.listen:
            self.servers.append(self._create_server(parse_address(state.listen), self._store_route, AUXILIARY_THREADS))
        if settings.metrics_listen:
            metrics = Metrics(self.engine, self.controller, self.provider, self.server)
            self.servers.append(
                self._create_server(
                    parse_address(settings.metrics_listen),
                    lambda method, path, _: (
                        metrics.answer()
                        if (method, path) == ("GET", METRICS_PATH)
                        else Reply(404, {"error": "no such path"})
                    ),
                    AUXILIARY_THREADS,
                )
            )

    def _bind_address(self) -> tuple[str, int]:
        """Return the address to bind. Port 0 stands for the previous port, which running agents still connect to."""
        host, port = parse_address(self.settings.listen)
        address_file = self.directory / ADDRESS_FILE
        if port == 0 and address_file.exists():
            previous_host, _, previous_port = address_file.read_text().split()[0].rpartition(":")
            if previous_host == host and previous_port.isdigit():
                return host, int(previous_port)
        return host, port

    def _create_server(
        self, address: tuple[str, int], route: Callable[..., Reply], threads: int
    ) -> AuthenticatedServer:
        try:
            return AuthenticatedServer(
                address,
                route,
                self.keyring,
                2.0 * self.settings.times.lease_s,
                BODY_TIMEOUT_S,
                self.settings.connections,
                self.settings.tls.server_context() if self.settings.tls else None,
                max(MIN_BACKLOG, int(connection_limits.BACKLOG_SHARE * self.settings.connections)),
                threads,
            )
        except (OSError, socket.gaierror) as error:
            raise PortInUseError(
                f"{address[0]}:{address[1]}: {error.strerror or error}; set another `listen`, or 0 for a free port"
            ) from error

    def _connect(self, address: tuple[str, int], max_idle: int = 1) -> KeyedClient:
        return KeyedClient(address, self.keyring.bearer_token, max_idle, self._tls)

    def _connector(self, state: tuple[str, int], cloud: tuple[str, int]) -> Callable[..., Any]:
        """Return the controller's connect function: store and provider are called in process, agents over HTTP."""
        in_process = {state: InProcessClient(self.store_service), cloud: self.provider}

        def connect(address: tuple[str, int], max_idle: int = 4) -> Any:
            return in_process.get(address) or self._connect(address, max_idle)

        return connect

    def _join_response(self, kind: str) -> JoinResponse:
        times, resources = self.settings.times, self.provider.machine_type(kind)
        return JoinResponse(
            "",
            self.settings.zone,
            times.report_s,
            times.lease_s,
            times.gang_wait_s,
            times.gang_peer_s,
            resources.cpus,
            resources.gpus,
            resources.memory_gb,
            {CONTROLLER_NAME: self.address},
        )

    def _route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        if path.startswith(paths.CONTROL_API):
            return self.api.route(method, path, body)
        return self.controller.route(method, path, body)

    def _store_route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        raw = body()
        try:
            status, answer = self.store_service.handle(method, path, json.loads(raw) if raw else None)
        except ValueError:
            return Reply(400, {"error": "not JSON"})
        except TimeoutError:
            return Reply(503, {"error": "outcome unknown"})
        return Reply(status, answer)

    def start(self) -> None:
        """Start the controller, the servers and the provider."""
        self.controller.start_threads()
        self.server.route = self._route
        for server in self.servers:
            threading.Thread(
                target=server.serve_forever, kwargs={"poll_interval": 1.0}, name="door", daemon=True
            ).start()
        # Written once the address is served, and replaced atomically: a reader of the file can connect.
        new_file = self.directory / f"{ADDRESS_FILE}.new"
        authority = [str(Path(self.settings.tls.authority).absolute())] if self.settings.tls else []
        new_file.write_text("\n".join([self.address, *authority]) + "\n")
        new_file.replace(self.directory / ADDRESS_FILE)
        self.provider.start()
        log.info("control service listening on %s, data directory %s", self.address, self.directory)

    def stop(self) -> None:
        """Stop the local agents first, while they can still report; then the servers, then the store."""
        self.provider.stop()
        for server in self.servers:
            server.shutdown()
            server.server_close()
        self.engine.close()


def _warn_if_too_few_files(connections: int) -> None:
    """Log a warning if the limit of open files is below the number of connections alone."""
    max_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_files != resource.RLIM_INFINITY and max_files < connections:
        log.warning(
            "this process may open %d files, but `connections` is %d: raise `ulimit -n`", max_files, connections
        )


def run_control(settings: ControlSettings, directory: Path, ready: Callable[[Control], None] | None = None) -> int:
    """Serve until SIGTERM or SIGINT, and return the exit status.

    `ready` is called once the service accepts requests. Raises what Control raises.
    """
    threading.stack_size(STACK_BYTES)
    stopping = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopping.set())
    control = Control(settings, directory)
    control.start()
    if ready is not None:
        ready(control)
    stopping.wait()
    log.info("shutting down: stopping the local agents first")
    control.stop()
    return 0
