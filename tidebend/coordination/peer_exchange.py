"""Exchange of frames with the peers: sends this controller's, and keeps the content of each peer's last one."""

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

MAX_SEND_INTERVAL_S = 1.0
# Idle timeout of an incoming connection, as a multiple of the send interval.
IDLE_TIMEOUT_INTERVALS = 10.0
# Timeout for the acknowledgement of a frame, as a multiple of the send interval; then the connection is closed.
ACK_TIMEOUT_INTERVALS = 2.0


@dataclass
class PeerState:
    """Content of a peer's last frame."""

    received_at: float = NEVER  # monotonic time
    as_of: float = NEVER  # wall-clock time at which the peer's last completed read of the key-value store began
    machines: Sequence[PeerMachine] | None = None  # None before the first frame
    shards: frozenset[str] = frozenset()  # shards that the peer holds
    # Peers before schema version 2 don't send the following.
    crash_looping_jobs: frozenset[str] = frozenset()  # jobs that failed on every machine on which the peer tried them
    report_times: dict[str, float] = field(default_factory=dict)  # shard -> monotonic time of the last worker report

    def update(self, frame: PeerFrame, now: float) -> None:
        """Replace the state with a frame's content; `now`: monotonic time at which the frame was received."""
        self.as_of = frame.state_as_of
        self.machines = frame.machines
        self.shards = frozenset(frame.held_shards)
        self.crash_looping_jobs = frozenset(frame.crash_looping_jobs or ())
        self.report_times = {shard: now - age_s for shard, age_s in (frame.report_ages_s or {}).items()}
        self.received_at = now


class PeerExchange:
    """Sends a frame to each peer about twice per report interval, and receives the peers' frames."""

    def __init__(
        self,
        settings: Settings,
        make_frame: Callable[[], dict[str, Any]],
        on_holders: Callable[[Mapping[str, ShardHolder]], None],
    ) -> None:
        """`make_frame` returns a packed frame; `on_holders` is called with the holders of each received frame."""
        self.settings = settings
        self._make_frame = make_frame
        self._on_holders = on_holders
        self.send_interval_s = min(MAX_SEND_INTERVAL_S, settings.report_s / 2.0)
        self.peers: dict[str, PeerState] = {peer.name: PeerState() for peer in settings.peers}

    def start(self) -> None:
        """Start the server for the peers' frames, and one sending thread for each peer."""
        server = FrameServer(self.settings.peer_listen, self.receive, IDLE_TIMEOUT_INTERVALS * self.send_interval_s)
        threading.Thread(target=server.serve_forever, name="peers", daemon=True).start()
        for peer in self.settings.peers:
            threading.Thread(target=self._send_frames, args=(peer,), name=f"to-{peer.name}", daemon=True).start()

    def receive(self, packed: Any) -> None:
        """Process a received frame; an invalid one is logged and ignored as a whole."""
        if not isinstance(packed, dict):
            return
        state = self.peers.get(packed.get("from", ""))
        if state is None:
            return
        now = time.monotonic()
        try:
            frame = PeerFrame.unpack(packed)
        except InvalidPeerFrameError as error:
            log.error("ignored an invalid peer frame: %s", error)
            return
        self._on_holders(frame.holders)
        state.update(frame, now)

    def crash_looping_jobs(self) -> frozenset[str]:
        """Return jobs that failed on every machine on which some peer tried them.

        Frames older than a worker's lease are ignored.
        """
        now = time.monotonic()
        return frozenset().union(
            *(peer.crash_looping_jobs for peer in self.peers.values() if now - peer.received_at < self.settings.lease_s)
        )

    def has_reported_holding(self, node: str, shard: str) -> bool:
        """Return whether the last frame of the peer `node` listed the shard as held; KeyError for an unknown peer."""
        return shard in self.peers[node].shards

    def last_report(self, shard: str) -> float:
        """Return the monotonic time at which a worker of the shard last reported to any peer, or NEVER."""
        return max((peer.report_times.get(shard, NEVER) for peer in self.peers.values()), default=NEVER)

    def _send_frames(self, peer: Peer) -> None:
        stream: socket.socket | None = None
        while True:
            try:
                if stream is None:
                    stream = self._connect(peer)
                send_frame(stream, self._make_frame())
                receive_frame(stream)
            except OSError as error:
                log.debug("failed to send a frame to peer %s: %s", peer.name, error)
                if stream is not None:
                    stream.close()
                    stream = None
            time.sleep(self.send_interval_s * random.uniform(0.8, 1.2))

    def _connect(self, peer: Peer) -> socket.socket:
        timeout_s = ACK_TIMEOUT_INTERVALS * self.send_interval_s
        stream = socket.create_connection(peer.address, timeout=timeout_s)
        stream.settimeout(timeout_s)
        return stream
