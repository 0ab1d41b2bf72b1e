"""The worker's side of the worker protocol: builds reports and parses answers and commands.

`msgspec` validates messages and names the invalid field. Controllers (`run`) don't import this module.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from tidebend.protocol.domain import Command, task_name
from tidebend.protocol.reports import PATH_DIRECT, PATH_REPORT, PATH_WORKER_STATUS, WIRE_OPERATIONS

# HTTP status 421 (Misdirected Request): another controller holds the machine's shard.
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


_OPERATION_BY_WIRE_NAME = {wire_name: operation for operation, wire_name in WIRE_OPERATIONS.items()}


class _WireCommand(msgspec.Struct, frozen=True):
    op: Literal["start", "kill", "clear"] = msgspec.field(name="order")
    task: Annotated[str, msgspec.Meta(pattern=r"^req-[A-Za-z0-9][A-Za-z0-9_.\-]{0,150}/[0-9]{1,6}$")] = msgspec.field(
        name="piece"
    )
    attempt: Count = msgspec.field(name="launch")
    grace_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="slackS", default=0.0)

    def to_command(self) -> Command:
        job, _, index = self.task.rpartition("/")
        return Command(_OPERATION_BY_WIRE_NAME[self.op], job, int(index), self.attempt, self.grace_s)


class _WireReportAnswer(msgspec.Struct, frozen=True):
    token: Count | None = msgspec.field(name="helm", default=None)
    orders: list[_WireCommand] = msgspec.field(default_factory=list)


class _WireDirectCommands(msgspec.Struct, frozen=True):
    token: Count = msgspec.field(name="helm")
    session: Count = msgspec.field(name="watch")
    orders: list[_WireCommand] = msgspec.field(default_factory=list)


class _WireRedirect(msgspec.Struct, frozen=True):
    controller: str | None = msgspec.field(name="harbormaster", default=None)


class ReportAnswer(msgspec.Struct, frozen=True):
    """A controller's answer to a report; the worker ignores one without a token."""

    token: int | None  # the controller's fencing token
    commands: list[Command]


class DirectCommands(msgspec.Struct, frozen=True):
    """Commands that a controller sends without waiting for the next report."""

    token: int  # the controller's fencing token
    session: int  # session of the worker for which they are meant
    commands: list[Command]


class Task(msgspec.Struct, frozen=True):
    """An attempt of a task as it is reported; the fields are those of `TaskReport`."""

    job: str
    index: int
    attempt: int
    state: str
    why: str | None = None
    saved: bool = False

    def row(self) -> dict[str, Any]:
        """Return the attempt as it appears in a report's body."""
        row: dict[str, Any] = {"piece": task_name(self.job, self.index), "launch": self.attempt, "tide": self.state}
        if self.why is not None:
            row["cause"] = self.why
        if self.saved:
            row["stored"] = True
        return row


def parse_report_answer(body: Any) -> ReportAnswer:
    """Return the parsed answer to a report. Raises msgspec.ValidationError, which names the field."""
    answer = msgspec.convert(body, _WireReportAnswer, strict=False)
    return ReportAnswer(answer.token, [order.to_command() for order in answer.orders])


def parse_direct_commands(body: Any) -> DirectCommands:
    """Return parsed direct commands. Raises msgspec.ValidationError, which names the field."""
    direct = msgspec.convert(body, _WireDirectCommands, strict=False)
    return DirectCommands(direct.token, direct.session, [order.to_command() for order in direct.orders])


def parse_redirect(body: Any) -> str | None:
    """Return the controller named in an answer with status 421; None if it names none."""
    try:
        return msgspec.convert(body, _WireRedirect).controller
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
    """Return the body of a report; the arguments are the fields of `Report`, with `address` as `HOST:PORT`."""
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
