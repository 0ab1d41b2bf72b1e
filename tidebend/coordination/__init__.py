"""Membership, leadership, blocks and their tokens, and what controllers tell each other."""

from tidebend.coordination.coordinator import BLOCK, FAILURES, LEADER, NODE, Coordinator
from tidebend.coordination.peer_exchange import PeerLink, PeerNews
from tidebend.coordination.shards import Grant, block_of, zone_of

__all__ = ["BLOCK", "FAILURES", "LEADER", "NODE", "Coordinator", "Grant", "PeerLink", "PeerNews", "block_of", "zone_of"]
