"""Whether a zone's machines can be heard from here, asked as soon as it is in doubt."""

from __future__ import annotations

import contextlib
import logging
import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from tidebend import protocol
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.coordination import Coordinator, PeerExchange, shard_of
from tidebend.settings import Settings
from tidebend.transport import HttpClient, NoAnswer, Unreachable

log = logging.getLogger("witness")

# so many of a zone's machines are asked at a time: if none of them answers, most are out of reach
SAMPLE = 6
# a zone that was heard, though its controller is gone, is asked again after this share of the workers' lease
QUIET_SHARE = 0.25


@dataclass
class ProbeRound:
    asked: int
    mute: int = 0
    answered: int = 0


class ZoneProbe:
    """Every controller asks some machines of a zone that is in doubt, whoever holds its block, and says what it hears.

    Guards against learning it one holder after the other, each from a silence of its own: by then the zone's
    controller had stopped answering its workers, and all that stood there was lost at once. Nothing ends because of
    what is said here: a claim needs its proof all the same.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        machine_registry: MachineRegistry,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.peer_exchange = peer_exchange
        self.machine_registry = machine_registry
        self._last_report: dict[str, float] = {}  # block -> steady time at which a worker of it last came to us
        self._connect = connect
        self._rounds: dict[str, ProbeRound] = {}
        self._quiet_until: dict[str, float] = {}  # block -> steady time before which it isn't asked again
        self._rows: queue.Queue[tuple[ProbeRound, tuple[str, int]]] = queue.Queue()
        self._lock = threading.Lock()
        self._timeout = min(2.0, settings.report_s)

    def start(self) -> None:
        for number in range(SAMPLE):
            threading.Thread(target=self._run, name=f"witness-{number}", daemon=True).start()

    def record_report(self, shard: str) -> None:
        """A worker of the block has sent us a report, whoever holds it."""
        self._last_report[shard] = time.monotonic()

    def report_ages(self) -> dict[str, float]:
        """For each block, how many seconds ago one of its workers last came to us, if that was within a lease."""
        now = time.monotonic()
        return {
            shard: round(now - at, 3)
            for shard, at in list(self._last_report.items())
            if now - at < self.settings.lease_s
        }

    def _silent(self, name: str) -> bool:
        return time.monotonic() - self.peer_exchange.peers[name].at > 3.0 * self.peer_exchange.pause

    def look(self) -> None:
        """Judge the rounds that are over and begin new ones; to be called about once a second."""
        now = time.monotonic()
        for zone in self.settings.zones:
            shard = shard_of(zone)
            doubtful = self.coordinator.is_suspected(shard, self._silent)
            # Guards against taking a block back that we still can't hear, because what we said of it has grown old.
            given_up = self.coordinator.is_marked_unreachable(shard)
            if not doubtful and not given_up:
                self._rounds.pop(shard, None)
                continue
            if now - self._last_report.get(shard, -1e9) < self._timeout + self.settings.report_s:
                if doubtful:
                    self.coordinator.clear_unreachable(shard)
                self._rounds.pop(shard, None)
                continue
            ended = self._rounds.get(shard)
            if ended is not None:
                with self._lock:
                    if ended.mute + ended.answered < ended.asked:
                        continue
                if ended.answered:
                    if doubtful:
                        self.coordinator.clear_unreachable(shard)
                    self._quiet_until[shard] = now + QUIET_SHARE * self.settings.lease_s
                elif given_up or self.coordinator.isolated_holder(shard) is not None:
                    self.coordinator.mark_unreachable(shard, ended.asked, 2.0 * self.settings.lease_s)
            if now >= self._quiet_until.get(shard, 0.0):
                self._begin(shard, zone)
            else:
                self._rounds.pop(shard, None)

    def addresses(self) -> dict[str, tuple[str, tuple[str, int]]]:
        """Of each machine that we or our peers know its zone and address."""
        known = {m.name: (m.zone, m.address) for m in self.machine_registry.all() if m.address is not None}
        for peer in self.peer_exchange.peers.values():
            for name, _, zone, _, released, host, port, _ in peer.machines or ():
                if host and not released:
                    known.setdefault(name, (zone, (host, port)))
        return known

    def ask(self, address: tuple[str, int]) -> ProbeRound:
        """Ask one machine; the round tells whether it answered."""
        round_ = ProbeRound(1)
        self._rows.put((round_, address))
        return round_

    def _begin(self, shard: str, zone: str) -> None:
        known = {name: address for name, (where, address) in self.addresses().items() if where == zone}
        with self.machine_registry.lock:
            chosen = sorted(name for name in known if name not in self.machine_registry.released_at)
        chosen = random.sample(chosen, min(SAMPLE, len(chosen)))
        if not chosen:
            self._rounds.pop(shard, None)
            return
        self._rounds[shard] = round_ = ProbeRound(len(chosen))
        for name in chosen:
            self._rows.put((round_, known[name]))

    def _run(self) -> None:
        while True:
            try:
                self._ask(*self._rows.get())
            except Exception:
                log.exception("witness")

    def probe_next(self) -> bool:
        """Without threads of its own; False if there was nobody to ask."""
        with contextlib.suppress(queue.Empty):
            self._ask(*self._rows.get_nowait())
            return True
        return False

    def _ask(self, round_: ProbeRound, address: tuple[str, int]) -> None:
        heard = False
        try:
            self._connect(address, keep=0).request("GET", protocol.PATH_SHOW, None, self._timeout)
            heard = True
        except (Unreachable, NoAnswer) as error:
            log.debug("%s:%d: %s", *address, error)
        finally:
            with self._lock:
                round_.answered += heard
                round_.mute += not heard
