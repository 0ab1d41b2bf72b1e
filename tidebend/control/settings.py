"""The control service's settings, read from an HCL file, and the settings of its controller derived from them."""

from __future__ import annotations

from typing import Annotated

import msgspec

from tidebend.access import NotLoopbackError, Tls, parse_listen_address
from tidebend.hcl import HclFile
from tidebend.messages.agents import Name
from tidebend.provider import MachineTypeSettings
from tidebend.settings import Knobs, Settings, read_settings

Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

CONTROLLER_NAME = "control"
# Default limits of the embedded key-value store.
DEFAULT_VALUE_KB = 32.0
DEFAULT_TRANSACTION_WRITES = 64
# Five for each machine of a fleet of 4,000; an agent uses one or two, and each is an open file.
MAX_CONNECTIONS = 20_000
# Completions are gathered for this share of a lease before they are recorded.
GATHER_LEASE_SHARE = 0.01


class Times(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and timeouts between agents and the controller."""

    report_s: Seconds = 1.0
    lease_s: Seconds = 15.0
    gang_wait_s: Seconds = 30.0
    gang_peer_s: Seconds = 5.0
    cancel_s: Seconds = 40.0

    def validation_error(self) -> tuple[str, str] | None:
        """Return the name of an invalid field and what was expected; None if all are valid."""
        if self.lease_s < 4 * self.report_s:
            return "lease_s", f"expected at least four times report_s ({4 * self.report_s:g})"
        minimum = 1.5 * self.lease_s + 2 * self.report_s
        if self.cancel_s < minimum:
            return (
                "cancel_s",
                f"expected at least 1.5 lease_s and 2 report_s ({minimum:g}): unreachable agents stop tasks no sooner",
            )
        return None


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate and size limits of the embedded key-value store, and where it listens."""

    requests_per_s: Amount = 4000.0
    changes_per_s: Amount = 2000.0
    value_kb: Annotated[float, msgspec.Meta(ge=1, le=64)] = DEFAULT_VALUE_KB
    changes_a_transaction: Annotated[int, msgspec.Meta(ge=4, le=1000)] = DEFAULT_TRANSACTION_WRITES
    listen: str = ""  # HOST:PORT; empty: reachable only for the controller in this process


class TeamLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The guarantees and limits of a team; a limit of 0 means no limit."""

    cpus: Amount = 0.0
    gpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus_max: Amount = 0.0


class ControlSettings(msgspec.Struct, frozen=True):
    """The settings of a control service, as given in its file."""

    listen: str
    metrics_listen: str
    zone: str
    keep_idle_s: float
    agents_alone_leases: float
    connections: int
    times: Times
    state: StoreSettings
    machines: dict[str, MachineTypeSettings]
    teams: dict[str, TeamLimits]
    tls: Tls | None

    def controller_settings(self, port: int, host: str) -> Settings:
        """Return the settings of the controller in this process, in the format of the platform's settings file."""
        address = f"{host}:{port}"
        table = {
            "member": CONTROLLER_NAME,
            "site": self.zone,
            "serve_on": address,
            "peer_bind": address,
            "peers": [],
            # Placeholders that are never connected to: store and provider are in this process.
            "outside": {"state": "inside:1", "cloud": "inside:2"},
            "deployment": {
                "size": 1,
                "zones": [self.zone],
                "clock_off_ms": 0.0,
                "teams": [{"name": name, **msgspec.structs.asdict(team)} for name, team in self.teams.items()],
                "workers": msgspec.structs.asdict(self.times),
                "state": {
                    "rps": self.state.requests_per_s,
                    "write_rps": self.state.changes_per_s,
                    "value_kb": self.state.value_kb,
                    "txn_ops": self.state.changes_a_transaction,
                },
                "objectives": [],
                "cloud": {"rps": 20.0, "list_lag_s": 0.5},
                "resources": {"max_sockets": self.connections},
            },
        }
        # `keep_idle` is a multiple of a machine's boot time, which the provider gives as one second. Writes to the
        # embedded store are cheap, so completions needn't be gathered for long.
        return read_settings(table, Knobs(keep_idle=self.keep_idle_s, gather=GATHER_LEASE_SHARE))


class _TopLevel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    listen: str = "127.0.0.1:0"
    metrics_listen: str = ""
    zone: Name = "here"
    keep_idle_s: Annotated[float, msgspec.Meta(ge=1, le=900_000)] = 900_000.0
    agents_alone_leases: Annotated[float, msgspec.Meta(ge=0)] = 40.0
    # Not bounded by the threads, of which the main server has 1,450 to 1,700 (`controller/connection_limits.py`) and
    # each auxiliary server 100 (`control/main.py`). A connection keeps a thread of its own while at most three quarters
    # of them are in use; beyond that it has one only during its requests (`transport/server.py`).
    connections: Annotated[int, msgspec.Meta(ge=64, le=MAX_CONNECTIONS)] = 1000


BLOCKS = ("times", "state", "machine", "team", "tls")


def load_control_settings(path: str) -> ControlSettings:
    """Read and validate a settings file. Raises HclFileError, which names line, field and what was expected."""
    file = HclFile(path)
    top_values = {name: value for name, value in file.values.items() if name not in BLOCKS}
    top = file.check(top_values, _TopLevel)
    times = file.block("times", Times)
    invalid = times.validation_error()
    if invalid:
        raise file.error(("times", invalid[0]), invalid[1])
    state = file.block("state", StoreSettings)
    tls = file.block("tls", Tls) if "tls" in file.values else None
    for field_path, text in (
        (("listen",), top.listen),
        (("metrics_listen",), top.metrics_listen or "127.0.0.1:0"),
        (("state", "listen"), state.listen or "127.0.0.1:0"),
    ):
        try:
            parse_listen_address(text, tls is not None)
        except (ValueError, NotLoopbackError) as error:
            raise file.error(field_path, str(error)) from error
    machines = file.labelled_blocks("machine", MachineTypeSettings)
    if not machines:
        raise file.error(("machine",), 'expected at least one machine "NAME" { cpus = ... memory_gb = ... }')
    teams = file.labelled_blocks("team", TeamLimits, lambda: {"everyone": TeamLimits()})
    for label in (*machines, *teams):
        try:
            msgspec.convert(label, Name)
        except msgspec.ValidationError as error:
            raise file.error(("machine" if label in machines else "team", label), str(error)) from error
    return ControlSettings(
        **msgspec.structs.asdict(top), times=times, state=state, machines=machines, teams=teams, tls=tls
    )
