"""What to rent: pure functions of the waiting tasks and the existing machines, booting ones included."""

from tidebend.autoscaling.capacity import Capacity, Offer, ProvisionRequest
from tidebend.autoscaling.scale_out import WRONG_BY, plan_provisioning

__all__ = ["WRONG_BY", "Capacity", "Offer", "ProvisionRequest", "plan_provisioning"]
