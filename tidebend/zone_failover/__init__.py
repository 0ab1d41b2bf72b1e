"""The loss of a zone: when its machines are given up, and which tasks have to move to other zones."""

from tidebend.zone_failover.evacuation import IsolationWindow, MachineContents, evacuation_order, machines_to_evacuate
from tidebend.zone_failover.relocation import share_of_tasks, without_lost_zones

# FORMER NAMES BEGIN

leave = machines_to_evacuate
order = evacuation_order
without = without_lost_zones

# FORMER NAMES END

__all__ = [
    "IsolationWindow",
    "MachineContents",
    "evacuation_order",
    "leave",  # former name
    "machines_to_evacuate",
    "order",  # former name
    "share_of_tasks",
    "without",  # former name
    "without_lost_zones",
]
