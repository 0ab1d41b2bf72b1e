"""What controllers tell each other."""

from __future__ import annotations

import logging
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tidebend.settings import Peer, Settings
from tidebend.transport import FrameServer, receive_frame, send_frame

log = logging.getLogger("coordination")


@dataclass
class PeerState:
    """What a peer told us last."""

    at: float = -1e9
    as_of: float = -1e9  # time of day at which its last completed read of the state service began
    machines: list[list[Any]] | None = None
    shards: frozenset[str] = frozenset()  # those it holds
    # what the version in production doesn't tell:
    is_crash_looping: frozenset[str] = frozenset()  # jobs that failed wherever it tried them
    report_times: dict[str, float] = field(
        default_factory=dict
    )  # block -> steady time at which a worker of it came to it


class PeerExchange:
    """Frames to each peer, about once a report interval, with what we know of blocks and machines."""

    def __init__(
        self, settings: Settings, news: Callable[[], dict[str, Any]], told: Callable[[dict[str, Any]], None]
    ) -> None:
        self.settings = settings
        self._news = news
        self._told = told
        self.pause = min(1.0, settings.report_s / 2.0)
        self.peers: dict[str, PeerState] = {peer.name: PeerState() for peer in settings.peers}

    def start(self) -> None:
        server = FrameServer(self.settings.peer_listen, self.receive, 10.0 * self.pause)
        threading.Thread(target=server.serve_forever, name="peers", daemon=True).start()
        for peer in self.settings.peers:
            threading.Thread(target=self._send, args=(peer,), name=f"to-{peer.name}", daemon=True).start()

    def receive(self, frame: Any) -> None:
        if not isinstance(frame, dict):
            return
        news = self.peers.get(frame.get("from", ""))
        if news is None:
            return
        now = time.monotonic()
        try:
            as_of = float(frame["state_contact"])  # named as the version in production does
            machines, shards = list(frame["machines"]), frozenset(frame["held"])
            is_crash_looping = frozenset(frame.get("at_fault", ()))
            came = {shard: now - float(ago) for shard, ago in frame.get("came", {}).items()}
            self._told(frame["blocks"])
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.error("peer frame: %r", error)
            return
        # all of it or nothing: a frame that can't be read isn't half taken over
        news.as_of, news.machines, news.shards, news.is_crash_looping, news.report_times = (
            as_of,
            machines,
            shards,
            is_crash_looping,
            came,
        )
        news.at = now

    def is_crash_looping(self) -> frozenset[str]:
        """Jobs that failed wherever some other controller tried them, by news that is no older than a lease."""
        now = time.monotonic()
        return frozenset().union(
            *(peer.is_crash_looping for peer in self.peers.values() if now - peer.at < self.settings.lease_s)
        )

    def last_report(self, shard: str) -> float:
        """Steady time at which a worker of a block last came to some other controller."""
        return max((peer.report_times.get(shard, -1e9) for peer in self.peers.values()), default=-1e9)

    def _send(self, peer: Peer) -> None:
        stream: socket.socket | None = None
        while True:
            try:
                if stream is None:
                    stream = socket.create_connection(peer.address, timeout=2.0 * self.pause)
                    stream.settimeout(2.0 * self.pause)
                send_frame(stream, self._news())
                receive_frame(stream)
            except OSError as error:
                log.debug("peer %s: %s", peer.name, error)
                if stream is not None:
                    stream.close()
                    stream = None
            time.sleep(self.pause * random.uniform(0.8, 1.2))
