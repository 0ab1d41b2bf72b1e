"""The controller's side of the worker protocol: parses reports and builds answers and commands."""

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

# Operations of a command: domain -> name on the wire.
WIRE_OPERATIONS = {COMMAND_START: "start", COMMAND_STOP: "kill", COMMAND_FORGET: "clear"}

# May be negative: the machine's reclaim time may pass before the report arrives.
MIN_RECLAIM_IN_S = -1e9


def _task(row: Any) -> TaskReport:
    if not isinstance(row, dict):
        raise InvalidMessageError("pieces must be a list of objects")
    job, _, index = text_field(row, "piece").rpartition("/")
    if not is_job_id(job) or not index.isascii() or not index.isdigit():
        raise InvalidMessageError("piece must be JOB/INDEX")
    state = row.get("tide")
    if state not in TASK_STATES:
        raise InvalidMessageError("tide must be a task state")
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
        raise InvalidMessageError("pieces must not list an attempt of a task twice")
    return tasks


def parse_report(body: Any) -> Report:
    """Return a worker's report. Raises InvalidMessageError, which names the first invalid field."""
    if not isinstance(body, dict):
        raise InvalidMessageError("the body must be a JSON object")
    tasks = _tasks(body)
    reclaim_in_s = body.get("warningS")
    machine = text_field(body, "vessel")
    if not MACHINE_NAME.match(machine):
        raise InvalidMessageError("vessel must be a valid machine name")
    return Report(
        machine=machine,
        address=parse_address(body.get("address")),
        type=text_field(body, "hull"),
        zone=text_field(body, "harbor"),
        spot=body.get("driftwood") is True,
        session=counter_field(body, "watch"),
        sequence=counter_field(body, "tally"),
        token=counter_field(body, "helm"),
        reclaim_in_s=None if reclaim_in_s is None else number_field(body, "warningS", MIN_RECLAIM_IN_S),
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
    """Return the answer of the shard's holder to a report: its fencing token, and commands."""
    return {"helm": token, "orders": [_command(command) for command in commands]}


def redirect_answer(controller: str | None) -> dict[str, Any]:
    """Return the answer to a report whose shard another controller holds; None: the holder is unknown."""
    return {"harbormaster": controller} if controller else {}


def direct_commands(token: int, session: int, commands: list[Command]) -> tuple[str, dict[str, Any]]:
    """Return path and body of a request that sends commands without waiting for the worker's next report.

    A worker rejects commands with a lower fencing token than it has seen, and those for another session.
    """
    return PATH_DIRECT, {"helm": token, "watch": session, "orders": [_command(command) for command in commands]}
