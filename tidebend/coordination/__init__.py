"""Membership, leadership, blocks and their tokens, and what controllers tell each other."""

from tidebend.coordination.coordinator import FAILURES, LEADER, NODE, SHARD, Coordinator
from tidebend.coordination.peer_exchange import PeerExchange, PeerState
from tidebend.coordination.shards import ShardGrant, shard_of, zone_of

__all__ = [
    "SHARD",
    "FAILURES",
    "LEADER",
    "NODE",
    "Coordinator",
    "ShardGrant",
    "PeerExchange",
    "PeerState",
    "shard_of",
    "zone_of",
]
