"""Messages between agents and the control service other than reports and commands."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,60}$")]
GangPhase = Literal["waiting", "running", "finished", "lost"]
Verdict = Literal["wait", "start", "done", "mates_gone"]


class JoinRequest(msgspec.Struct, frozen=True):
    """An agent's request to join as a machine.

    `nonce` is unique to the agent's time as one machine, so that a repeated request gets the same name. `left` names
    machines as which the agent ran before and which it has left, after all their tasks had ended.
    """

    nonce: Name
    kind: Name
    label: str = ""
    left: list[Name] = []


class JoinResponse(msgspec.Struct, frozen=True):
    """The name that the agent uses in its reports, the machine's resources, and the settings shared by all machines."""

    machine: Name
    zone: str
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cpus: float
    gpus: float
    memory_gb: float
    controllers: dict[str, str]  # name -> address


class GangMemberStatus(msgspec.Struct, frozen=True):
    """Status of a gang's task: waiting, running, finished successfully, or lost."""

    job: str
    attempt: Annotated[int, msgspec.Meta(ge=0)]
    index: Annotated[int, msgspec.Meta(ge=0)]
    tasks: Annotated[int, msgspec.Meta(ge=1)]
    phase: GangPhase


class GangVerdict(msgspec.Struct, frozen=True):
    """Answer to a gang's task: wait, start, all tasks are done, or another task of the gang is lost."""

    verdict: Verdict
