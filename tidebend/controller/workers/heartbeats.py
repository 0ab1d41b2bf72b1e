"""The workers' API: reports in, commands out."""

from __future__ import annotations

import contextlib
import logging
import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from tidebend import protocol
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine_registry import MachineRegistry, cancelled_stops, commands_for
from tidebend.controller import connection_limits
from tidebend.controller.api.job_api import parse_body, unavailable_reply
from tidebend.coordination import Coordinator, PeerExchange, ShardGrant, shard_of
from tidebend.kvclient import WatchCache
from tidebend.protocol import Invalid, Report
from tidebend.settings import Settings
from tidebend.transport import HttpClient, NoAnswer, Reply, Unreachable

log = logging.getLogger("workers")

# the newest reports of so many machines are kept in mind; of others a copy counts as news, as it does after a start
REMEMBERED = 10_000
# keeps a response far below the 64 KiB that a line may have
MOST_COMMANDS = 300


_Row = tuple[str, str, tuple[str, int], int]  # machine, zone, address, session


class HeartbeatHandler:
    def __init__(
        self,
        settings: Settings,
        cache: WatchCache,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        coordinator: Coordinator,
        wake: Callable[[], None],
        record_report: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.record_report = record_report
        self.cache = cache
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.coordinator = coordinator
        self.wake = wake
        self._newest: OrderedDict[str, tuple[int, int]] = OrderedDict()  # machine -> session and sequence
        self._newest_lock = threading.Lock()

    def _is_news(self, report: Report) -> bool:
        """Whether a report is newer than all that came to us from its machine, whoever holds it.

        Guards against copies that come late: they would have a lost zone taken for heard.
        """
        number = report.session, report.sequence
        with self._newest_lock:
            if number <= self._newest.get(report.machine, (0, 0)):
                return False
            self._newest[report.machine] = number
            self._newest.move_to_end(report.machine)
            while len(self._newest) > REMEMBERED:
                self._newest.popitem(last=False)
        return True

    def _check(self, report: Report) -> None:
        """What the body alone doesn't show: a zone that there isn't, a machine that has become another."""
        if report.zone not in self.settings.zones:
            raise Invalid(f"harbor: expected one of {', '.join(self.settings.zones)}")
        with self.machine_registry.lock:
            known = self.machine_registry.machines.get(report.machine)
        if known is not None and (known.type, known.zone, known.spot) != (report.type, report.zone, report.spot):
            raise Invalid(f"vessel: {report.machine} is a {known.type} in {known.zone}{' (spot)' * known.spot}")

    def report(self, raw: bytes) -> Reply:
        try:
            report = protocol.parse_report(parse_body(raw))
            self._check(report)
        except Invalid as error:
            log.info("a report is refused: %s", error)
            return Reply(400, {"error": str(error)})
        shard = shard_of(report.zone)
        if self._is_news(report):
            self.record_report(shard)
        grant = self.coordinator.grant(shard)
        if grant is not None and report.token > grant.token:
            self.coordinator.observe_higher_token(shard, report.token)
            grant = None
        if grant is None:
            holder = self.coordinator.holder(shard)
            if holder is None or holder == self.settings.name:
                return unavailable_reply("no holder")
            return Reply(421, protocol.report_elsewhere(holder))
        # Bounded staleness: somebody may have been told since our last read that a job is cancelled, whose tasks an
        # answer would keep alive. What the report says is taken over all the same. Guards a fleet that reported
        # throughout and was given back for its silence as soon as the state service was there again.
        stale = self.cache.age_s > self.settings.staleness_bound_s
        with self.machine_registry.lock:
            before = self.machine_registry.machines.get(report.machine)
            seen = {key: task.state for key, task in before.tasks.items()} if before else None
            machine = self.machine_registry.record_heartbeat(report, token=0 if stale else grant.token)
            if machine is None:
                return unavailable_reply("a late report")
            changed = seen != {key: task.state for key, task in machine.tasks.items()}
            commands = []
            if not stale:
                allocations = self.job_cache.on_machine(machine.name)
                commands = (
                    commands_for(machine, allocations, grant.token, direct=False)
                    if self.coordinator.lease_valid
                    else cancelled_stops(machine, allocations)
                )[:MOST_COMMANDS]
        if changed:
            self.wake()
        if stale:
            return unavailable_reply("the last read of the state service is too old")
        return Reply(200, protocol.report_answer(grant.token, commands))


class CommandDispatcher:
    """Direct commands: starts and stops reach a worker at once, not only with its next report."""

    THREADS = 3

    def __init__(
        self,
        settings: Settings,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        wake: Callable[[], None],
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        self.settings = settings
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.wake = wake
        self._connect = connect
        self.coordinator: Coordinator
        self.peer_exchange: PeerExchange
        # Guards against commands for healthy machines that wait behind time-outs: when a zone is cut, dozens of
        # machines are silent at a time.
        self._healthy: queue.Queue[_Row] = queue.Queue()
        self._silent: queue.Queue[_Row] = queue.Queue()
        self._queued: set[str] = set()  # each machine stands in a queue once at most, which bounds them
        self._clients: OrderedDict[tuple[str, int], HttpClient] = OrderedDict()  # the most recently used ones
        self._lock = threading.Lock()
        self._timeout = min(2.0, settings.report_s)

    def start(self) -> None:
        for number in range(self.THREADS + connection_limits.asking(self.settings)):
            rows = self._healthy if number < self.THREADS else self._silent
            threading.Thread(target=self._run, args=(rows,), name=f"dispatch-{number}", daemon=True).start()

    def send(self, names: set[str]) -> None:
        """Have the recorded claims and stops of these machines carried out."""
        for name in sorted(names):
            with self.machine_registry.lock:
                machine = self.machine_registry.machines.get(name)
                if machine is None or machine.address is None:
                    continue
                row = (name, machine.zone, machine.address, machine.session)
                silent = (
                    time.monotonic() - max(machine.last_heartbeat, machine.last_direct_answer)
                    > 2.0 * self.settings.report_s
                )
            self._put(row, self._silent if silent else self._healthy)

    def _put(self, row: _Row, rows: queue.Queue[_Row]) -> None:
        with self._lock:
            if row[0] in self._queued:
                return
            self._queued.add(row[0])
        rows.put_nowait(row)

    def on_shard_acquired(self, grant: ShardGrant) -> None:
        """A block has become ours: let the workers that peers and we ourselves know there learn the token."""
        rows = {
            m.name: (m.name, m.zone, m.address, m.session)
            for m in self.machine_registry.all()
            if shard_of(m.zone) == grant.shard and m.address is not None
        }
        for peer in self.peer_exchange.peers.values():
            for name, _, zone, _, released, host, port, session in peer.machines or ():
                if not released and shard_of(zone) == grant.shard and host:
                    rows.setdefault(name, (name, zone, (host, port), session))
        for row in rows.values():
            self._put(row, self._silent)  # whether they can be reached from here is what we want to know

    def _run(self, rows: queue.Queue[_Row]) -> None:
        while True:
            try:
                self._deliver_row(rows.get())
            except Exception:
                log.exception("direct commands")

    def send_next(self) -> bool:
        """Without threads of its own; False if there was nothing to send."""
        for rows in (self._healthy, self._silent):
            with contextlib.suppress(queue.Empty):
                self._deliver_row(rows.get_nowait())
                return True
        return False

    def _deliver_row(self, row: _Row) -> None:
        name, zone, address, session = row
        with self._lock:
            self._queued.discard(name)
            client = self._clients.get(address)
            if client is None:
                client = self._clients[address] = self._connect(address, keep=1)
            self._clients.move_to_end(address)
            too_many = len(self._clients) > connection_limits.kept(self.settings)
            old = self._clients.popitem(last=False)[1] if too_many else None
        if old is not None:
            old.close()
        self._deliver(name, zone, session, client)

    def _deliver(self, name: str, zone: str, session: int, client: HttpClient) -> None:
        grant = self.coordinator.grant(shard_of(zone))
        if grant is None:
            return
        valid = self.coordinator.lease_valid
        with self.machine_registry.lock:
            machine = self.machine_registry.machines.get(name)
            commands = []
            silent = False
            if machine is not None:
                session = machine.session
                allocations = self.job_cache.on_machine(name)
                if machine.token <= grant.token:
                    commands = (
                        commands_for(machine, allocations, grant.token, direct=True)
                        if valid
                        else cancelled_stops(machine, allocations)
                    )[:MOST_COMMANDS]
                silent = time.monotonic() - machine.last_heartbeat > 2.0 * self.settings.report_s
            # without a lease nothing but those stops goes out, not even our token
            if not commands and (not valid or machine is not None and machine.token >= grant.token and not silent):
                return
        mine = {(c.job, c.index, c.attempt) for c in commands if c.op == "start"}
        path, body = protocol.direct_commands(grant.token, session, commands)
        try:
            status, answer = client.request("POST", path, body, self._timeout)
        except Unreachable:
            self._settled(name, mine, grant.token)
            return
        except NoAnswer as error:
            log.info("direct commands to %s: %s", name, error)
            return  # they may be executed yet: the starts stay doubtful
        if status not in (200, 409):
            log.error("machine %s: unexpected %s to direct commands", name, status)
            return
        try:
            report = protocol.parse_report(answer)
        except Invalid as error:
            log.error("machine %s: unexpected answer: %s", name, error)
            return
        with self.machine_registry.lock:
            machine = self.machine_registry.record_heartbeat(report, direct=True)
        self._settled(name, mine, grant.token)
        if machine is not None:
            self.wake()

    def _settled(self, name: str, starts: set[tuple[str, int, int]], token: int) -> None:
        """The outcome of these starts is known: carried out or never."""
        with self.machine_registry.lock:
            machine = self.machine_registry.machines.get(name)
            for key in starts if machine else ():
                if machine.uncertain_starts.get(key, (0, 0.0))[0] == token:
                    del machine.uncertain_starts[key]
