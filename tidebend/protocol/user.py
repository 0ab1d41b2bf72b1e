"""The client's side of the user protocol: builds submissions and parses job states."""

from __future__ import annotations

from typing import Any

from tidebend.protocol.domain import JOB_CANCELLED, JOB_DONE, JobSpec
from tidebend.protocol.jobs import KIND_BY_WIRE_NAME, PATH_JOBS, PRIORITY_BY_WIRE_NAME, WIRE_JOB_STATES

__all__ = ["PATH_JOBS", "is_final_state", "job_request", "job_state"]

_WIRE_KINDS = {kind: wire_name for wire_name, kind in KIND_BY_WIRE_NAME.items()}
_WIRE_PRIORITIES = {priority: wire_name for wire_name, priority in PRIORITY_BY_WIRE_NAME.items()}
_STATE_BY_WIRE_NAME = {wire_name: state for state, wire_name in WIRE_JOB_STATES.items()}


def job_request(name: str, spec: JobSpec, awaits: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the body that submits a job; `awaits` lists the jobs that it depends on."""
    body = {
        "id": name,
        "tier": spec.job_class,
        "crew": spec.team,
        "shape": _WIRE_KINDS[spec.kind],
        "rank": _WIRE_PRIORITIES[spec.priority],
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
    """Return the job's state in an answer: queued, running, done or cancelled."""
    wire_state = str(body.get("tide"))
    return _STATE_BY_WIRE_NAME.get(wire_state, wire_state)


def is_final_state(state: str) -> bool:
    """Return whether a job never leaves this state."""
    return state in (JOB_DONE, JOB_CANCELLED)
