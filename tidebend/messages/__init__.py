"""Schemas of the messages between control service, agents and users that aren't part of the protocol."""

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
