"""Scale-out planning: pure functions of the waiting tasks and the machines that are up or booting."""

from tidebend.autoscaling.capacity import Capacity, Offer, ProvisionRequest
from tidebend.autoscaling.scale_out import ESTIMATE_ERROR_FACTOR, plan_provisioning

__all__ = ["ESTIMATE_ERROR_FACTOR", "Capacity", "Offer", "ProvisionRequest", "plan_provisioning"]
