"""The settings of a controller, typed and in this program's own terms.

Durations are in seconds (fields that end in `_s`), rates in requests or changes a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Quotas are compared with this tolerance, so that sums of amounts that fit exactly aren't turned down.
AMOUNT_TOLERANCE = 1e-6
# Share of a worker's lease that is left for the drift of clocks, and for a worker that has lost its lease to end its
# tasks.
LEASE_MARGIN = 0.1


class SettingsError(Exception):
    """A settings file can't be used; the message names the field."""


@dataclass(frozen=True)
class Peer:
    """Another controller of the cluster."""

    name: str
    zone: str
    address: tuple[str, int]  # at which it takes frames


@dataclass(frozen=True)
class Team:
    """Amounts a team is guaranteed and may at most use; a limit of None is no limit."""

    name: str
    cpus: float  # cores that are guaranteed
    gpus: float  # accelerators that are guaranteed
    cpus_max: float | None
    gpus_max: float | None

    def allows(self, cpus: float, gpus: float) -> bool:
        """Whether the team may use so much in all."""
        return (self.cpus_max is None or cpus <= self.cpus_max + AMOUNT_TOLERANCE) and (
            self.gpus_max is None or gpus <= self.gpus_max + AMOUNT_TOLERANCE
        )


@dataclass(frozen=True)
class StoreLimits:
    """What the state service takes."""

    rps: float  # requests a second, of all kinds
    write_rps: float  # changes a second
    value_bytes: int  # of a value, as JSON
    txn_ops: int  # changes in a transaction


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


@dataclass(frozen=True)
class Settings:
    """All that a controller is told about itself, its cluster and the services around it."""

    name: str  # of this controller
    zone: str  # in which this controller runs
    listen: tuple[str, int]  # for workers and users
    peer_listen: tuple[str, int]  # for frames of the other controllers
    peers: tuple[Peer, ...]  # the other controllers
    cloud: tuple[str, int]  # address of the cloud's interface
    state: tuple[str, int]  # address of the state service
    zones: tuple[str, ...]  # all zones of the cluster
    max_clock_offset_s: float  # the most that a wall clock differs from true time
    teams: dict[str, Team]  # by name
    start_objectives: dict[str, float]  # class -> seconds within which its jobs are to start
    # class -> the greatest multiple of a deadline within which its jobs still count
    deadline_objectives: dict[str, float]
    report_s: float  # between two reports of a worker
    lease_s: float  # a worker's lease, counted from when it sent the report that was answered
    gang_wait_s: float  # that a gang's task waits on its machine for the others
    gang_peer_s: float  # within which the tasks of a running gang notice that one of them is gone
    cancel_s: float  # from a cancellation's answer until no task of the job runs any more
    store_limits: StoreLimits  # in force
    next_store_limits: StoreLimits  # the smaller of these and those that are announced for some moment after an upgrade
    cloud_rps: float  # requests a second that the cloud takes
    list_lag_s: float  # nominal delay of the cloud's list of machines; it may be more
    max_sockets: int  # that a controller may have open
    knobs: Knobs = field(default_factory=Knobs)

    @property
    def controller_count(self) -> int:
        """How many controllers the cluster has."""
        return len(self.peers) + 1

    @property
    def controller_lease_s(self) -> float:
        """The length of a controller's lease at the state service."""
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
