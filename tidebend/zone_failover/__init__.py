"""A zone that is lost: when each part of what stands in it is given up, and what will have to move."""

from tidebend.zone_failover.evacuation import IsolationWindow, MachineContents, leave, order
from tidebend.zone_failover.relocation import share_of_tasks, without

__all__ = ["IsolationWindow", "MachineContents", "leave", "order", "share_of_tasks", "without"]
