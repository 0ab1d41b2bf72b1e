"""Schemas of what the control service, its agents and its users tell each other beside the protocol: one place each."""

from tidebend.messages.agents import GangMemberStatus, GangPhase, GangVerdict, Joined, Joining, Verdict
from tidebend.messages.descriptions import Bounds, Description

__all__ = ["Bounds", "Description", "GangMemberStatus", "GangPhase", "GangVerdict", "Joined", "Joining", "Verdict"]
