"""Unresponsive machines: every shard holder releases those without contact for too long."""

from __future__ import annotations

from collections.abc import Callable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine import Machine
from tidebend.controller.autoscaling.cancelled_work import has_cancelled_work
from tidebend.controller.autoscaling.machine_releaser import MAX_MACHINES_PER_RELEASE, MachineReleaser
from tidebend.controller.autoscaling.zone_evacuation import ZoneEvacuation
from tidebend.coordination import Coordinator, PeerExchange, ShardGrant, shard_of
from tidebend.settings import Settings

# time without contact after which a machine is released, as a multiple of the workers' lease
GRACE_LEASES = 0.55
# the same if most machines of its shard are unresponsive, so that the network is the likely cause
MAJORITY_GRACE_LEASES = 2.0
# share of the time until a machine is suspected after which it gets direct commands, ahead of a release
DIRECT_CONTACT_SHARE = 0.6
# how long a shard without any contact here is marked unreachable, so that another controller takes it over, as a
# multiple of the workers' lease
UNREACHABLE_MARK_LEASES = 2.0

# A shard's workers have lost contact to its holder alone if none of at least `MIN_MACHINES` machines has reported to it
# for this many report intervals, in which each one reports at least once, while other controllers receive reports from
# them. A report redirected to the holder arrives within `REDIRECT_S` seconds.
MIN_MACHINES = 3
QUIET_REPORT_INTERVALS = 1.25
REDIRECT_S = 0.5


class UnresponsiveMachines:
    """Releases machines that have lost contact; their tasks may start elsewhere only after the release."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        job_cache: JobCache,
        releaser: MachineReleaser,
        evacuation: ZoneEvacuation,
        suspect_after_s: float,
        send_commands: Callable[[set[str]], None],
    ) -> None:
        """`suspect_after_s`: seconds without contact after which a machine gets no new work.

        `send_commands` sends direct commands to machines, whose answers show that they are alive.
        """
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._job_cache = job_cache
        self._releaser = releaser
        self._evacuation = evacuation
        self._suspect_after_s = suspect_after_s
        self._send_commands = send_commands
        # shard -> monotonic time since which its workers report to other controllers and not to this one
        self._diverted_since: dict[str, float] = {}

    def reset_diversions(self) -> None:
        """Forget which shards' workers report elsewhere: during a pause or a backlog, no report was processed here."""
        self._diverted_since.clear()

    def check(self, grant: ShardGrant, machines: list[Machine], now: float) -> None:
        """Check a shard held here, of which `machines` have reported to this controller.

        Marks the shard as unreachable from here if there is no contact to any of its machines, and releases machines
        without contact for too long. Raises InvalidMessageError for an invalid response of the cloud.
        """
        unreported = self._unreported(grant, {machine.name for machine in machines})
        unresponsive = self._unresponsive(grant, machines, unreported, now)
        # contact before a release: a worker may still be switching to this controller from one that died
        self._send_commands({machine.name for machine in machines if self._needs_contact(machine, now)})
        total = len(machines) + len(unreported)
        if self._settings.peers:
            is_unreachable = bool(unresponsive) and len(unresponsive) == total
            if is_unreachable or self._is_diverted(grant, machines, now):
                self._coordinator.mark_unreachable(grant.shard, total, UNREACHABLE_MARK_LEASES * self._settings.lease_s)
        self._release_overdue(grant.shard, unresponsive, total, now)

    def _unresponsive(
        self, grant: ShardGrant, machines: list[Machine], unreported: dict[str, float], now: float
    ) -> dict[str, float]:
        """Return the machines without contact, and the monotonic time of their last contact."""
        unresponsive = {
            machine.name: since
            for machine in machines
            if now - (since := self._last_contact(machine, grant.held_since)) > self._suspect_after_s
        }
        unresponsive.update({name: since for name, since in unreported.items() if now - since > self._suspect_after_s})
        until = self._evacuation.isolated_until(grant.shard)
        if until is not None and until > grant.held_since:
            # all controllers have probed the zone without contact, so there is no need to wait any longer
            no_report_here = {
                machine.name: grant.held_since for machine in machines if machine.last_heartbeat <= grant.held_since
            }
            unresponsive |= no_report_here | unreported
        return unresponsive

    def _unreported(self, grant: ShardGrant, reported: set[str]) -> dict[str, float]:
        """Return the machines with allocations that never reported here, and since when their shard is held here."""
        return {
            allocation.machine: grant.held_since
            for job in self._job_cache.live_jobs()
            for allocation in job.allocations
            if shard_of(allocation.zone) == grant.shard and allocation.machine not in reported
        }

    def _last_contact(self, machine: Machine, held_since: float) -> float:
        """Return the monotonic time at which a machine was last known to be alive.

        Answers to direct commands extend the last report by one lease at most, since a worker that reports to no
        controller loses its tasks all the same.
        """
        reported = max(machine.last_heartbeat, held_since)
        return max(reported, min(machine.last_direct_answer, reported + self._settings.lease_s))

    def _needs_contact(self, machine: Machine, now: float) -> bool:
        last_contact = max(machine.last_heartbeat, machine.last_direct_answer)
        return now - last_contact > DIRECT_CONTACT_SHARE * self._suspect_after_s

    def _is_diverted(self, grant: ShardGrant, machines: list[Machine], now: float) -> bool:
        """Return whether a shard's workers have lost contact to this controller alone and report to others.

        Without this check, all other controllers kept redirecting such workers here, each time at the cost of a
        time-out, and the leases of some expired before each machine was suspected individually.
        """
        shard = grant.shard
        last_report = max((machine.last_heartbeat for machine in machines), default=grant.held_since)
        if (
            len(machines) < MIN_MACHINES
            or last_report <= grant.held_since
            or self._peer_exchange.last_report(shard) <= last_report
            or now - last_report <= QUIET_REPORT_INTERVALS * self._settings.report_s
        ):
            self._diverted_since.pop(shard, None)
            return False
        return now - self._diverted_since.setdefault(shard, now) > REDIRECT_S

    def _release_overdue(self, shard: str, unresponsive: dict[str, float], total: int, now: float) -> None:
        """Release unresponsive machines whose grace period is over, or evacuate the zone if it is isolated."""
        until = self._evacuation.isolated_until(shard)
        if until is not None and len(unresponsive) == total and until > min(unresponsive.values(), default=now):
            self._evacuation.evacuate(unresponsive, until, now)
            return
        grace_s = self._grace_s(shard, len(unresponsive), total)
        overdue = [
            name
            for name, since in unresponsive.items()
            if now - since > (min(grace_s, self._settings.lease_s) if self._has_cancelled_work(name) else grace_s)
        ]
        if overdue:
            self._releaser.release(self._evacuation.by_priority(overdue, now)[:MAX_MACHINES_PER_RELEASE])

    def _grace_s(self, shard: str, unresponsive: int, total: int) -> float:
        # If most are unresponsive, the network is the likely cause, and they may go on working beyond the partition.
        short_grace = 2 * unresponsive <= max(total, 2) or self._coordinator.is_unreachable_by_all(shard)
        return self._settings.lease_s * (GRACE_LEASES if short_grace else MAJORITY_GRACE_LEASES)

    def _has_cancelled_work(self, name: str) -> bool:
        return has_cancelled_work(self._job_cache, name)
