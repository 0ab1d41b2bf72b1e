"""The users' side of their messages: a job as it is submitted, and the words of its states."""

from __future__ import annotations

from typing import Any

from tidebend.protocol.domain import JOB_CANCELLED, JOB_DONE, JobSpec
from tidebend.protocol.jobs import KIND_BY_WIRE_NAME, PATH_JOBS, PRIORITY_BY_WIRE_NAME, WIRE_JOB_STATES

__all__ = ["PATH_JOBS", "is_final_state", "job_request", "job_state"]

_SHAPES = {ours: theirs for theirs, ours in KIND_BY_WIRE_NAME.items()}
_RANKS = {ours: theirs for theirs, ours in PRIORITY_BY_WIRE_NAME.items()}
_JOB_STATES = {theirs: ours for ours, theirs in WIRE_JOB_STATES.items()}


def job_request(name: str, spec: JobSpec, awaits: tuple[str, ...] = ()) -> dict[str, Any]:
    """The body that submits a job."""
    body = {
        "id": name,
        "tier": spec.job_class,
        "crew": spec.team,
        "shape": _SHAPES[spec.kind],
        "rank": _RANKS[spec.priority],
        "pieces": spec.tasks,
        "vcpus": spec.cpus,
        "accelerators": spec.gpus,
        "memoryGb": spec.memory_gb,
        "cargo": spec.image,
        "sizeGb": spec.image_gb,
        "hulls": list(spec.types) if spec.types else None,
        "harbor": spec.zone,
        "samePlace": spec.one_zone,
        "spread": spec.spread,
        "driftwood": spec.spot,
        "reckonS": spec.estimate_s,
        "markS": spec.checkpoint_s,
        "stowS": spec.save_s,
        "dueS": spec.deadline_s,
    }
    if awaits:
        body["awaits"] = list(awaits)
    return body


def job_state(body: dict[str, Any]) -> str:
    """The job's state in an answer: queued, running, done or cancelled."""
    word = str(body.get("tide"))
    return _JOB_STATES.get(word, word)


def is_final_state(name: str) -> bool:
    """Whether a job in this state stays in it."""
    return name in (JOB_DONE, JOB_CANCELLED)
