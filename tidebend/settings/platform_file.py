"""Reading the platform's TOML file. Its field names are used only in this module."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import Any

from tidebend.settings.knobs_file import load_knobs
from tidebend.settings.model import Knobs, Peer, Settings, SettingsError, StoreLimits, Team
from tidebend.settings.table_reader import TableReader

BYTES_PER_KB = 1024
MS_PER_S = 1000.0
# rates and intervals must be greater than 0
MIN_RATE = 0.001
MIN_INTERVAL_S = 0.001
MIN_VALUE_KB = 0.1
MIN_OPERATIONS = 2
MIN_SOCKETS = 16


def load_settings(path: str, knobs_path: str | None = None) -> Settings:
    """Return the settings in the platform's file, with the knobs in the operators' file if there is one.

    Raises SettingsError if a file can't be read or is invalid.
    """
    try:
        with open(path, "rb") as source:
            table = tomllib.load(source)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not a TOML file: {error}") from error
    return read_settings(table, load_knobs(knobs_path) if knobs_path else Knobs())


def read_settings(table: dict[str, Any], knobs: Knobs) -> Settings:
    """Return the settings in the platform's decoded file. Raises SettingsError, which names the first invalid field."""
    top = TableReader(table)
    name = top.string("member")
    outside = top.table("outside")
    deployment = top.table("deployment")
    workers = deployment.table("workers")
    state = deployment.table("state")
    limits = _limits(state)
    cloud = deployment.table("cloud")
    teams = _teams(deployment)
    objectives = _objectives(deployment)
    return Settings(
        name=name,
        zone=top.string("site"),
        listen=top.address("serve_on"),
        peer_listen=top.address("peer_bind"),
        peers=_peers(top),
        cloud=outside.address("cloud"),
        state=outside.address("state"),
        zones=deployment.strings("zones"),
        max_clock_offset_s=deployment.number("clock_off_ms", default=0.0) / MS_PER_S,
        teams=teams,
        start_objectives=objectives.start,
        deadline_objectives=objectives.deadline,
        report_s=workers.number("report_s", MIN_INTERVAL_S),
        lease_s=workers.number("lease_s", MIN_INTERVAL_S),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        store_limits=limits,
        next_store_limits=_next_limits(state, limits),
        cloud_rps=cloud.number("rps", MIN_RATE),
        list_lag_s=cloud.number("list_lag_s"),
        max_sockets=int(deployment.table("resources").number("max_sockets", MIN_SOCKETS)),
        knobs=knobs,
    )


def _peers(top: TableReader) -> tuple[Peer, ...]:
    return tuple(Peer(row.string("member"), row.string("site"), row.address("address")) for row in top.tables("peers"))


def _limits(state: TableReader) -> StoreLimits:
    return StoreLimits(
        rps=state.number("rps", MIN_RATE),
        write_rps=state.number("write_rps", MIN_RATE),
        value_bytes=int(state.number("value_kb", MIN_VALUE_KB) * BYTES_PER_KB),
        txn_ops=int(state.number("txn_ops", MIN_OPERATIONS)),
    )


def _next_limits(state: TableReader, current: StoreLimits) -> StoreLimits:
    """Return the minimum of the current limits and those that `state.next` announces.

    Limits that `state.next` omits don't change.
    """
    if "next" not in state:
        return current
    table = state.table("next")
    value_kb = current.value_bytes / BYTES_PER_KB
    return StoreLimits(
        rps=min(current.rps, table.number("rps", MIN_RATE, default=current.rps)),
        write_rps=min(current.write_rps, table.number("write_rps", MIN_RATE, default=current.write_rps)),
        value_bytes=min(
            current.value_bytes, int(table.number("value_kb", MIN_VALUE_KB, default=value_kb) * BYTES_PER_KB)
        ),
        txn_ops=min(current.txn_ops, int(table.number("txn_ops", MIN_OPERATIONS, default=current.txn_ops))),
    )


def _teams(deployment: TableReader) -> dict[str, Team]:
    """Return the teams by name. A limit of 0 in the file means unlimited."""
    teams = {}
    for row in deployment.tables("teams"):
        team = Team(
            name=row.string("name"),
            cpus=row.number("cpus", default=0.0),
            gpus=row.number("gpus", default=0.0),
            cpus_max=row.number("cpus_max", default=0.0) or None,
            gpus_max=row.number("gpus_max", default=0.0) or None,
        )
        teams[team.name] = team
    return teams


@dataclass(frozen=True)
class _Objectives:
    """Service-level objectives by job class; see `start_objectives` and `deadline_objectives` of `Settings`."""

    start: dict[str, float] = field(default_factory=dict)
    deadline: dict[str, float] = field(default_factory=dict)


def _objectives(deployment: TableReader) -> _Objectives:
    """Return the objectives that the scheduler uses: those of kind `wait` or `deadline` that name a job class."""
    objectives = _Objectives()
    for row in deployment.tables("objectives"):
        if "class" not in row:
            continue
        if row.equals("kind", "wait"):
            objectives.start[row.string("class")] = row.number("within_s")
        elif row.equals("kind", "deadline"):
            factor = row.number("times", default=1.0)
            job_class = row.string("class")
            objectives.deadline[job_class] = max(objectives.deadline.get(job_class, 1.0), factor)
    return objectives
