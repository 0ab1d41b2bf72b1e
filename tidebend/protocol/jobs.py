"""The controller's side of the user protocol: parses submissions and builds answers."""

from __future__ import annotations

import re
from typing import Any

from tidebend.protocol.domain import (
    JOB_CANCELLED,
    KIND_ARRAY,
    KIND_GANG,
    KIND_SERVICE,
    MAX_TASKS,
    PRIORITY_HIGH,
    PRIORITY_LOW,
    PRIORITY_NORMAL,
    PRIORITY_PRODUCTION,
    JobSpec,
)
from tidebend.protocol.fields import (
    InvalidMessageError,
    boolean_field,
    choice_field,
    integer_field,
    number_field,
    text_field,
)

# Job kinds and priorities: name on the wire -> value in the domain.
KIND_BY_WIRE_NAME = {"sweep": KIND_ARRAY, "group": KIND_GANG, "service": KIND_SERVICE}
PRIORITY_BY_WIRE_NAME = {
    "critical": PRIORITY_PRODUCTION,
    "urgent": PRIORITY_HIGH,
    "standard": PRIORITY_NORMAL,
    "best_effort": PRIORITY_LOW,
}
# Job states whose name on the wire differs from the domain's: domain -> wire.
WIRE_JOB_STATES = {JOB_CANCELLED: "withdrawn"}

JOB_ID_PATTERN = re.compile(r"req-[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}\Z")
PATH_JOBS = "/api/jobs"
PATH_READY = "/ready"

MAX_TYPES = 100
MAX_TYPE_LENGTH = 100
MAX_ZONE_LENGTH = 200


def is_job_id(name: str) -> bool:
    """Return whether a string has the format of a job id."""
    return bool(JOB_ID_PATTERN.match(name))


def job_id(body: Any) -> str:
    """Return the job id in a submission. Raises InvalidMessageError."""
    if not isinstance(body, dict):
        raise InvalidMessageError("the body must be a JSON object")
    name = body.get("id")
    if not isinstance(name, str) or not is_job_id(name):
        raise InvalidMessageError("id must be a valid job id")
    return name


def _is_type_list(types: Any) -> bool:
    return (
        isinstance(types, list)
        and 0 < len(types) <= MAX_TYPES
        and all(isinstance(name, str) and 0 < len(name) <= MAX_TYPE_LENGTH for name in types)
    )


def _types(body: dict[str, Any]) -> tuple[str, ...] | None:
    types = body.get("hulls")
    if types is None:
        return None
    if not _is_type_list(types):
        raise InvalidMessageError("hulls must be null or a non-empty list of machine types")
    return tuple(types)


def _zone(body: dict[str, Any]) -> str | None:
    zone = body.get("harbor")
    if zone is not None and (not isinstance(zone, str) or not zone or len(zone) > MAX_ZONE_LENGTH):
        raise InvalidMessageError("harbor must be null or the name of a zone")
    return zone


def parse_job(body: dict[str, Any]) -> JobSpec:
    """Return the specification in a submission. Raises InvalidMessageError, which names the first invalid field."""
    types = _types(body)
    zone = _zone(body)
    return JobSpec(
        job_class=text_field(body, "tier"),
        team=text_field(body, "crew"),
        kind=choice_field(body, "shape", KIND_BY_WIRE_NAME),
        priority=choice_field(body, "rank", PRIORITY_BY_WIRE_NAME),
        tasks=integer_field(body, "pieces", 1, MAX_TASKS),
        cpus=number_field(body, "vcpus"),
        gpus=number_field(body, "accelerators"),
        memory_gb=number_field(body, "memoryGb"),
        image=text_field(body, "cargo"),
        image_gb=number_field(body, "sizeGb"),
        types=types,
        zone=zone,
        one_zone=boolean_field(body, "samePlace"),
        spread=boolean_field(body, "spread"),
        spot=boolean_field(body, "driftwood"),
        estimate_s=number_field(body, "reckonS"),
        checkpoint_s=number_field(body, "markS"),
        save_s=number_field(body, "stowS"),
        deadline_s=None if body.get("dueS") is None else number_field(body, "dueS"),
    )


def parse_dependencies(body: dict[str, Any]) -> tuple[str, ...]:
    """Return the ids, without duplicates, of the jobs that must be done before this one starts.

    Raises InvalidMessageError.
    """
    rows = body.get("awaits")
    if rows is None:
        return ()
    if not isinstance(rows, list) or any(not isinstance(row, str) or not is_job_id(row) for row in rows):
        raise InvalidMessageError("awaits must be a list of job ids")
    return tuple(dict.fromkeys(rows))


def job_answer(name: str, state: str, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    """Return the answer with a job's state and, if `done` is given, the numbers of done and running tasks."""
    answer: dict[str, Any] = {"id": name, "tide": WIRE_JOB_STATES.get(state, state)}
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return answer
