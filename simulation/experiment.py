"""Experiments: HCL files that describe the cluster, teams, jobs and failures to simulate, validated like settings."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from tidebend.hcl import HclFile, HclFileError

Count = Annotated[int, msgspec.Meta(ge=1, le=20_000)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]


class Cluster(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    zones: Annotated[int, msgspec.Meta(ge=1, le=64)] = 3
    controllers: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0  # 0: one per zone
    seconds: Positive = 240.0
    report_s: Positive = 2.5
    lease_s: Positive = 15.0
    cancel_s: Positive = 40.0
    list_lag_s: Amount = 3.0
    cloud_rps: Positive = 10.0


class State(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the key-value store; writes beyond `write_rps` are refused."""

    rps: Positive = 250.0
    write_rps: Positive = 60.0
    value_kb: Positive = 8.0
    txn_ops: Annotated[int, msgspec.Meta(ge=4, le=1000)] = 12


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine type: `at_start` machines run from the start, `most` is the cloud's capacity over all zones."""

    cpus: Positive
    memory_gb: Positive
    gpus: Amount = 0.0
    at_start: Annotated[int, msgspec.Meta(ge=0, le=20_000)] = 0
    most: Count = 1
    spot: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0  # share of `most` that is spot
    boot_s: Amount = 30.0
    price: Positive = 1.0
    spot_price: Positive = 0.4
    fetch_gb_per_s: Positive = 1.0


class TeamBlock(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`count` identical teams named LABEL-0, LABEL-1, ..., or LABEL if there is one. A limit of 0 means unlimited."""

    guaranteed: Amount = 0.0
    limit: Amount = 0.0
    guaranteed_gpus: Amount = 0.0
    limit_gpus: Amount = 0.0
    count: Count = 1


class Jobs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs. Arrivals are a Poisson process; run times are lognormal around `run_s`."""

    teams: Annotated[list[str], msgspec.Meta(min_length=1)]  # labels; each job belongs to a random one of their teams
    tasks: Annotated[list[Count], msgspec.Meta(min_length=1)]  # number of tasks, a random one of these
    kind: Literal["array", "gang", "service"] = "array"
    priority: Literal["low", "normal", "high", "production"] = "normal"
    per_minute: Amount = 1.0
    at_start: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 0
    begin_s: Amount = 0.0
    end_s: Amount = 1e6
    cpus: Positive = 1.0
    gpus: Amount = 0.0
    memory_gb: Positive = 1.0
    run_s: Positive = 30.0
    wrong_by: Amount = 0.3  # standard deviation of log(estimate / run time)
    image_gb: Amount = 1.0
    images: Count = 4
    deadline_s: Amount = 0.0
    checkpoint_s: Amount = 0.0
    save_s: Amount = 0.0
    spread: bool = False
    one_zone: bool = False
    spot: bool = True


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An injected failure. `node` and `zone` are indices from 0; `node` -1 means all controllers."""

    at: Amount
    what: Literal["crash", "freeze", "cut", "refuse", "outage", "limits", "machines", "zone", "roll"]
    seconds: Amount = 0.0
    node: int = 0
    zone: int = 0
    side: Literal["all", "state", "workers", "peers", "cloud", "users"] = "all"
    hold: bool = False  # messages are delivered late instead of lost
    share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 1.0  # limits: of `write_rps`; machines: share that stops


class Experiment(msgspec.Struct, frozen=True):
    name: str
    cluster: Cluster
    state: State
    kinds: dict[str, Kind]
    teams: dict[str, TeamBlock]
    jobs: dict[str, Jobs]
    troubles: dict[str, Trouble]

    def team_names(self, label: str) -> list[str]:
        count = self.teams[label].count
        return [label] if count == 1 else [f"{label}-{number}" for number in range(count)]


def _set(values: dict[str, Any], path: str, text: str) -> None:
    """Override one value of the file, given as `block.field` or `block.label.field`."""
    block, *rest = path.split(".")
    rows = values.setdefault(block, [{}])
    if len(rest) == 2:
        rows = [row[rest[0]] for row in rows if rest[0] in row]
    if not rest or len(rest) > 2 or not rows:
        raise HclFileError(f"--set {path}: no such block; expected BLOCK.FIELD=VALUE or BLOCK.LABEL.FIELD=VALUE")
    number = float(text) if text.replace(".", "", 1).lstrip("-").isdigit() else None
    for row in rows:
        row[rest[-1]] = text if number is None else int(number) if number.is_integer() and "." not in text else number


def read(path: str, changes: dict[str, str] | None = None) -> Experiment:
    """Read and validate an experiment file, with overrides by path. Raises HclFileError."""
    file = HclFile(path)
    file.reject_unknown("cluster", "state", "type", "team", "jobs", "trouble")
    for where, text in (changes or {}).items():
        _set(file.values, where, text)
    made = Experiment(
        path.rpartition("/")[2].removesuffix(".hcl"),
        file.block("cluster", Cluster),
        file.block("state", State),
        file.labelled_blocks("type", Kind),
        file.labelled_blocks("team", TeamBlock),
        file.labelled_blocks("jobs", Jobs),
        file.labelled_blocks("trouble", Trouble),
    )
    for name, kinds in (("type", made.kinds), ("team", made.teams), ("jobs", made.jobs)):
        if not kinds:
            raise file.error((name,), f'expected at least one {name} "LABEL" {{ ... }}')
    for label, jobs in made.jobs.items():
        for team in jobs.teams:
            if team not in made.teams:
                raise file.error(("jobs", label, "teams"), f"no team {team!r}; expected one of {', '.join(made.teams)}")
        if not any(
            jobs.cpus <= kind.cpus and jobs.gpus <= kind.gpus and jobs.memory_gb <= kind.memory_gb
            for kind in made.kinds.values()
        ):
            raise file.error(("jobs", label, "cpus"), "its tasks fit on no type of machine")
    controllers = made.cluster.controllers or made.cluster.zones
    for label, trouble in made.troubles.items():
        if not -1 <= trouble.node < controllers:
            raise file.error(("trouble", label, "node"), f"expected -1 to {controllers - 1}")
        if not 0 <= trouble.zone < made.cluster.zones:
            raise file.error(("trouble", label, "zone"), f"expected 0 to {made.cluster.zones - 1}")
    return made
