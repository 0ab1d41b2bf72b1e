"""What a task runs. It goes to the control service at submission, and from there to the agents that need it."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Text = Annotated[str, msgspec.Meta(max_length=32 * 1024, pattern="^[^\\x00]*$")]


class ProcessLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What a task's processes may take, each of them; kept by the system (`setrlimit`). None: no bound."""

    memory_gb: Annotated[float, msgspec.Meta(gt=0)] | None = None
    cpu_s: Annotated[int, msgspec.Meta(ge=1)] | None = None
    file_mb: Annotated[int, msgspec.Meta(ge=1)] | None = None
    open_files: Annotated[int, msgspec.Meta(ge=16)] | None = None


class Description(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """How a job's tasks are run."""

    command: Annotated[list[Text], msgspec.Meta(min_length=1, max_length=4096)]
    kind: Literal["array", "gang", "service"] = "array"
    tasks: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1
    cpus: Amount = 0.0
    gpus: Amount = 0.0
    memory_gb: Amount = 0.0
    # made ready once on an agent by `prepare`, in a directory of its own; tasks find it as TIDEBEND_IMAGE
    image: Annotated[str, msgspec.Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9_.\-]{0,100})?$")] = ""
    prepare: list[Text] = []
    environment: dict[Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z_][A-Za-z0-9_]*$")], Text] = {}
    directory: Text | None = None  # None: a fresh one for each start
    checkpoints: Text | None = None  # a directory that all agents share
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    bounds: ProcessLimits = ProcessLimits()
    output_kb: Annotated[int, msgspec.Meta(ge=1, le=1024 * 1024)] = 1024
