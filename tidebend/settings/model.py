"""Typed settings of a controller, independent of the names used in the settings files.

Durations are in seconds (fields that end in `_s`), rates in requests or writes per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Tolerance for comparing resource sums with a limit, so that rounding errors don't reject sums that fit exactly.
AMOUNT_TOLERANCE = 1e-6
# Share of a worker's lease reserved for clock drift and for a worker whose lease has expired to stop its tasks.
LEASE_MARGIN = 0.1


class SettingsError(Exception):
    """Raised if a settings file is invalid; the message names the field."""


@dataclass(frozen=True)
class Peer:
    """Another controller of the cluster."""

    name: str
    zone: str
    address: tuple[str, int]  # host and port at which it receives peer frames


@dataclass(frozen=True)
class Team:
    """A team's guarantee and limit. A limit of None means unlimited."""

    name: str
    cpus: float  # guaranteed CPU cores
    gpus: float  # guaranteed GPUs
    cpus_max: float | None  # limit
    gpus_max: float | None  # limit

    def allows(self, cpus: float, gpus: float) -> bool:
        """Return whether a total usage of this many CPU cores and GPUs is within the team's limit."""
        return (self.cpus_max is None or cpus <= self.cpus_max + AMOUNT_TOLERANCE) and (
            self.gpus_max is None or gpus <= self.gpus_max + AMOUNT_TOLERANCE
        )


@dataclass(frozen=True)
class StoreLimits:
    """Limits that the key-value store enforces."""

    rps: float  # requests per second, of all kinds
    write_rps: float  # writes per second
    value_bytes: int  # size of a value as JSON
    txn_ops: int  # writes per transaction


@dataclass(frozen=True)
class Knobs:
    """Tuning parameters that operators may set. All are ratios."""

    # duration of a controller's lease in the key-value store, as a share of the workers' lease
    controller_lease: float = 0.35
    # a machine that hasn't reported for this share of the workers' lease is suspected and is probed directly
    suspect_after: float = 0.45
    # an idle machine is kept for this share of the time that a new one would take to boot and fetch an image
    keep_idle: float = 0.6
    # Completions of an array's tasks are batched for this share of the workers' lease before they are recorded, and its
    # next tasks are claimed twice as often, since the platform's key-value store allows few writes.
    gather: float = 0.2
    # the furthest start of a place-holder, as a multiple of the longest run-time estimate
    horizon: float = 1.0


@dataclass(frozen=True)
class Settings:
    """Settings of a controller: its own, its cluster's, and those of the key-value store and the cloud."""

    name: str  # of this controller
    zone: str  # zone in which this controller runs
    listen: tuple[str, int]  # host and port on which it serves workers and users
    peer_listen: tuple[str, int]  # host and port on which it receives frames of the other controllers
    peers: tuple[Peer, ...]  # the other controllers
    cloud: tuple[str, int]  # address of the cloud's API
    state: tuple[str, int]  # address of the key-value store
    zones: tuple[str, ...]  # all zones of the cluster
    max_clock_offset_s: float  # largest difference of a wall clock from true time
    teams: dict[str, Team]  # by name
    start_objectives: dict[str, float]  # job class -> seconds within which its jobs should start
    # job class -> multiple of a job's deadline up to which it still counts as finished in time
    deadline_objectives: dict[str, float]
    report_s: float  # interval of a worker's reports
    lease_s: float  # duration of a worker's lease, counted from when it sent the report that was answered
    gang_wait_s: float  # how long a gang's task waits on its machine for the others to be ready
    gang_peer_s: float  # within this time the tasks of a running gang notice the loss of one of them
    cancel_s: float  # from the answer to a cancellation until no task of the job is running
    store_limits: StoreLimits  # limits in force
    next_store_limits: StoreLimits  # the minimum of these and the limits announced for after an upgrade
    cloud_rps: float  # requests per second that the cloud allows
    list_lag_s: float  # nominal delay of the cloud's list of machines; the real one may be longer
    max_sockets: int  # sockets that a controller may have open
    knobs: Knobs = field(default_factory=Knobs)

    @property
    def controller_count(self) -> int:
        """The number of controllers in the cluster."""
        return len(self.peers) + 1

    @property
    def controller_lease_s(self) -> float:
        """The duration of a controller's lease in the key-value store."""
        return self.lease_s * self.knobs.controller_lease

    @property
    def staleness_bound_s(self) -> float:
        """The maximum age of a shard holder's last read of the key-value store while it still answers workers.

        Suppose any controller confirms a cancellation to a user at time T. A read that begins after T sees the
        cancellation. A holder that hasn't seen it therefore last read before T, and answers reports until T + bound at
        the latest. A worker's lease counts from when it sent the report, which is earlier, so it ends by
        T + bound + `lease_s`; this must be within `cancel_s`. Network delays of reports and answers don't add to it.
        The margin covers clock drift (0.05% of the whole time) and the time that a worker takes to stop its tasks.
        """
        return max(0.0, self.cancel_s - (1.0 + LEASE_MARGIN) * self.lease_s)
