"""The platform's TOML file, which has words of its own: they are read here and nowhere else."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import Any

from tidebend.settings.knobs_file import load_knobs
from tidebend.settings.model import Knobs, Peer, Settings, SettingsError, StoreLimits, Team
from tidebend.settings.table_reader import TableReader

BYTES_PER_KB = 1024
MS_PER_S = 1000.0
# Rates and intervals can't be 0.
LEAST_RATE = 0.001
LEAST_INTERVAL_S = 0.001
LEAST_VALUE_KB = 0.1
LEAST_OPERATIONS = 2
LEAST_SOCKETS = 16


def load_settings(path: str, knobs_path: str | None = None) -> Settings:
    """The settings in the platform's file, with the operators' knobs if they have a file for them.

    Raises SettingsError.
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
    """The settings in the platform's decoded file. Raises SettingsError, which names the first field that is wrong."""
    top = TableReader(table)
    name = top.text("member")
    outside = top.table("outside")
    deployment = top.table("deployment")
    workers = deployment.table("workers")
    state = deployment.table("state")
    limits = _limits(state)
    cloud = deployment.table("cloud")
    teams = _teams(deployment)
    aims = _aims(deployment)
    return Settings(
        name=name,
        zone=top.text("site"),
        listen=top.address("serve_on"),
        peer_listen=top.address("peer_bind"),
        peers=_peers(top),
        cloud=outside.address("cloud"),
        state=outside.address("state"),
        zones=deployment.texts("zones"),
        max_clock_offset_s=deployment.number("clock_off_ms", default=0.0) / MS_PER_S,
        teams=teams,
        start_objectives=aims.start,
        deadline_objectives=aims.late,
        report_s=workers.number("report_s", LEAST_INTERVAL_S),
        lease_s=workers.number("lease_s", LEAST_INTERVAL_S),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        store_limits=limits,
        next_store_limits=_next_limits(state, limits),
        cloud_rps=cloud.number("rps", LEAST_RATE),
        list_lag_s=cloud.number("list_lag_s"),
        max_sockets=int(deployment.table("resources").number("max_sockets", LEAST_SOCKETS)),
        knobs=knobs,
    )


def _peers(top: TableReader) -> tuple[Peer, ...]:
    return tuple(Peer(row.text("member"), row.text("site"), row.address("address")) for row in top.tables("peers"))


def _limits(state: TableReader) -> StoreLimits:
    return StoreLimits(
        rps=state.number("rps", LEAST_RATE),
        write_rps=state.number("write_rps", LEAST_RATE),
        value_bytes=int(state.number("value_kb", LEAST_VALUE_KB) * BYTES_PER_KB),
        txn_ops=int(state.number("txn_ops", LEAST_OPERATIONS)),
    )


def _next_limits(state: TableReader, now: StoreLimits) -> StoreLimits:
    """`state.next` tells of limits to come; what it leaves out stays as it is, and none grows."""
    if "next" not in state:
        return now
    table = state.table("next")
    value_kb = now.value_bytes / BYTES_PER_KB
    return StoreLimits(
        rps=min(now.rps, table.number("rps", LEAST_RATE, default=now.rps)),
        write_rps=min(now.write_rps, table.number("write_rps", LEAST_RATE, default=now.write_rps)),
        value_bytes=min(
            now.value_bytes, int(table.number("value_kb", LEAST_VALUE_KB, default=value_kb) * BYTES_PER_KB)
        ),
        txn_ops=min(now.txn_ops, int(table.number("txn_ops", LEAST_OPERATIONS, default=now.txn_ops))),
    )


def _teams(deployment: TableReader) -> dict[str, Team]:
    """By name. A limit that is written as 0 is none."""
    teams = {}
    for row in deployment.tables("teams"):
        team = Team(
            name=row.text("name"),
            cpus=row.number("cpus", default=0.0),
            gpus=row.number("gpus", default=0.0),
            cpus_max=row.number("cpus_max", default=0.0) or None,
            gpus_max=row.number("gpus_max", default=0.0) or None,
        )
        teams[team.name] = team
    return teams


@dataclass(frozen=True)
class _Aims:
    """The service objectives, by class of jobs; see `Settings`."""

    start: dict[str, float] = field(default_factory=dict)
    late: dict[str, float] = field(default_factory=dict)


def _aims(deployment: TableReader) -> _Aims:
    """Objectives of other kinds, and those of no class, are for others."""
    aims = _Aims()
    for row in deployment.tables("objectives"):
        if "class" not in row:
            continue
        if row.is_text("kind", "wait"):
            aims.start[row.text("class")] = row.number("within_s")
        elif row.is_text("kind", "deadline"):
            times = row.number("times", default=1.0)
            job_class = row.text("class")
            aims.late[job_class] = max(aims.late.get(job_class, 1.0), times)
    return aims
