"""The users' messages as a controller reads and answers them."""

from __future__ import annotations

import re
from typing import Any

from tidebend.protocol.domain import MOST_TASKS, JobSpec
from tidebend.protocol.fields import Invalid, choice, count, flag, number, text

SHAPES = {"sweep": "array", "group": "gang", "service": "service"}
RANKS = {"critical": "production", "urgent": "high", "standard": "normal", "best_effort": "low"}
ID = re.compile(r"req-[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}\Z")
PATH_JOBS = "/api/jobs"
PATH_READY = "/ready"


def job_id(body: Any) -> str:
    if not isinstance(body, dict):
        raise Invalid("the body must be an object")
    name = body.get("id")
    if not isinstance(name, str) or not ID.match(name):
        raise Invalid("id is not a job id")
    return name


def is_job_id(name: str) -> bool:
    return bool(ID.match(name))


def parse_job(body: dict[str, Any]) -> JobSpec:
    types = body.get("hulls")
    if types is not None and (
        not isinstance(types, list)
        or not types
        or len(types) > 100
        or any(not isinstance(name, str) or not 0 < len(name) <= 100 for name in types)
    ):
        raise Invalid("hulls must be null or a list of machine types")
    zone = body.get("harbor")
    if zone is not None and (not isinstance(zone, str) or not zone or len(zone) > 200):
        raise Invalid("harbor must be null or a zone")
    deadline = body.get("dueS")
    return JobSpec(
        job_class=text(body, "tier"),
        team=text(body, "crew"),
        kind=choice(body, "shape", SHAPES),
        priority=choice(body, "rank", RANKS),
        tasks=count(body, "pieces", 1, MOST_TASKS),
        cpus=number(body, "vcpus"),
        gpus=number(body, "accelerators"),
        memory_gb=number(body, "memoryGb"),
        image=text(body, "cargo"),
        image_gb=number(body, "sizeGb"),
        types=tuple(types) if types is not None else None,
        zone=zone,
        one_zone=flag(body, "samePlace"),
        spread=flag(body, "spread"),
        spot=flag(body, "driftwood"),
        estimate_s=number(body, "reckonS"),
        checkpoint_s=number(body, "markS"),
        save_s=number(body, "stowS"),
        deadline_s=None if deadline is None else number(body, "dueS"),
    )


def parse_dependencies(body: dict[str, Any]) -> tuple[str, ...]:
    """The jobs that have to be done before any task of this one starts."""
    rows = body.get("awaits")
    if rows is None:
        return ()
    if not isinstance(rows, list) or any(not isinstance(row, str) or not ID.match(row) for row in rows):
        raise Invalid("awaits must be a list of job ids")
    return tuple(dict.fromkeys(rows))


def job_answer(name: str, state: str, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    answer: dict[str, Any] = {"id": name, "tide": "withdrawn" if state == "cancelled" else state}
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return answer
