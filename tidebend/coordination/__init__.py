"""Coordination between controllers: membership, leader election, shards with fencing tokens, and peer frames.

The doc comment of `coordinator` lists the modules and what each does.
"""

from tidebend.coordination.coordinator import Coordinator
from tidebend.coordination.peer_exchange import PeerExchange, PeerState
from tidebend.coordination.peer_frames import InvalidPeerFrameError, PeerFrame, PeerMachine
from tidebend.coordination.shards import ShardGrant, ShardHolder, shard_of, zone_of
from tidebend.coordination.zone_suspicion import IsolatedHolder

__all__ = [
    "Coordinator",
    "InvalidPeerFrameError",
    "IsolatedHolder",
    "PeerExchange",
    "PeerFrame",
    "PeerMachine",
    "PeerState",
    "ShardGrant",
    "ShardHolder",
    "shard_of",
    "zone_of",
]
