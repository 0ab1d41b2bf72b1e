"""The local provider: the cloud's interface over agents that are started here or have joined by themselves."""

from tidebend.provider.agents import AgentProcesses
from tidebend.provider.local import JoinRefused, Kind, Machine, MachineGone, Provider

__all__ = ["AgentProcesses", "JoinRefused", "Kind", "Machine", "MachineGone", "Provider"]
