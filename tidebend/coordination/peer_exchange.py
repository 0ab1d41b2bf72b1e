"""Sends frames to each peer, and keeps what each peer's last frame said."""

from __future__ import annotations

import logging
import random
import socket
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from tidebend.coordination.peer_frames import InvalidPeerFrameError, PeerFrame, PeerMachine
from tidebend.coordination.shards import ShardHolder
from tidebend.kvclient import NEVER
from tidebend.settings import Peer, Settings
from tidebend.transport import FrameServer, receive_frame, send_frame

log = logging.getLogger("coordination")

MAX_PAUSE_S = 1.0
# a connection on which nothing came for so many pauses is closed
IDLE_PAUSES = 10.0
# a frame that isn't acknowledged within so many pauses is given up, and its connection with it
TIMEOUT_PAUSES = 2.0


@dataclass
class PeerState:
    """What a peer's last frame said."""

    received_at: float = NEVER  # steady time at which the frame came
    as_of: float = NEVER  # time of day at which the peer's last completed read of the key-value store began
    machines: Sequence[PeerMachine] | None = None  # None: no frame has come yet
    shards: frozenset[str] = frozenset()  # those it holds
    # unknown to a peer before format 2, which then says nothing of them:
    crash_looping_jobs: frozenset[str] = frozenset()  # jobs that failed wherever it tried them
    report_times: dict[str, float] = field(default_factory=dict)  # shard -> steady time of a worker's last report to it

    def update(self, frame: PeerFrame, now: float) -> None:
        """Take over a frame that came at that steady time."""
        self.as_of = frame.state_as_of
        self.machines = frame.machines
        self.shards = frozenset(frame.held_shards)
        self.crash_looping_jobs = frozenset(frame.crash_looping_jobs or ())
        self.report_times = {shard: now - age_s for shard, age_s in (frame.report_ages_s or {}).items()}
        self.received_at = now


class PeerExchange:
    """Sends a frame to each peer about twice in a report interval, and receives theirs."""

    def __init__(
        self,
        settings: Settings,
        make_frame: Callable[[], dict[str, Any]],
        on_holders: Callable[[Mapping[str, ShardHolder]], None],
    ) -> None:
        """`make_frame`: a packed frame of ours; `on_holders` is called with the table of holders of each frame."""
        self.settings = settings
        self._make_frame = make_frame
        self._on_holders = on_holders
        self.send_interval_s = min(MAX_PAUSE_S, settings.report_s / 2.0)  # seconds from one frame to the next
        self.peers: dict[str, PeerState] = {peer.name: PeerState() for peer in settings.peers}

    def start(self) -> None:
        """Listen for the peers' frames, and start a thread for each peer that sends ours."""
        server = FrameServer(self.settings.peer_listen, self.receive, IDLE_PAUSES * self.send_interval_s)
        threading.Thread(target=server.serve_forever, name="peers", daemon=True).start()
        for peer in self.settings.peers:
            threading.Thread(target=self._send, args=(peer,), name=f"to-{peer.name}", daemon=True).start()

    def receive(self, packed: Any) -> None:
        """Take over a frame as a whole; one that can't be read changes nothing and is logged."""
        if not isinstance(packed, dict):
            return
        state = self.peers.get(packed.get("from", ""))
        if state is None:
            return
        now = time.monotonic()
        try:
            frame = PeerFrame.unpack(packed)
        except InvalidPeerFrameError as error:
            log.error("peer frame: %s", error)
            return
        self._on_holders(frame.holders)
        state.update(frame, now)

    def crash_looping_jobs(self) -> frozenset[str]:
        """Jobs that failed wherever some other controller tried them, by frames no older than a worker's lease."""
        now = time.monotonic()
        return frozenset().union(
            *(peer.crash_looping_jobs for peer in self.peers.values() if now - peer.received_at < self.settings.lease_s)
        )

    def has_reported_holding(self, node: str, shard: str) -> bool:
        """Whether a peer said in its last frame that it holds a shard; KeyError for a name that is no peer's."""
        return shard in self.peers[node].shards

    def last_report(self, shard: str) -> float:
        """Steady time at which a worker of the shard last reported to some other controller; else NEVER."""
        return max((peer.report_times.get(shard, NEVER) for peer in self.peers.values()), default=NEVER)

    def _send(self, peer: Peer) -> None:
        stream: socket.socket | None = None
        while True:
            try:
                if stream is None:
                    stream = self._connect(peer)
                send_frame(stream, self._make_frame())
                receive_frame(stream)
            except OSError as error:
                log.debug("peer %s: %s", peer.name, error)
                if stream is not None:
                    stream.close()
                    stream = None
            time.sleep(self.send_interval_s * random.uniform(0.8, 1.2))

    def _connect(self, peer: Peer) -> socket.socket:
        timeout_s = TIMEOUT_PAUSES * self.send_interval_s
        stream = socket.create_connection(peer.address, timeout=timeout_s)
        stream.settimeout(timeout_s)
        return stream
