"""Job files: HCL, one block a job. What is wrong is told with file, line and field before anything is submitted."""

from __future__ import annotations

import re
import secrets
import time
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from tidebend.hcl import HclFile, HclFileError
from tidebend.messages import Description, ProcessLimits
from tidebend.messages.descriptions import Amount, Text
from tidebend.protocol import JobSpec

JobName = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,60}$")]
# when nobody says how long a task takes; the scheduler learns better from those that finish
ESTIMATE_S = 60.0


class JobBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its block in a file describes it."""

    command: Annotated[list[Text], msgspec.Meta(min_length=1)]
    kind: Literal["array", "gang", "service"] = "array"
    tasks: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1
    team: str = "everyone"
    priority: Literal["low", "normal", "high", "production"] = "normal"
    cpus: Amount = 1.0
    gpus: Amount = 0.0
    memory_gb: Amount = 0.25
    machines: list[str] = []
    after: list[str] = []  # names of jobs in this file, or ids of others
    estimate_s: Amount = ESTIMATE_S
    deadline_s: Amount | None = None
    environment: dict[str, Text] = {}
    image: Annotated[str, msgspec.Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9_.\-]{0,100})?$")] = ""
    image_gb: Amount = 0.0
    prepare: list[Text] = []
    directory: Text | None = None
    checkpoints: Text | None = None
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    output_kb: Annotated[int, msgspec.Meta(ge=1, le=1024 * 1024)] = 1024
    limits: ProcessLimits = ProcessLimits()

    def spec(self, name: str) -> JobSpec:
        """Return what the scheduler has to know of the job."""
        return JobSpec(
            job_class=name,
            team=self.team,
            kind=self.kind,
            priority=self.priority,
            tasks=self.tasks,
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
            image=self.image or "none",
            image_gb=self.image_gb,
            types=tuple(self.machines) or None,
            zone=None,
            one_zone=False,
            spread=False,
            spot=False,
            estimate_s=0.0 if self.kind == "service" else self.estimate_s,
            checkpoint_s=self.checkpoint_s,
            save_s=self.save_s,
            deadline_s=self.deadline_s,
        )

    def description(self) -> Description:
        """Return what agents have to know of the job."""
        return Description(
            command=self.command,
            kind=self.kind,
            tasks=self.tasks,
            cpus=self.cpus,
            gpus=self.gpus,
            memory_gb=self.memory_gb,
            image=self.image,
            prepare=self.prepare,
            environment=self.environment,
            directory=self.directory,
            checkpoints=self.checkpoints,
            checkpoint_s=self.checkpoint_s,
            save_s=self.save_s,
            bounds=self.limits,
            output_kb=self.output_kb,
        )


class JobSubmission(msgspec.Struct, frozen=True):
    """A job with its id, as it is going to be submitted."""

    job: str
    name: str
    spec: JobSpec
    description: Description
    awaits: tuple[str, ...]


def new_job_id(name: str) -> str:
    """Ids come in the order in which they are made, to the second."""
    name = re.sub(r"[^A-Za-z0-9_.\-]", "-", name)[:60]
    return f"req-{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{name}-{secrets.token_hex(3)}"


def read_jobs(path: str) -> list[JobSubmission]:
    """Return the jobs of a file, each after those it waits for. Raises HclFileError."""
    file = HclFile(path)
    file.reject_unknown("job")
    _unwrap_limits(file)
    blocks = file.labelled_blocks("job", JobBlock)
    if not blocks:
        raise file.error(("job",), 'expected at least one job "NAME" { command = [...] }')
    for name, block in blocks.items():
        _check_name(file, name)
        _check_dependencies(file, name, block, blocks)
    ids = {name: new_job_id(name) for name in blocks}
    directory = Path(path).parent.absolute()
    return [_ready(name, blocks[name], ids, directory) for name in _in_order_of_dependencies(file, blocks)]


def _unwrap_limits(file: HclFile) -> None:
    """Have the limits of each job be their block, not a list with it."""
    for row in file.values.get("job", []):
        for label, values in row.items() if isinstance(row, dict) else ():
            limits = values.get("limits") if isinstance(values, dict) else None
            if isinstance(limits, list):
                if len(limits) != 1:
                    raise file.error(("job", label, "limits"), "expected one block")
                values["limits"] = limits[0]


def _check_name(file: HclFile, name: str) -> None:
    try:
        msgspec.convert(name, JobName)
    except msgspec.ValidationError as error:
        raise file.error(("job", name), str(error)) from error


def _check_dependencies(file: HclFile, name: str, block: JobBlock, blocks: dict[str, JobBlock]) -> None:
    for other in block.after:
        if other not in blocks and not other.startswith("req-"):
            raise file.error(("job", name, "after"), f"{other!r} is neither a job of this file nor an id")
        if other in blocks and blocks[other].kind == "service":
            raise file.error(("job", name, "after"), f"{other!r} is a service, which never is done")


def _in_order_of_dependencies(file: HclFile, blocks: dict[str, JobBlock]) -> list[str]:
    """Return the names of the jobs, each after those that it waits for."""
    ordered: dict[str, None] = {}
    while len(ordered) < len(blocks):
        before = len(ordered)
        for name, block in blocks.items():
            if name not in ordered and all(other in ordered for other in block.after if other in blocks):
                ordered[name] = None
        if len(ordered) == before:
            name = next(name for name in blocks if name not in ordered)
            raise file.error(("job", name, "after"), "these jobs wait for each other")
    return list(ordered)


def _ready(name: str, block: JobBlock, ids: dict[str, str], directory: Path) -> JobSubmission:
    if block.directory is not None:  # a relative one is meant from where the file is
        block = msgspec.structs.replace(block, directory=str(directory / block.directory))
    dependencies = tuple(ids.get(other, other) for other in block.after)
    return JobSubmission(ids[name], name, block.spec(name), block.description(), dependencies)


def single_job(block: JobBlock, name: str) -> JobSubmission:
    """Return a job that stands in no file."""
    return JobSubmission(new_job_id(name), name, block.spec(name), block.description(), ())


__all__ = ["HclFileError", "JobBlock", "JobSubmission", "read_jobs", "single_job"]
