"""Wiring of the control service: what is started in which order, and how it ends."""

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
from tidebend.control.metrics import PATH, Metrics
from tidebend.control.settings import CONTROLLER, ControlSettings
from tidebend.controller import Controller, connection_limits
from tidebend.kvstore import Engine, InProcessClient, StoreService
from tidebend.messages import JoinResponse, paths
from tidebend.provider import AgentProcesses, Provider
from tidebend.settings import StoreLimits
from tidebend.transport import Reply

log = logging.getLogger("control")

KEYS_FILE, ADDRESS_FILE, STATE, AGENTS = "keys.json", "address", "state", "agents"
STACK_BYTES = 256 * 1024
BODY_S = 10.0
# for connections to each interface beside the main one: of tools that look at the state, and of metrics
AUXILIARY_THREADS = 100
MAX_AUXILIARY_SERVERS = 2
# connections that may wait to be taken, also where few are set: agents come back all at once when we were away
LEAST_BACKLOG = 128


class PortInUseError(Exception):
    """The address can't be listened on; the text says which and why."""


class Control:
    """The control service: key-value store, provider, controller and the servers in front of them."""

    def __init__(self, settings: ControlSettings, directory: Path) -> None:
        """Open the data directory and listen.

        Raises DataDamagedError, DirectoryLockedError, StoreUnavailableError, KeyFileError, CertificateError or
        PortInUseError; nothing is changed then.
        """
        self.settings = settings
        self.directory = directory
        self.engine = Engine(directory / STATE)
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
        self.ring = Keyring(keys)
        self._tls = settings.tls.client_context() if settings.tls else None
        state = settings.state
        limits = StoreLimits(
            state.requests_per_s, state.changes_per_s, int(state.value_kb * 1024), state.changes_a_transaction
        )
        self.state = StoreService(self.engine, limits)
        at = self._place()
        # the shares of threads follow from the settings alone, wherever we are going to listen
        shares = settings.controller_settings(at[1], at[0])
        threads = connection_limits.connection_threads(shares) - MAX_AUXILIARY_SERVERS * AUXILIARY_THREADS
        _warn_of_few_files(settings.connections)
        self.server = self._gate(at, lambda *_: Reply(503, {"error": "starting"}, {"Retry-After": "1"}), threads)
        self.address = f"{self.server.host}:{self.server.port}"
        own = settings.controller_settings(self.server.port, self.server.host)
        processes = AgentProcesses(
            directory / AGENTS, self.address, keys.absolute(), settings.agents_alone_leases, settings.tls
        )
        self.provider = Provider(
            self.engine,
            settings.zone,
            settings.machines,
            processes,
            self._connect,
            lambda name: self.desk.address_of(name),
        )
        self.controller = Controller(own, self._connector(own.state, own.cloud))
        self.desk = ControlApi(
            self.engine, self.controller, self.provider, self._terms, self._connect, settings.times.gang_peer_s
        )
        self.servers = [self.server]
        if state.listen:
            self.servers.append(self._gate(parse_address(state.listen), self._state_route, AUXILIARY_THREADS))
        if settings.metrics_listen:
            metrics = Metrics(self.engine, self.controller, self.provider, self.server)
            self.servers.append(
                self._gate(
                    parse_address(settings.metrics_listen),
                    lambda method, path, _: (
                        metrics.answer() if (method, path) == ("GET", PATH) else Reply(404, {"error": "no such path"})
                    ),
                    AUXILIARY_THREADS,
                )
            )

    def _place(self) -> tuple[str, int]:
        """Where to listen: as set, else where we were before, so that agents which outlived us find us again."""
        host, port = parse_address(self.settings.listen)
        known = self.directory / ADDRESS_FILE
        if port == 0 and known.exists():
            before, _, text = known.read_text().split()[0].rpartition(":")
            if before == host and text.isdigit():
                return host, int(text)
        return host, port

    def _gate(self, address: tuple[str, int], route: Callable[..., Reply], threads: int) -> AuthenticatedServer:
        try:
            return AuthenticatedServer(
                address,
                route,
                self.ring,
                2.0 * self.settings.times.lease_s,
                BODY_S,
                self.settings.connections,
                self.settings.tls.server_context() if self.settings.tls else None,
                max(LEAST_BACKLOG, int(connection_limits.BACKLOG_SHARE * self.settings.connections)),
                threads,
            )
        except (OSError, socket.gaierror) as error:
            raise PortInUseError(
                f"{address[0]}:{address[1]}: {error.strerror or error}; set another `listen`, or 0 for a free port"
            ) from error

    def _connect(self, address: tuple[str, int], max_idle: int = 1) -> KeyedClient:
        return KeyedClient(address, self.ring.bearer_token, max_idle, self._tls)

    def _connector(self, state: tuple[str, int], cloud: tuple[str, int]) -> Callable[..., Any]:
        """What the controller has for clients: state service and cloud are in this process, agents are not."""
        inside = {state: InProcessClient(self.state), cloud: self.provider}

        def connect(address: tuple[str, int], max_idle: int = 4) -> Any:
            return inside.get(address) or self._connect(address, max_idle)

        return connect

    def _terms(self, kind: str) -> JoinResponse:
        times, amounts = self.settings.times, self.provider.machine_type(kind)
        return JoinResponse(
            "",
            self.settings.zone,
            times.report_s,
            times.lease_s,
            times.gang_wait_s,
            times.gang_peer_s,
            amounts.cpus,
            amounts.gpus,
            amounts.memory_gb,
            {CONTROLLER: self.address},
        )

    def _route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        if path.startswith(paths.CONTROL_API):
            return self.desk.route(method, path, body)
        return self.controller.route(method, path, body)

    def _state_route(self, method: str, path: str, body: Callable[[], bytes]) -> Reply:
        raw = body()
        try:
            status, answer = self.state.handle(method, path, json.loads(raw) if raw else None)
        except ValueError:
            return Reply(400, {"error": "not JSON"})
        except TimeoutError:
            return Reply(503, {"error": "the outcome isn't known"})
        return Reply(status, answer)

    def start(self) -> None:
        """Begin to serve."""
        self.controller.start_threads()
        self.server.route = self._route
        for gate in self.servers:
            threading.Thread(target=gate.serve_forever, kwargs={"poll_interval": 1.0}, name="door", daemon=True).start()
        # only once it is served there: whoever reads it finds us
        beside = self.directory / f"{ADDRESS_FILE}.new"
        trusted = [str(Path(self.settings.tls.authority).absolute())] if self.settings.tls else []
        beside.write_text("\n".join([self.address, *trusted]) + "\n")
        beside.replace(self.directory / ADDRESS_FILE)
        self.provider.start()
        log.info("the control service listens on %s, its data is in %s", self.address, self.directory)

    def end(self) -> None:
        """Agents here first, while they can still report; then the door, then the store."""
        self.provider.stop()
        for gate in self.servers:
            gate.shutdown()
            gate.server_close()
        self.engine.close()


def _warn_of_few_files(connections: int) -> None:
    """Say so in the log where this process can't have so many connections, whatever else it has open."""
    may, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if may != resource.RLIM_INFINITY and may < connections:
        log.warning("this process may open %d files, but `connections` is %d: raise `ulimit -n`", may, connections)


def run_control(settings: ControlSettings, directory: Path, ready: Callable[[Control], None] | None = None) -> int:
    """Until SIGTERM or SIGINT; the exit status. `ready` is called once it serves. Raises what Control does."""
    threading.stack_size(STACK_BYTES)
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    control = Control(settings, directory)
    control.start()
    if ready is not None:
        ready(control)
    ended.wait()
    log.info("ending: agents first")
    control.end()
    return 0
