"""Maximum value per resource with place-holders (Khemka et al.): pure functions of a snapshot and a clock."""

from tidebend.scheduling.resources import EPSILON, Amount, largest_share, need_of, times_fit
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest, allowed_on
from tidebend.scheduling.timeline import Timeline
from tidebend.scheduling.value_functions import Demand, Value, demands, is_reserved, own_demand, value_of
from tidebend.scheduling.value_per_resource import map_tasks

__all__ = [
    "EPSILON",
    "Amount",
    "Demand",
    "GuaranteeBalance",
    "CandidateMachine",
    "Placement",
    "Timeline",
    "Value",
    "TaskRequest",
    "allowed_on",
    "demands",
    "is_reserved",
    "largest_share",
    "map_tasks",
    "need_of",
    "own_demand",
    "times_fit",
    "value_of",
]
