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
from tidebend.cluster_state.machine_registry import Fleet
from tidebend.coordination import Coordinator, PeerLink, block_of
from tidebend.settings import Settings
from tidebend.transport import HttpClient, NoAnswer, Unreachable

log = logging.getLogger("witness")

# so many of a zone's machines are asked at a time: if none of them answers, most are out of reach
SAMPLE = 6
# a zone that was heard, though its controller is gone, is asked again after this share of the workers' lease
QUIET_SHARE = 0.25


@dataclass
class Round:
    asked: int
    mute: int = 0
    answered: int = 0


class Witness:
    """Every controller asks some machines of a zone that is in doubt, whoever holds its block, and says what it hears.

    Guards against learning it one holder after the other, each from a silence of its own: by then the zone's
    controller had stopped answering its workers, and all that stood there was lost at once. Nothing ends because of
    what is said here: a claim needs its proof all the same.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        link: PeerLink,
        fleet: Fleet,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.link = link
        self.fleet = fleet
        self._came: dict[str, float] = {}  # block -> steady time at which a worker of it last came to us
        self._connect = connect
        self._rounds: dict[str, Round] = {}
        self._quiet_until: dict[str, float] = {}  # block -> steady time before which it isn't asked again
        self._rows: queue.Queue[tuple[Round, tuple[str, int]]] = queue.Queue()
        self._lock = threading.Lock()
        self._timeout = min(2.0, settings.report_s)

    def start(self) -> None:
        for number in range(SAMPLE):
            threading.Thread(target=self._run, name=f"witness-{number}", daemon=True).start()

    def came(self, block: str) -> None:
        """A worker of the block has sent us a report, whoever holds it."""
        self._came[block] = time.monotonic()

    def came_ago(self) -> dict[str, float]:
        """For each block, how many seconds ago one of its workers last came to us, if that was within a lease."""
        now = time.monotonic()
        return {block: round(now - at, 3) for block, at in list(self._came.items()) if now - at < self.settings.lease_s}

    def _silent(self, name: str) -> bool:
        return time.monotonic() - self.link.peers[name].at > 3.0 * self.link.pause

    def look(self) -> None:
        """Judge the rounds that are over and begin new ones; to be called about once a second."""
        now = time.monotonic()
        for zone in self.settings.zones:
            block = block_of(zone)
            doubtful = self.coordinator.doubtful(block, self._silent)
            # Guards against taking a block back that we still can't hear, because what we said of it has grown old.
            given_up = self.coordinator.says_unheard(block)
            if not doubtful and not given_up:
                self._rounds.pop(block, None)
                continue
            if now - self._came.get(block, -1e9) < self._timeout + self.settings.report_s:
                if doubtful:
                    self.coordinator.hears(block)
                self._rounds.pop(block, None)
                continue
            ended = self._rounds.get(block)
            if ended is not None:
                with self._lock:
                    if ended.mute + ended.answered < ended.asked:
                        continue
                if ended.answered:
                    if doubtful:
                        self.coordinator.hears(block)
                    self._quiet_until[block] = now + QUIET_SHARE * self.settings.lease_s
                elif given_up or self.coordinator.left_alone(block) is not None:
                    self.coordinator.unheard(block, ended.asked, 2.0 * self.settings.lease_s)
            if now >= self._quiet_until.get(block, 0.0):
                self._begin(block, zone)
            else:
                self._rounds.pop(block, None)

    def addresses(self) -> dict[str, tuple[str, tuple[str, int]]]:
        """Of each machine that we or our peers know its zone and address."""
        known = {m.name: (m.zone, m.address) for m in self.fleet.all() if m.address is not None}
        for peer in self.link.peers.values():
            for name, _, zone, _, released, host, port, _ in peer.machines or ():
                if host and not released:
                    known.setdefault(name, (zone, (host, port)))
        return known

    def ask(self, address: tuple[str, int]) -> Round:
        """Ask one machine; the round tells whether it answered."""
        round_ = Round(1)
        self._rows.put((round_, address))
        return round_

    def _begin(self, block: str, zone: str) -> None:
        known = {name: address for name, (where, address) in self.addresses().items() if where == zone}
        with self.fleet.lock:
            chosen = sorted(name for name in known if name not in self.fleet.gone)
        chosen = random.sample(chosen, min(SAMPLE, len(chosen)))
        if not chosen:
            self._rounds.pop(block, None)
            return
        self._rounds[block] = round_ = Round(len(chosen))
        for name in chosen:
            self._rows.put((round_, known[name]))

    def _run(self) -> None:
        while True:
            try:
                self._ask(*self._rows.get())
            except Exception:
                log.exception("witness")

    def ask_next(self) -> bool:
        """Without threads of its own; False if there was nobody to ask."""
        with contextlib.suppress(queue.Empty):
            self._ask(*self._rows.get_nowait())
            return True
        return False

    def _ask(self, round_: Round, address: tuple[str, int]) -> None:
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
