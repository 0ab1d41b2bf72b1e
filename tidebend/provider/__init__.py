"""The local provider: the cloud's interface over agents that are started here or have joined by themselves."""

from tidebend.provider.agents import AgentProcesses
from tidebend.provider.local import JoinRefusedError, Kind, Machine, MachineGoneError, Provider

__all__ = ["AgentProcesses", "JoinRefusedError", "Kind", "Machine", "MachineGoneError", "Provider"]
