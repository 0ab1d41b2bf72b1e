"""Direct commands: starts and stops sent to a worker without waiting for its next report."""

from __future__ import annotations

import contextlib
import logging
import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from tidebend import protocol
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.keys import TaskKey
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.cluster_state.reconciliation import commands_for, stop_commands_for_cancelled
from tidebend.cluster_state.start_tracking import StartTracker
from tidebend.controller import connection_limits
from tidebend.controller.workers.heartbeats import MAX_COMMANDS
from tidebend.controller.workers.peer_machines import machines_of
from tidebend.coordination import Coordinator, PeerExchange, ShardGrant, shard_of
from tidebend.protocol import Command, InvalidMessageError, Report
from tidebend.settings import Settings
from tidebend.threads import start_daemon
from tidebend.transport import HttpClient, NoAnswerError, UnreachableError

log = logging.getLogger("workers")

RESPONSIVE_THREADS = 3  # threads that send to responsive machines
# time since a machine's last contact after which it counts as unresponsive, as a multiple of the report interval
UNRESPONSIVE_REPORTS = 2.0
MAX_TIMEOUT_S = 2.0


class CommandTarget(NamedTuple):
    """A worker that commands are to be sent to."""

    machine: str
    zone: str
    address: tuple[str, int]  # host, port
    session: int


class _Request(NamedTuple):
    """Commands for a worker, with the fencing token to send."""

    token: int
    session: int
    commands: list[Command]
    tracker: StartTracker  # of the session, in which the starts among the commands are tracked

    @property
    def starts(self) -> set[TaskKey]:
        """The tasks to be started."""
        return {(command.job, command.index, command.attempt) for command in self.commands if command.op == "start"}


class CommandDispatcher:
    """Sends commands to workers on its own threads; each machine is queued at most once."""

    def __init__(
        self,
        settings: Settings,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        wake_scheduler: Callable[[], None],
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        """`wake_scheduler` is called when an answer contains a newer report of the machine."""
        self._settings = settings
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._wake_scheduler = wake_scheduler
        self._connect = connect
        # Two queues, so that commands for responsive machines don't wait behind timeouts: while a zone is unreachable,
        # dozens of machines are unresponsive at a time.
        self._responsive: queue.Queue[CommandTarget] = queue.Queue()
        self._unresponsive: queue.Queue[CommandTarget] = queue.Queue()
        self._queued: set[str] = set()  # names of the machines in either queue
        self._clients: OrderedDict[tuple[str, int], HttpClient] = OrderedDict()  # least recently used first
        self._lock = threading.Lock()
        self._timeout_s = min(MAX_TIMEOUT_S, settings.report_s)

    def start(self) -> None:
        """Start the threads of both queues."""
        for number in range(RESPONSIVE_THREADS + connection_limits.unresponsive_threads(self._settings)):
            targets = self._responsive if number < RESPONSIVE_THREADS else self._unresponsive
            start_daemon(f"dispatch-{number}", self._run, targets)

    def send(self, names: set[str]) -> None:
        """Queue these machines for the commands that follow from their recorded allocations and stops."""
        for name in sorted(names):
            with self._machine_registry.lock:
                machine = self._machine_registry.machines.get(name)
                if machine is None or machine.address is None:
                    continue
                target = CommandTarget(name, machine.zone, machine.address, machine.session)
                is_unresponsive = self._is_unresponsive(max(machine.last_heartbeat, machine.last_direct_answer))
            self._put(target, self._unresponsive if is_unresponsive else self._responsive)

    def _is_unresponsive(self, last_contact: float) -> bool:
        return time.monotonic() - last_contact > UNRESPONSIVE_REPORTS * self._settings.report_s

    def _put(self, target: CommandTarget, targets: queue.Queue[CommandTarget]) -> None:
        with self._lock:
            if target.machine in self._queued:
                return
            self._queued.add(target.machine)
        targets.put_nowait(target)

    def on_shard_acquired(self, grant: ShardGrant) -> None:
        """Queue the known workers of a shard that we have acquired, so that they learn its fencing token."""
        targets = {
            machine.name: CommandTarget(machine.name, machine.zone, machine.address, machine.session)
            for machine in self._machine_registry.all()
            if shard_of(machine.zone) == grant.shard and machine.address is not None
        }
        for peer in self._peer_exchange.peers.values():
            for row in machines_of(peer):
                if not row.released and shard_of(row.zone) == grant.shard and row.host:
                    target = CommandTarget(row.name, row.zone, (row.host, row.port), row.session)
                    targets.setdefault(row.name, target)
        for target in targets.values():
            self._put(target, self._unresponsive)  # not known to be reachable from here

    def _run(self, targets: queue.Queue[CommandTarget]) -> None:
        while True:
            try:
                self._serve(targets.get())
            except Exception:
                log.exception("sending direct commands failed")

    def send_next(self) -> bool:
        """Send one queued machine's commands on the caller's thread; return False if none is queued."""
        for targets in (self._responsive, self._unresponsive):
            with contextlib.suppress(queue.Empty):
                self._serve(targets.get_nowait())
                return True
        return False

    def _serve(self, target: CommandTarget) -> None:
        client = self._dequeue(target)
        request = self._build_request(target)
        if request is not None:
            self._send(target.machine, request, client)

    def _dequeue(self, target: CommandTarget) -> HttpClient:
        """Unmark a queued target and return its client; close the least recently used client above the limit."""
        with self._lock:
            self._queued.discard(target.machine)
            client = self._clients.get(target.address)
            if client is None:
                client = self._clients[target.address] = self._connect(target.address, max_idle=1)
            self._clients.move_to_end(target.address)
            is_over_limit = len(self._clients) > connection_limits.max_idle_worker_connections(self._settings)
            oldest = self._clients.popitem(last=False)[1] if is_over_limit else None
        if oldest is not None:
            oldest.close()
        return client

    def _build_request(self, target: CommandTarget) -> _Request | None:
        """Return the request for a worker, if any is due; one without commands only tells it our fencing token."""
        grant = self._coordinator.grant(shard_of(target.zone))
        if grant is None:
            return None
        lease_valid = self._coordinator.lease_valid
        with self._machine_registry.lock:
            machine = self._machine_registry.machines.get(target.machine)
            if machine is None:
                commands: list[Command] = []
                session, tracker, knows_token = target.session, StartTracker(), False
            else:
                commands = self._commands(machine, grant.token, lease_valid)
                session, tracker = machine.session, machine.starts
                knows_token = machine.token >= grant.token and not self._is_unresponsive(machine.last_heartbeat)
        # without a valid lease only stops of cancelled tasks are sent; a request for the token alone isn't
        if not commands and (not lease_valid or knows_token):
            return None
        return _Request(grant.token, session, commands, tracker)

    def _commands(self, machine: Machine, token: int, lease_valid: bool) -> list[Command]:
        """Return the commands for a machine; called under the machine registry's lock."""
        if machine.token > token:
            return []
        allocations = self._job_cache.allocations_on(machine.name)
        if lease_valid:
            commands = commands_for(machine, allocations, token, direct=True)
        else:
            commands = stop_commands_for_cancelled(machine, allocations)
        return commands[:MAX_COMMANDS]

    def _send(self, name: str, request: _Request, client: HttpClient) -> None:
        path, body = protocol.direct_commands(request.token, request.session, request.commands)
        try:
            status, answer = client.request("POST", path, body, self._timeout_s)
        except UnreachableError as error:
            starts = sorted(request.starts)
            log.info("machine %s: direct commands not sent, with the starts %s: %s", name, starts, error)
            self._withdraw_starts(name, request)
            return
        except NoAnswerError as error:
            starts = sorted(request.starts)
            log.info("machine %s: no answer to direct commands, with the starts %s: %s", name, starts, error)
            return  # they may still be executed: the outcome of the starts stays unknown
        if status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
            log.error("machine %s answered direct commands with unexpected status %s", name, status)
            return
        self._record_answer(name, request, answer, was_executed=status == HTTPStatus.OK)

    def _record_answer(self, name: str, request: _Request, answer: Any, was_executed: bool) -> None:
        try:
            report = protocol.parse_report(answer)
        except InvalidMessageError as error:
            log.error("machine %s answered direct commands with an invalid report: %s", name, error)
            return
        with self._machine_registry.lock:
            machine = self._machine_registry.record_heartbeat(report, direct=True)
        if was_executed:
            self._resolve_starts(request, report)
        else:
            self._withdraw_starts(name, request)
        if machine is not None:
            self._wake_scheduler()

    def _resolve_starts(self, request: _Request, report: Report) -> None:
        """Record that the worker knows the attempts that an executed request has started."""
        reported = {(task.job, task.index, task.attempt) for task in report.tasks}
        with self._machine_registry.lock:
            for key in request.starts & reported:
                request.tracker.resolve_direct_starts(key)

    def _withdraw_starts(self, name: str, request: _Request) -> None:
        """Record that a request wasn't and won't be executed; earlier ones with the same starts still may be."""
        with self._machine_registry.lock:
            for key in request.starts:
                request.tracker.withdraw_direct_start(key, request.token)
            uncertain = sorted(request.starts & request.tracker.uncertain.keys())
        if uncertain:
            log.info("machine %s: earlier direct starts may still be executed: %s", name, uncertain)
