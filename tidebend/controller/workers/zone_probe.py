"""Probes of suspected zones: whether this controller can reach their machines."""

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

# number of a zone's machines probed in a round; if none of them answers, most of the zone is unreachable
SAMPLE_SIZE = 6
# delay before probing a suspected but reachable zone again, as a multiple of the workers' lease
BACKOFF_LEASES = 0.25
# time for which a shard stays marked as unreachable from here, so that another controller holds it, as a multiple of
# the workers' lease
MARK_LEASES = 2.0
# time without a peer frame after which a controller counts as unresponsive, as a multiple of the sending interval
PEER_SILENCE_INTERVALS = 3.0
MAX_TIMEOUT_S = 2.0


@dataclass
class ProbeRound:
    """Probes that were sent together, and their outcomes so far."""

    sent: int
    unanswered: int = 0
    answered: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the outcomes of all probes are known."""
        return self.unanswered + self.answered >= self.sent


class MachineLocation(NamedTuple):
    """A machine's zone and the address of its worker."""

    zone: str
    address: Address


class _Probe(NamedTuple):
    round: ProbeRound
    address: Address


class ZoneProbe:
    """Probes some machines of each suspected zone, whoever holds its shard, and announces unreachable zones.

    Without probes, one holder after another found a zone unreachable, each only after waiting for its machines to
    become unresponsive. By then the zone's own controller had stopped answering its workers, and all tasks there were
    lost at the same time. Probes don't end tasks: an allocation is removed only on proof that its task no longer runs.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        machine_registry: MachineRegistry,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        """`connect` creates a client for each probe."""
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._machine_registry = machine_registry
        self._connect = connect
        self._last_report: dict[str, float] = {}  # shard -> monotonic time of the last report to us
        self._rounds: dict[str, ProbeRound] = {}  # shard -> latest round
        self._backoff_until: dict[str, float] = {}  # shard -> monotonic time of its next probes
        self._queue: queue.Queue[_Probe] = queue.Queue()
        self._lock = threading.Lock()
        self._timeout_s = min(MAX_TIMEOUT_S, settings.report_s)

    def start(self) -> None:
        """Start the threads that send probes: one per machine of a round."""
        for number in range(SAMPLE_SIZE):
            start_daemon(f"zone-probe-{number}", self._run)

    def record_report(self, shard: str) -> None:
        """Record that a worker of the shard has sent us a report, whoever holds the shard."""
        self._last_report[shard] = time.monotonic()

    def report_ages(self) -> dict[str, float]:
        """Return, by shard, the age in seconds of the last report to us, if it is less than a worker's lease."""
        now = time.monotonic()
        return {
            shard: round(now - at, 3)
            for shard, at in list(self._last_report.items())
            if now - at < self._settings.lease_s
        }

    def _is_peer_unresponsive(self, node: str) -> bool:
        silence_s = time.monotonic() - self._peer_exchange.peers[node].received_at
        return silence_s > PEER_SILENCE_INTERVALS * self._peer_exchange.send_interval_s

    def check_zones(self) -> None:
        """Evaluate complete rounds and begin new ones; to be called about once per second."""
        now = time.monotonic()
        for zone in self._settings.zones:
            self._check_zone(zone, shard_of(zone), now)

    def _check_zone(self, zone: str, shard: str, now: float) -> None:
        is_suspected = self._coordinator.is_suspected(shard, self._is_peer_unresponsive)
        # A marked zone is probed too, or we would acquire its shard again after the mark expires, though unreachable.
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
        """Return, by name, the locations of the machines whose addresses we or our peers know."""
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
        """Queue a probe of one machine; return the round that will have its outcome."""
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
                log.exception("probing a machine failed")

    def probe_next(self) -> bool:
        """Send one queued probe on the caller's thread; return False if none is queued."""
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
            log.debug("no answer to a probe of %s:%d: %s", *probe.address, error)
        finally:
            with self._lock:
                probe.round.answered += has_answered
                probe.round.unanswered += not has_answered
