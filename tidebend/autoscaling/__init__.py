"""What to rent: pure functions of the waiting tasks and the existing machines, booting ones included."""

from tidebend.autoscaling.capacity import Capacity, Offer, Rental
from tidebend.autoscaling.scale_out import WRONG_BY, to_rent

__all__ = ["WRONG_BY", "Capacity", "Offer", "Rental", "to_rent"]
