"""The loss of a zone: when its machines are released, and which tasks have to move to other zones."""

from tidebend.zone_failover.evacuation import IsolationWindow, MachineContents, evacuation_order, machines_to_evacuate
from tidebend.zone_failover.relocation import share_of_tasks, without_lost_zones

__all__ = [
    "IsolationWindow",
    "MachineContents",
    "evacuation_order",
    "machines_to_evacuate",
    "share_of_tasks",
    "without_lost_zones",
]
