"""A zone that is lost: when each part of what stands in it is given up, and what will have to move."""

from tidebend.zone_failover.evacuation import Hold, Standing, leave, order
from tidebend.zone_failover.relocation import part_of, without

__all__ = ["Hold", "Standing", "leave", "order", "part_of", "without"]
