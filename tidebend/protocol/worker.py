"""The workers' side of their messages: reports out, commands in.

`msgspec` checks and names the field that is wrong. Not imported by `run`, which has the other side.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from tidebend.protocol.domain import Command, task_name
from tidebend.protocol.reports import PATH_DIRECT, PATH_REPORT, PATH_WORKER_STATUS, WIRE_OPERATIONS

# The status of an answer that names another controller.
STATUS_MISDIRECTED = 421

__all__ = [
    "PATH_DIRECT",
    "PATH_REPORT",
    "PATH_WORKER_STATUS",
    "STATUS_MISDIRECTED",
    "DirectCommands",
    "ReportAnswer",
    "Task",
    "parse_direct_commands",
    "parse_redirect",
    "parse_report_answer",
    "report",
]

Count = Annotated[int, msgspec.Meta(ge=0)]


_OPERATIONS = {theirs: ours for ours, theirs in WIRE_OPERATIONS.items()}


class _Order(msgspec.Struct, frozen=True):
    op: Literal["start", "kill", "clear"] = msgspec.field(name="order")
    task: Annotated[str, msgspec.Meta(pattern=r"^req-[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}/[0-9]{1,6}$")] = msgspec.field(
        name="piece"
    )
    attempt: Count = msgspec.field(name="launch")
    grace_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="slackS", default=0.0)

    def command(self) -> Command:
        job, _, index = self.task.rpartition("/")
        return Command(_OPERATIONS[self.op], job, int(index), self.attempt, self.grace_s)


class _Answer(msgspec.Struct, frozen=True):
    token: Count | None = msgspec.field(name="helm", default=None)
    orders: list[_Order] = msgspec.field(default_factory=list)


class _Direct(msgspec.Struct, frozen=True):
    token: Count = msgspec.field(name="helm")
    session: Count = msgspec.field(name="watch")
    orders: list[_Order] = msgspec.field(default_factory=list)


class _Elsewhere(msgspec.Struct, frozen=True):
    controller: str | None = msgspec.field(name="harbormaster", default=None)


class ReportAnswer(msgspec.Struct, frozen=True):
    """What a report is answered with; without a token it has to be dropped."""

    token: int | None  # the controller's fencing token
    commands: list[Command]


class DirectCommands(msgspec.Struct, frozen=True):
    """Commands that a controller sends without waiting for a report."""

    token: int  # the controller's fencing token
    session: int  # the worker's session that they are for
    commands: list[Command]


class Task(msgspec.Struct, frozen=True):
    """An attempt of a task as a report shows it; the fields are those of `TaskReport`."""

    job: str
    index: int
    attempt: int
    state: str
    why: str | None = None
    saved: bool = False

    def row(self) -> dict[str, Any]:
        """The task in a report's body."""
        row: dict[str, Any] = {"piece": task_name(self.job, self.index), "launch": self.attempt, "tide": self.state}
        if self.why is not None:
            row["cause"] = self.why
        if self.saved:
            row["stored"] = True
        return row


def parse_report_answer(body: Any) -> ReportAnswer:
    """The answer to a report. Raises msgspec.ValidationError, which names the field."""
    answer = msgspec.convert(body, _Answer, strict=False)
    return ReportAnswer(answer.token, [order.command() for order in answer.orders])


def parse_direct_commands(body: Any) -> DirectCommands:
    """Direct commands. Raises msgspec.ValidationError, which names the field."""
    direct = msgspec.convert(body, _Direct, strict=False)
    return DirectCommands(direct.token, direct.session, [order.command() for order in direct.orders])


def parse_redirect(body: Any) -> str | None:
    """The controller that a 421 names, if it names one."""
    try:
        return msgspec.convert(body, _Elsewhere).controller
    except msgspec.ValidationError:
        return None


def report(
    machine: str,
    address: str,
    kind: str,
    zone: str,
    spot: bool,
    session: int,
    sequence: int,
    token: int,
    reclaim_in_s: float | None,
    tasks: list[Task],
) -> dict[str, Any]:
    """The body of a report; the arguments are the fields of `Report`, with `address` as `HOST:PORT`."""
    return {
        "vessel": machine,
        "address": address,
        "hull": kind,
        "harbor": zone,
        "driftwood": spot,
        "watch": session,
        "tally": sequence,
        "helm": token,
        "warningS": reclaim_in_s,
        "pieces": [task.row() for task in tasks],
    }
