"""The local provider: implements the cloud API on agents that it starts on this machine or that join from elsewhere."""

from tidebend.provider.agents import AgentProcesses
from tidebend.provider.local import JoinRefusedError, Machine, MachineGoneError, MachineTypeSettings, Provider

__all__ = ["AgentProcesses", "JoinRefusedError", "Machine", "MachineGoneError", "MachineTypeSettings", "Provider"]
