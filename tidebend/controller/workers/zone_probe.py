"""Probes of zones that may be cut off: whether this controller can reach their machines."""

from __future__ import annotations

import contextlib
import logging
import math
import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from tidebend import protocol
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.workers.peer_machines import machines_of
from tidebend.coordination import Coordinator, PeerExchange, shard_of
from tidebend.settings import Settings
from tidebend.threads import start_daemon
from tidebend.transport import HttpClient, NoAnswerError, UnreachableError

log = logging.getLogger("zone_probe")

Address = tuple[str, int]  # host, port

# so many of a zone's machines are probed at a time: if none of them answers, most are out of reach
SAMPLE_SIZE = 6
# a zone that can be reached, though its controller can't, is probed again after this share of the workers' lease
BACKOFF_LEASES = 0.25
# other controllers should hold an unreachable shard for so many of the workers' leases
MARK_LEASES = 2.0
# a controller that has sent no peer frame for so many intervals is taken to be out of touch
SILENT_EXCHANGES = 3.0
MAX_TIMEOUT_S = 2.0


@dataclass
class ProbeRound:
    """Probes that were sent together, and what came of them so far."""

    sent: int
    unanswered: int = 0
    answered: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the outcome of each probe is known."""
        return self.unanswered + self.answered >= self.sent


class MachineLocation(NamedTuple):
    """Where a machine is, and the address of its worker."""

    zone: str
    address: Address


class _Probe(NamedTuple):
    round: ProbeRound
    address: Address


class ZoneProbe:
    """Probes some machines of each zone that may be cut off, whoever holds its shard, and announces what it finds.

    Without it, one holder after the other found a zone unreachable, each after waiting for its machines to become
    unresponsive: by then the zone's own controller had stopped answering its workers, and all that stood there was lost
    at once. No task ends because of a probe: an allocation is cleared by proof only.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        machine_registry: MachineRegistry,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        """`connect` makes a client for each probe."""
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._machine_registry = machine_registry
        self._connect = connect
        self._last_report: dict[str, float] = {}  # shard -> steady time at which a worker of it last reported to us
        self._rounds: dict[str, ProbeRound] = {}  # shard -> its latest round
        self._backoff_until: dict[str, float] = {}  # shard -> steady time before which it isn't probed again
        self._queue: queue.Queue[_Probe] = queue.Queue()
        self._lock = threading.Lock()
        self._timeout_s = min(MAX_TIMEOUT_S, settings.report_s)

    def start(self) -> None:
        """Start the threads that send probes: one for each machine of a round."""
        for number in range(SAMPLE_SIZE):
            start_daemon(f"zone-probe-{number}", self._run)

    def record_report(self, shard: str) -> None:
        """A worker of the shard has sent us a report, whoever holds the shard."""
        self._last_report[shard] = time.monotonic()

    def report_ages(self) -> dict[str, float]:
        """For each shard, how many seconds ago one of its workers last reported to us, if that was within a lease."""
        now = time.monotonic()
        return {
            shard: round(now - at, 3)
            for shard, at in list(self._last_report.items())
            if now - at < self._settings.lease_s
        }

    def _is_out_of_touch(self, node: str) -> bool:
        silent_s = time.monotonic() - self._peer_exchange.peers[node].received_at
        return silent_s > SILENT_EXCHANGES * self._peer_exchange.send_interval_s

    def check_zones(self) -> None:
        """Evaluate the rounds that are complete and begin new ones; to be called about once a second."""
        now = time.monotonic()
        for zone in self._settings.zones:
            self._check_zone(zone, shard_of(zone), now)

    def _check_zone(self, zone: str, shard: str, now: float) -> None:
        is_suspected = self._coordinator.is_suspected(shard, self._is_out_of_touch)
        # Otherwise we would take a shard back that we still can't reach, once our announcement has expired.
        is_marked = self._coordinator.is_marked_unreachable(shard)
        if not is_suspected and not is_marked:
            self._rounds.pop(shard, None)
            return
        if now - self._last_report.get(shard, -math.inf) < self._timeout_s + self._settings.report_s:
            if is_suspected:
                self._coordinator.clear_unreachable(shard)
            self._rounds.pop(shard, None)
            return
        latest = self._rounds.get(shard)
        if latest is not None:
            with self._lock:
                if not latest.is_complete:
                    return
            self._evaluate(shard, latest, is_suspected, is_marked, now)
        if now >= self._backoff_until.get(shard, 0.0):
            self._begin_round(shard, zone)
        else:
            self._rounds.pop(shard, None)

    def _evaluate(self, shard: str, complete: ProbeRound, is_suspected: bool, is_marked: bool, now: float) -> None:
        if complete.answered:
            if is_suspected:
                self._coordinator.clear_unreachable(shard)
            self._backoff_until[shard] = now + BACKOFF_LEASES * self._settings.lease_s
        elif is_marked or self._coordinator.isolated_holder(shard) is not None:
            self._coordinator.mark_unreachable(shard, complete.sent, MARK_LEASES * self._settings.lease_s)

    def addresses(self) -> dict[str, MachineLocation]:
        """Where the machines are whose address we or our peers know, by name."""
        known = {
            machine.name: MachineLocation(machine.zone, machine.address)
            for machine in self._machine_registry.all()
            if machine.address is not None
        }
        for peer in self._peer_exchange.peers.values():
            for row in machines_of(peer):
                if row.host and not row.released:
                    known.setdefault(row.name, MachineLocation(row.zone, (row.host, row.port)))
        return known

    def probe(self, address: Address) -> ProbeRound:
        """Have one machine probed; the round shows whether it answered."""
        single = ProbeRound(1)
        self._queue.put(_Probe(single, address))
        return single

    def _begin_round(self, shard: str, zone: str) -> None:
        in_zone = {name: location.address for name, location in self.addresses().items() if location.zone == zone}
        with self._machine_registry.lock:
            candidates = sorted(name for name in in_zone if name not in self._machine_registry.released_at)
        sample = random.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        if not sample:
            self._rounds.pop(shard, None)
            return
        new = ProbeRound(len(sample))
        self._rounds[shard] = new
        for name in sample:
            self._queue.put(_Probe(new, in_zone[name]))

    def _run(self) -> None:
        while True:
            try:
                self._send(self._queue.get())
            except Exception:
                log.exception("zone probe")

    def probe_next(self) -> bool:
        """Send one probe on the caller's thread; False if none is waiting."""
        with contextlib.suppress(queue.Empty):
            self._send(self._queue.get_nowait())
            return True
        return False

    def _send(self, probe: _Probe) -> None:
        has_answered = False
        try:
            self._connect(probe.address, max_idle=0).request("GET", protocol.PATH_WORKER_STATUS, None, self._timeout_s)
            has_answered = True
        except (UnreachableError, NoAnswerError) as error:
            log.debug("%s:%d: %s", *probe.address, error)
        finally:
            with self._lock:
                probe.round.answered += has_answered
                probe.round.unanswered += not has_answered
