"""Schemas of what the control service, its agents and its users tell each other beside the protocol: one place each."""

from tidebend.messages.agents import GangMemberStatus, GangPhase, GangVerdict, JoinRequest, JoinResponse, Verdict
from tidebend.messages.descriptions import Description, ProcessLimits

__all__ = [
    "Description",
    "GangMemberStatus",
    "GangPhase",
    "GangVerdict",
    "JoinRequest",
    "JoinResponse",
    "ProcessLimits",
    "Verdict",
]
