"""Maximum value per resource with place-holders (Khemka et al.): pure functions of a snapshot and a clock."""

from tidebend.scheduling.event_state import EventState
from tidebend.scheduling.mapping_event import MappingEvent, map_tasks
from tidebend.scheduling.resources import (
    EPSILON,
    UNLIMITED_TASKS,
    Amount,
    add,
    count_fitting_tasks,
    fits,
    largest_share,
    multiply,
    need_of,
    subtract,
)
from tidebend.scheduling.task_requests import CandidateMachine, GuaranteeBalance, Placement, TaskRequest, allowed_on
from tidebend.scheduling.timeline import Timeline
from tidebend.scheduling.value_functions import Demand, Value, is_reserved, own_demand, propagate_demands, value_of

__all__ = [
    "EPSILON",
    "UNLIMITED_TASKS",
    "Amount",
    "CandidateMachine",
    "Demand",
    "EventState",
    "GuaranteeBalance",
    "MappingEvent",
    "Placement",
    "TaskRequest",
    "Timeline",
    "Value",
    "add",
    "allowed_on",
    "count_fitting_tasks",
    "fits",
    "is_reserved",
    "largest_share",
    "map_tasks",
    "multiply",
    "need_of",
    "own_demand",
    "propagate_demands",
    "subtract",
    "value_of",
]
