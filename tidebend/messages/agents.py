"""What agents and the control service tell each other beside reports and orders."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,60}$")]
GangPhase = Literal["waiting", "running", "finished", "lost"]
Verdict = Literal["wait", "start", "done", "mates_gone"]


class JoinRequest(msgspec.Struct, frozen=True):
    """An agent asks to be a machine. `nonce` is its own for this life, so that asking again gives the same name.

    `left` names machines that it was before and has left, with all that it ran ended.
    """

    nonce: Name
    kind: Name
    label: str = ""
    left: list[Name] = []


class JoinResponse(msgspec.Struct, frozen=True):
    """The name it reports under from now on, and what holds between workers and controllers here."""

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
    """A gang's task tells that it waits, runs, has finished well, or is lost."""

    job: str
    attempt: Annotated[int, msgspec.Meta(ge=0)]
    index: Annotated[int, msgspec.Meta(ge=0)]
    tasks: Annotated[int, msgspec.Meta(ge=1)]
    phase: GangPhase


class GangVerdict(msgspec.Struct, frozen=True):
    """What follows for it: start, all are done, or a mate is gone. At most one holds."""

    verdict: Verdict
