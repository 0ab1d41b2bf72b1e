"""The workers' messages as a controller reads and answers them."""

from __future__ import annotations

import re
from typing import Any

from tidebend.protocol.domain import Command, Report, TaskReport, task_name
from tidebend.protocol.fields import Invalid, address, count, number, text
from tidebend.protocol.jobs import ID

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}\Z")
TASK_STATES = ("fetching", "waiting", "running", "saving", "ended")
PATH_REPORT = "/v1/report"
PATH_SHOW = "/show"


def parse_report(body: Any) -> Report:
    if not isinstance(body, dict):
        raise Invalid("the body must be an object")
    top = 2**64 - 1
    rows = body.get("pieces") or []
    if not isinstance(rows, list):
        raise Invalid("pieces must be a list")
    tasks = []
    for row in rows:
        if not isinstance(row, dict):
            raise Invalid("pieces must hold objects")
        job, _, index = text(row, "piece").rpartition("/")
        if not ID.match(job) or not index.isascii() or not index.isdigit():
            raise Invalid("piece is not a task")
        state = row.get("tide")
        if state not in TASK_STATES:
            raise Invalid("tide is not a task state")
        why = row.get("cause")
        tasks.append(
            TaskReport(
                job,
                int(index),
                count(row, "launch", 0, top),
                state,
                why if isinstance(why, str) else None,
                row.get("stored") is True,
            )
        )
    if len({(task.job, task.index, task.attempt) for task in tasks}) < len(tasks):
        raise Invalid("pieces names a task's attempt twice")
    notice = body.get("warningS")
    machine = text(body, "vessel")
    if not NAME.match(machine):
        raise Invalid("vessel is not a machine's name")
    return Report(
        machine,
        address(body.get("address")),
        text(body, "hull"),
        text(body, "harbor"),
        body.get("driftwood") is True,
        count(body, "watch", 0, top),
        count(body, "tally", 0, top),
        count(body, "helm", 0, top),
        None if notice is None else number(body, "warningS", -1e9),
        tuple(tasks),
    )


def _command(command: Command) -> dict[str, Any]:
    row: dict[str, Any] = {
        "order": {"start": "start", "stop": "kill", "forget": "clear"}[command.op],
        "piece": task_name(command.job, command.index),
        "launch": command.attempt,
    }
    if command.op == "stop":
        row["slackS"] = command.grace_s
    return row


def report_answer(token: int, commands: list[Command]) -> dict[str, Any]:
    return {"helm": token, "orders": [_command(command) for command in commands]}


def report_elsewhere(controller: str | None) -> dict[str, Any]:
    return {"harbormaster": controller} if controller else {}


def direct_commands(token: int, session: int, commands: list[Command]) -> tuple[str, dict[str, Any]]:
    return "/orders", {"helm": token, "watch": session, "orders": [_command(command) for command in commands]}
