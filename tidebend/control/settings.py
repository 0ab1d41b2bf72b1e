"""The control service's settings: an HCL file, checked, and from it the settings of the controller in it."""

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

CONTROLLER = "control"
# of what the embedded service takes, when nothing else is said
VALUE_KB = 32.0
TXN_OPS = 64
# five for each machine of a fleet of 4,000; an agent holds one or two, and each is an open file
MOST_CONNECTIONS = 20_000
# ends are gathered for this share of a lease
GATHER = 0.01


class Times(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds between agents and the controller."""

    report_s: Seconds = 1.0
    lease_s: Seconds = 15.0
    gang_wait_s: Seconds = 30.0
    gang_peer_s: Seconds = 5.0
    cancel_s: Seconds = 40.0

    def wrong(self) -> tuple[str, str] | None:
        """A field and what is wrong with it."""
        if self.lease_s < 4 * self.report_s:
            return "lease_s", f"expected at least four times report_s ({4 * self.report_s:g})"
        least = 1.5 * self.lease_s + 2 * self.report_s
        if self.cancel_s < least:
            return (
                "cancel_s",
                f"expected at least 1.5 lease_s and 2 report_s ({least:g}): a silent agent's tasks end no sooner",
            )
        return None


class State(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the embedded state service takes, a second or at a time."""

    requests_per_s: Amount = 4000.0
    changes_per_s: Amount = 2000.0
    value_kb: Annotated[float, msgspec.Meta(ge=1, le=64)] = VALUE_KB
    changes_a_transaction: Annotated[int, msgspec.Meta(ge=4, le=1000)] = TXN_OPS
    listen: str = ""  # empty: only for the controller in this process


class TeamLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a team is guaranteed and may at most use; a limit of 0 is none."""

    cpus: Amount = 0.0
    gpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus_max: Amount = 0.0


class ControlSettings(msgspec.Struct, frozen=True):
    """The settings of a control service, as its file has them."""

    listen: str
    metrics_listen: str
    zone: str
    keep_idle_s: float
    agents_alone_leases: float
    connections: int
    times: Times
    state: State
    machines: dict[str, MachineTypeSettings]
    teams: dict[str, TeamLimits]
    tls: Tls | None

    def controller_settings(self, port: int, host: str) -> Settings:
        """The settings of the controller in this process, in the platform's terms."""
        own = f"{host}:{port}"
        table = {
            "member": CONTROLLER,
            "site": self.zone,
            "serve_on": own,
            "peer_bind": own,
            "peers": [],
            # never connected to: both are in this process
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
        # a machine boots in a second by what the provider says, so this many of these are kept; and changes of the
        # state are cheap here, so that ends needn't be gathered for long
        return read_settings(table, Knobs(keep_idle=self.keep_idle_s, gather=GATHER))


class _Top(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    listen: str = "127.0.0.1:0"
    metrics_listen: str = ""
    zone: Name = "here"
    keep_idle_s: Annotated[float, msgspec.Meta(ge=1, le=900_000)] = 900_000.0
    agents_alone_leases: Annotated[float, msgspec.Meta(ge=0)] = 40.0
    # Not bounded by threads, of which the main interface has some 1,450 to 1,700 (`controller/connection_limits.py`)
    # and each other one a hundred (`control/main.py`). A connection has a thread of its own while no more than three
    # quarters of these are in use, after that only for its requests (`transport/server.py`).
    connections: Annotated[int, msgspec.Meta(ge=64, le=MOST_CONNECTIONS)] = 1000


BLOCKS = ("times", "state", "machine", "team", "tls")


def load_control_settings(path: str) -> ControlSettings:
    """Raises HclFileError, which names line, field and what was expected."""
    file = HclFile(path)
    plain = {name: value for name, value in file.values.items() if name not in BLOCKS}
    top = file.check(plain, _Top)
    times = file.block("times", Times)
    wrong = times.wrong()
    if wrong:
        raise file.error(("times", wrong[0]), wrong[1])
    state = file.block("state", State)
    tls = file.block("tls", Tls) if "tls" in file.values else None
    for where, text in (
        (("listen",), top.listen),
        (("metrics_listen",), top.metrics_listen or "127.0.0.1:0"),
        (("state", "listen"), state.listen or "127.0.0.1:0"),
    ):
        try:
            parse_listen_address(text, tls is not None)
        except (ValueError, NotLoopbackError) as error:
            raise file.error(where, str(error)) from error
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
