"""The workers' messages as a controller reads and answers them."""

from __future__ import annotations

import re
from typing import Any

from tidebend.protocol.domain import (
    COMMAND_FORGET,
    COMMAND_START,
    COMMAND_STOP,
    TASK_STATES,
    Command,
    Report,
    TaskReport,
    task_name,
)
from tidebend.protocol.fields import (
    InvalidMessageError,
    counter_field,
    number_field,
    parse_address,
    text_field,
)
from tidebend.protocol.jobs import is_job_id

MACHINE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}\Z")
PATH_REPORT = "/v1/report"
PATH_WORKER_STATUS = "/show"
PATH_DIRECT = "/orders"

# The domain's operations of a command, and the wire's words for them.
WIRE_OPERATIONS = {COMMAND_START: "start", COMMAND_STOP: "kill", COMMAND_FORGET: "clear"}

# A notice may lie in the past: the cloud was to take the machine back before the report came.
LEAST_NOTICE_S = -1e9


def _task(row: Any) -> TaskReport:
    if not isinstance(row, dict):
        raise InvalidMessageError("pieces must hold objects")
    job, _, index = text_field(row, "piece").rpartition("/")
    if not is_job_id(job) or not index.isascii() or not index.isdigit():
        raise InvalidMessageError("piece is not a task")
    state = row.get("tide")
    if state not in TASK_STATES:
        raise InvalidMessageError("tide is not a task state")
    why = row.get("cause")
    return TaskReport(
        job=job,
        index=int(index),
        attempt=counter_field(row, "launch"),
        state=state,
        why=why if isinstance(why, str) else None,
        saved=row.get("stored") is True,
    )


def _tasks(body: dict[str, Any]) -> tuple[TaskReport, ...]:
    rows = body.get("pieces") or []
    if not isinstance(rows, list):
        raise InvalidMessageError("pieces must be a list")
    tasks = tuple(_task(row) for row in rows)
    if len({(task.job, task.index, task.attempt) for task in tasks}) < len(tasks):
        raise InvalidMessageError("pieces names a task's attempt twice")
    return tasks


def parse_report(body: Any) -> Report:
    """A worker's report. Raises InvalidMessageError, which names the first field that is wrong."""
    if not isinstance(body, dict):
        raise InvalidMessageError("the body must be an object")
    tasks = _tasks(body)
    notice = body.get("warningS")
    machine = text_field(body, "vessel")
    if not MACHINE_NAME.match(machine):
        raise InvalidMessageError("vessel is not a machine's name")
    return Report(
        machine=machine,
        address=parse_address(body.get("address")),
        type=text_field(body, "hull"),
        zone=text_field(body, "harbor"),
        spot=body.get("driftwood") is True,
        session=counter_field(body, "watch"),
        sequence=counter_field(body, "tally"),
        token=counter_field(body, "helm"),
        reclaim_in_s=None if notice is None else number_field(body, "warningS", LEAST_NOTICE_S),
        tasks=tasks,
    )


def _command(command: Command) -> dict[str, Any]:
    row: dict[str, Any] = {
        "order": WIRE_OPERATIONS[command.op],
        "piece": task_name(command.job, command.index),
        "launch": command.attempt,
    }
    if command.op == COMMAND_STOP:
        row["slackS"] = command.grace_s
    return row


def report_answer(token: int, commands: list[Command]) -> dict[str, Any]:
    """The answer to a report from the machine's own controller: its fencing token, and commands."""
    return {"helm": token, "orders": [_command(command) for command in commands]}


def redirect_answer(controller: str | None) -> dict[str, Any]:
    """The answer to a report that belongs to another controller; None where that one isn't known."""
    return {"harbormaster": controller} if controller else {}


def direct_commands(token: int, session: int, commands: list[Command]) -> tuple[str, dict[str, Any]]:
    """Path and body of commands that a worker is sent without waiting for its next report.

    A worker refuses those with a lower fencing token than it has seen, or for another session than its own.
    """
    return PATH_DIRECT, {"helm": token, "watch": session, "orders": [_command(command) for command in commands]}
