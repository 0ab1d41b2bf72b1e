"""The wire's words and the domain's types: this is the only place where the two meet."""

from tidebend.protocol.domain import (
    MOST_TASKS,
    PRIORITIES,
    Command,
    JobSpec,
    ListedMachine,
    MachineType,
    Report,
    TaskReport,
    task_name,
)
from tidebend.protocol.fields import Invalid
from tidebend.protocol.jobs import (
    ID,
    PATH_JOBS,
    PATH_READY,
    RANKS,
    SHAPES,
    is_job_id,
    job_answer,
    job_id,
    parse_awaits,
    parse_job,
)
from tidebend.protocol.machines import (
    PATH_RELEASE,
    PATH_RENT,
    PATH_TYPES,
    list_path,
    parse_listed,
    parse_rented,
    parse_types,
    release,
    rent,
)
from tidebend.protocol.reports import (
    PATH_REPORT,
    PATH_SHOW,
    direct_commands,
    parse_report,
    report_answer,
    report_elsewhere,
)
from tidebend.protocol.state import (
    PATH_LEASES,
    PATH_TRANSACTION,
    Write,
    changes_path,
    key_path,
    lease_path,
    lease_request,
    parse_changes,
    parse_item,
    parse_items,
    parse_lease,
    parse_revision,
    range_path,
    transaction,
)

__all__ = ["ID", "MOST_TASKS", "PATH_JOBS", "PATH_LEASES", "PATH_READY", "PATH_RELEASE", "PATH_RENT", "PATH_REPORT",
           "PATH_SHOW", "PATH_TRANSACTION", "PATH_TYPES", "PRIORITIES", "RANKS", "SHAPES", "Command", "Invalid",
           "JobSpec", "ListedMachine", "MachineType", "Report", "TaskReport", "Write", "changes_path",
           "direct_commands", "is_job_id", "job_answer", "job_id", "key_path", "lease_path", "lease_request",
           "list_path", "parse_awaits", "parse_changes", "parse_item", "parse_items", "parse_job", "parse_lease",
           "parse_listed", "parse_rented", "parse_report", "parse_revision", "parse_types", "range_path", "release",
           "rent", "report_answer", "report_elsewhere", "task_name", "transaction"]
