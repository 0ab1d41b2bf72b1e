"""Requests for changes to a job."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.cluster_state.job_records import Job
from tidebend.quota import TeamUsage

ApplyEdit = Callable[[Job, TeamUsage], Job | None]


@dataclass
class JobEdit:
    """A change to one job, as a function that can be applied again to a newer version of the job.

    `apply` takes the job and its team's usage, and returns the changed job, or None if there is nothing to write.
    """

    job_id: str
    apply: ApplyEdit
    conditions: dict[str, int] = field(default_factory=dict)  # key -> required version, besides the job's own records
