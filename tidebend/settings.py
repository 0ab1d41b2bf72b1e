"""The checked settings: the platform's TOML file and the operators' optional HCL file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from typing import Any


class SettingsError(Exception):
    """A settings file can't be used; the message names the field."""


@dataclass(frozen=True)
class Peer:
    name: str
    zone: str
    address: tuple[str, int]


@dataclass(frozen=True)
class Team:
    """Amounts a team is guaranteed and may at most use; a limit of None is no limit."""

    name: str
    cpus: float
    gpus: float
    cpus_max: float | None
    gpus_max: float | None

    def allows(self, cpus: float, gpus: float) -> bool:
        return (self.cpus_max is None or cpus <= self.cpus_max + 1e-6) and (
            self.gpus_max is None or gpus <= self.gpus_max + 1e-6
        )


@dataclass(frozen=True)
class Limits:
    """What the state service takes."""

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int


@dataclass(frozen=True)
class Knobs:
    """The operators' own settings. All are ratios."""

    # length of a controller's lease at the state service, as a share of the workers' lease
    controller_lease: float = 0.35
    # a machine silent for this share of the workers' lease is suspect and is asked directly
    suspect_after: float = 0.45
    # idle machines are kept for this share of the time that another would take to boot and fetch an image
    keep_idle: float = 0.6
    # ends of an array's tasks are gathered for this share of the workers' lease before they are recorded, and it claims
    # for its next tasks twice as often: changes of the state are few on the platform
    gather: float = 0.2
    # place-holders reach this many estimates into the future
    horizon: float = 1.0


# ... of a worker's lease: for drift, and until a worker that has lost its lease has ended its tasks
LEASE_MARGIN = 0.1


@dataclass(frozen=True)
class Settings:
    name: str
    zone: str
    listen: tuple[str, int]
    peer_listen: tuple[str, int]
    peers: tuple[Peer, ...]
    cloud: tuple[str, int]
    state: tuple[str, int]
    zones: tuple[str, ...]
    clock_off_s: float
    teams: dict[str, Team]
    start_aims: dict[str, float]
    late_aims: dict[str, float]  # class -> the greatest multiple of a deadline within which its jobs still count
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float
    state_limits: Limits
    state_next: Limits  # the smaller of these and those that are announced for some moment after an upgrade
    cloud_rps: float
    list_lag_s: float
    max_sockets: int
    knobs: Knobs = field(default_factory=Knobs)

    @property
    def controllers(self) -> int:
        return len(self.peers) + 1

    @property
    def controller_lease_s(self) -> float:
        return self.lease_s * self.knobs.controller_lease

    @property
    def staleness_bound_s(self) -> float:
        """The staleness bound: how old a holder's last read of the state service may be while it answers workers.

        A user was told "cancelled" at T, by whichever controller. A read that began after T knows it, so that a holder
        that doesn't know it has read before T, and answers reports until T + bound at the latest. A worker's lease
        counts from when it sent the report, which is earlier, and so ends by T + bound + `lease_s`: that must be within
        `cancel_s`. How long a report or its answer is under way takes nothing from that. The margin covers the drift of
        the clocks, 0.05% of it all, and what a worker needs to end its tasks.
        """
        return max(0.0, self.cancel_s - (1.0 + LEASE_MARGIN) * self.lease_s)


class _Reader:
    def __init__(self, table: dict[str, Any], where: str = "") -> None:
        self.table = table
        self.where = where

    def _get(self, key: str, kinds: tuple[type, ...], what: str, default: Any = None) -> Any:
        name = f"{self.where}{key}"
        if key not in self.table:
            if default is not None:
                return default
            raise SettingsError(f"settings: {name} is missing")
        value = self.table[key]
        if not isinstance(value, kinds) or isinstance(value, bool):
            raise SettingsError(f"settings: {name} must be {what}")
        return value

    def text(self, key: str) -> str:
        return self._get(key, (str,), "a text")

    def number(self, key: str, least: float = 0.0, default: float | None = None) -> float:
        value = float(self._get(key, (int, float), "a number", default))
        if not least <= value < float("inf"):
            raise SettingsError(f"settings: {self.where}{key} must be a number of at least {least:g}")
        return value

    def table_of(self, key: str) -> _Reader:
        return _Reader(self._get(key, (dict,), "a table"), f"{self.where}{key}.")

    def tables(self, key: str) -> list[_Reader]:
        rows = self._get(key, (list,), "a list of tables", default=[])
        if any(not isinstance(row, dict) for row in rows):
            raise SettingsError(f"settings: {self.where}{key} must be a list of tables")
        return [_Reader(row, f"{self.where}{key}[{n}].") for n, row in enumerate(rows)]

    def texts(self, key: str) -> tuple[str, ...]:
        rows = self._get(key, (list,), "a list of texts")
        if any(not isinstance(row, str) for row in rows):
            raise SettingsError(f"settings: {self.where}{key} must be a list of texts")
        return tuple(rows)

    def address(self, key: str) -> tuple[str, int]:
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            raise SettingsError(f"settings: {self.where}{key} must be an address with a port")
        return host, int(port)


def _knobs(path: str) -> Knobs:
    import hcl2  # only where such a file is used: the parser is slow to import

    try:
        with open(path, encoding="utf-8") as source:
            table = hcl2.load(source)
    except Exception as error:
        raise SettingsError(f"{path}: not an HCL file: {error}") from error
    values = {}
    for knob in fields(Knobs):
        if knob.name in table:
            value = table[knob.name]
            if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e6:
                raise SettingsError(f"{path}: {knob.name} must be a ratio of at least 0")
            values[knob.name] = float(value)
    knobs = Knobs(**values)
    if not 0.05 <= knobs.controller_lease <= 0.8:
        raise SettingsError(f"{path}: controller_lease must be between 0.05 and 0.8")
    return knobs


def load_settings(path: str, knobs_path: str | None = None) -> Settings:
    try:
        with open(path, "rb") as source:
            table = tomllib.load(source)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not a TOML file: {error}") from error
    return read_settings(table, _knobs(knobs_path) if knobs_path else Knobs())


def _next_limits(state: _Reader, now: Limits) -> Limits:
    """`state.next` tells of limits to come; what it leaves out stays as it is."""
    if "next" not in state.table:
        return now
    table = state.table_of("next")
    return Limits(
        min(now.rps, table.number("rps", 0.001, default=now.rps)),
        min(now.write_rps, table.number("write_rps", 0.001, default=now.write_rps)),
        min(now.value_bytes, int(table.number("value_kb", 0.1, default=now.value_bytes / 1024) * 1024)),
        min(now.txn_ops, int(table.number("txn_ops", 2, default=now.txn_ops))),
    )


def read_settings(table: dict[str, Any], knobs: Knobs) -> Settings:
    # The platform's file has words of its own; they end here.
    top = _Reader(table)
    member = top.text("member")
    outside = top.table_of("outside")
    deployment = top.table_of("deployment")
    workers = deployment.table_of("workers")
    state = deployment.table_of("state")
    limits = Limits(
        state.number("rps", 0.001),
        state.number("write_rps", 0.001),
        int(state.number("value_kb", 0.1) * 1024),
        int(state.number("txn_ops", 2)),
    )
    cloud = deployment.table_of("cloud")
    teams = {}
    for row in deployment.tables("teams"):
        # a limit that is written as 0 is none
        team = Team(
            row.text("name"),
            row.number("cpus", default=0.0),
            row.number("gpus", default=0.0),
            row.number("cpus_max", default=0.0) or None,
            row.number("gpus_max", default=0.0) or None,
        )
        teams[team.name] = team
    start_aims = {}
    late_aims: dict[str, float] = {}
    for row in deployment.tables("objectives"):
        if row.table.get("kind") == "wait" and "class" in row.table:
            start_aims[row.text("class")] = row.number("within_s")
        if row.table.get("kind") == "deadline" and "class" in row.table:
            times = row.number("times", default=1.0)
            late_aims[row.text("class")] = max(late_aims.get(row.text("class"), 1.0), times)
    return Settings(
        name=member,
        zone=top.text("site"),
        listen=top.address("serve_on"),
        peer_listen=top.address("peer_bind"),
        peers=tuple(Peer(row.text("member"), row.text("site"), row.address("address")) for row in top.tables("peers")),
        cloud=outside.address("cloud"),
        state=outside.address("state"),
        zones=deployment.texts("zones"),
        clock_off_s=deployment.number("clock_off_ms", default=0.0) / 1000.0,
        teams=teams,
        start_aims=start_aims,
        late_aims=late_aims,
        report_s=workers.number("report_s", 0.001),
        lease_s=workers.number("lease_s", 0.001),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        state_limits=limits,
        state_next=_next_limits(state, limits),
        cloud_rps=cloud.number("rps", 0.001),
        list_lag_s=cloud.number("list_lag_s"),
        max_sockets=int(deployment.table_of("resources").number("max_sockets", 16)),
        knobs=knobs,
    )
