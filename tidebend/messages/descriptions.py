"""Descriptions of jobs, sent to the control service at submission and fetched by the agents that run their tasks."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Text = Annotated[str, msgspec.Meta(max_length=32 * 1024, pattern="^[^\\x00]*$")]


class ProcessLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Resource limits of each process of a task, enforced by the kernel (`setrlimit`). None: no limit."""

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
    # Prepared once on each agent by the `prepare` command, in its own directory, which tasks find in TIDEBEND_IMAGE.
    image: Annotated[str, msgspec.Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9_.\-]{0,100})?$")] = ""
    prepare: list[Text] = []
    environment: dict[Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z_][A-Za-z0-9_]*$")], Text] = {}
    directory: Text | None = None  # None: a new one for each attempt
    checkpoints: Text | None = None  # a directory shared by all agents
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    bounds: ProcessLimits = ProcessLimits()
    output_kb: Annotated[int, msgspec.Meta(ge=1, le=1024 * 1024)] = 1024
