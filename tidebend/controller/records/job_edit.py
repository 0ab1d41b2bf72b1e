"""Requests for a change to a job's record."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.cluster_state.job_records import Job
from tidebend.quota import TeamUsage

ApplyEdit = Callable[[Job, TeamUsage], Job | None]


@dataclass
class JobEdit:
    """A change to one job, as a function that may be applied again to a newer version of the job.

    `apply` gets the job and its team's usage, and returns the changed job, or None if there is nothing to write.
    """

    job_id: str
    apply: ApplyEdit
    conditions: dict[str, int] = field(default_factory=dict)  # key -> version, besides those of the job's own records
