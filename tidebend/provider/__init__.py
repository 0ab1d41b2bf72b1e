"""The local provider: the cloud's interface over agents that are started here or have joined by themselves."""

from tidebend.provider.agents import AgentProcesses
from tidebend.provider.local import JoinRefusedError, Machine, MachineGoneError, MachineTypeSettings, Provider

__all__ = ["AgentProcesses", "JoinRefusedError", "Machine", "MachineGoneError", "MachineTypeSettings", "Provider"]
