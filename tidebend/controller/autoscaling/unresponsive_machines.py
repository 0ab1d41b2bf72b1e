"""Unresponsive machines: every shard holder releases those that are out of contact for too long."""

from __future__ import annotations

from collections.abc import Callable

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine import Machine
from tidebend.controller.autoscaling.cancelled_work import has_cancelled_work
from tidebend.controller.autoscaling.machine_releaser import MAX_NAMES, MachineReleaser
from tidebend.controller.autoscaling.zone_evacuation import ZoneEvacuation
from tidebend.coordination import Coordinator, PeerExchange, ShardGrant, shard_of
from tidebend.settings import Settings

# a machine is released when its last contact is this share of the workers' lease ago
GRACE_LEASES = 0.55
# ... and if most machines of its shard are unresponsive, so that the network is the likely cause
GRACE_LEASES_MOST = 2.0
# a machine gets direct commands ahead of its release once this share of the time until it is suspected has passed
CONTACT_SHARE = 0.6
# another controller should hold a shard, none of whose machines is in contact here, for so many of the workers' leases
MARK_LEASES = 2.0

# A holder that has had no report of so many machines for so many report intervals, in which each has reported once at
# least, has lost its workers if they report to others; a report that is redirected to us is here within a moment.
MIN_MACHINES = 3
QUIET_REPORTS = 1.25
REDIRECT_S = 0.5


class UnresponsiveMachines:
    """Checks one shard's machines for lost contact; only once a machine is released may its tasks start elsewhere."""

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
        """`suspect_after_s`: without contact for so long, a machine gets no new work.

        `send_commands` has direct commands sent to machines, whose answers show that they are alive.
        """
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._job_cache = job_cache
        self._releaser = releaser
        self._evacuation = evacuation
        self._suspect_after_s = suspect_after_s
        self._send_commands = send_commands
        # shard -> steady time since which its workers report to others and not to us
        self._diverted_since: dict[str, float] = {}

    def restart_observation(self) -> None:
        """Forget which shards' workers report to others: we were paused or are behind, so no report was taken in."""
        self._diverted_since.clear()

    def check(self, grant: ShardGrant, machines: list[Machine], now: float) -> None:
        """Look after one shard of ours, whose machines that have reported to us are `machines`.

        Marks the shard as unreachable from here if none of its machines is in contact, and releases machines that are
        out of contact for too long. Raises InvalidMessageError for a response of the cloud that can't be read.
        """
        unreported = self._unreported(grant, {machine.name for machine in machines})
        unresponsive = self._unresponsive(grant, machines, unreported, now)
        # contacted directly before they are released: a worker may be on its way to us from a controller that died
        self._send_commands({machine.name for machine in machines if self._needs_contact(machine, now)})
        total = len(machines) + len(unreported)
        if self._settings.peers:
            is_unreachable = bool(unresponsive) and len(unresponsive) == total
            if is_unreachable or self._is_diverted(grant, machines, now):
                self._coordinator.mark_unreachable(grant.shard, total, MARK_LEASES * self._settings.lease_s)
        self._release_overdue(grant.shard, unresponsive, total, now)

    def _unresponsive(
        self, grant: ShardGrant, machines: list[Machine], unreported: dict[str, float], now: float
    ) -> dict[str, float]:
        """Machines out of contact, and the steady time of their last contact."""
        unresponsive = {
            machine.name: since
            for machine in machines
            if now - (since := self._last_contact(machine, grant.held_since)) > self._suspect_after_s
        }
        unresponsive.update({name: since for name, since in unreported.items() if now - since > self._suspect_after_s})
        until = self._evacuation.isolated_until(grant.shard)
        if until is not None and until > grant.held_since:
            # all controllers have probed the zone and none has contact: we needn't wait any longer ourselves
            no_report_here = {
                machine.name: grant.held_since for machine in machines if machine.last_heartbeat <= grant.held_since
            }
            unresponsive |= no_report_here | unreported
        return unresponsive

    def _unreported(self, grant: ShardGrant, reported: set[str]) -> dict[str, float]:
        """Machines with allocations that have never reported to us, and since when we hold their shard."""
        return {
            allocation.machine: grant.held_since
            for job in self._job_cache.live_jobs()
            for allocation in job.allocations
            if shard_of(allocation.zone) == grant.shard and allocation.machine not in reported
        }

    def _last_contact(self, machine: Machine, held_since: float) -> float:
        """Steady time at which we last knew a machine to be alive.

        Answers to direct commands count for a lease at most, since a worker that reports to nobody loses its tasks all
        the same.
        """
        reported = max(machine.last_heartbeat, held_since)
        return max(reported, min(machine.last_direct_answer, reported + self._settings.lease_s))

    def _needs_contact(self, machine: Machine, now: float) -> bool:
        last_contact = max(machine.last_heartbeat, machine.last_direct_answer)
        return now - last_contact > CONTACT_SHARE * self._suspect_after_s

    def _is_diverted(self, grant: ShardGrant, machines: list[Machine], now: float) -> bool:
        """Whether a shard's workers have lost contact to us alone: none reports here, and they report to others.

        Without it such workers went back and forth, redirected to us by all other controllers, each time at the cost
        of a time-out: by when each of them was suspected by itself, the leases of some ran out.
        """
        shard = grant.shard
        last_report = max((machine.last_heartbeat for machine in machines), default=grant.held_since)
        if (
            len(machines) < MIN_MACHINES
            or last_report <= grant.held_since
            or self._peer_exchange.last_report(shard) <= last_report
            or now - last_report <= QUIET_REPORTS * self._settings.report_s
        ):
            self._diverted_since.pop(shard, None)
            return False
        return now - self._diverted_since.setdefault(shard, now) > REDIRECT_S

    def _release_overdue(self, shard: str, unresponsive: dict[str, float], total: int, now: float) -> None:
        """Release unresponsive machines whose grace period is over; an isolated zone is evacuated instead."""
        until = self._evacuation.isolated_until(shard)
        if until is not None and len(unresponsive) == total and until > min(unresponsive.values(), default=now):
            self._evacuation.evacuate(unresponsive, until, now)
            return
        grace_s = self._grace_s(shard, len(unresponsive), total)
        overdue = [
            name
            for name, since in unresponsive.items()
            if now - since > (min(grace_s, self._settings.lease_s) if self._is_cancelled(name) else grace_s)
        ]
        if overdue:
            self._releaser.release(self._evacuation.by_priority(overdue, now)[:MAX_NAMES])

    def _grace_s(self, shard: str, unresponsive: int, total: int) -> float:
        # If most are unresponsive, the network is the likely cause and they may go on working on the other side.
        is_few = 2 * unresponsive <= max(total, 2) or self._coordinator.is_unreachable_by_all(shard)
        return self._settings.lease_s * (GRACE_LEASES if is_few else GRACE_LEASES_MOST)

    def _is_cancelled(self, name: str) -> bool:
        return has_cancelled_work(self._job_cache, name)
