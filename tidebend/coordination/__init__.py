"""Membership, leadership, blocks and their tokens, and what controllers tell each other."""

from tidebend.coordination.blocks import Grant, block_of, zone_of
from tidebend.coordination.coordinator import BLOCK, FAILURES, LEADER, NODE, Coordinator
from tidebend.coordination.peers import PeerLink, PeerNews

__all__ = ["BLOCK", "FAILURES", "LEADER", "NODE", "Coordinator", "Grant", "PeerLink", "PeerNews", "block_of",
           "zone_of"]
