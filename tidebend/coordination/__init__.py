"""Membership, leadership, shards and their fencing tokens, and the frames between controllers.

`coordinator` says which module does what.
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
