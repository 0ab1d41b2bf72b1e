"""Cancelled work on machines that hang: such machines are released, so that the work surely ends."""

from __future__ import annotations

import math

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.machine_releaser import MAX_NAMES, MachineReleaser
from tidebend.controller.workers.zone_probe import SAMPLE_SIZE, ProbeRound, ZoneProbe
from tidebend.coordination import Coordinator, PeerExchange, shard_of
from tidebend.settings import Settings

# a machine doesn't respond if so many probes in a row had no answer
MAX_PROBES = 2
# a machine is probed once its last contact is so many report intervals ago
SILENT_REPORTS = 2.0


def has_cancelled_work(job_cache: JobCache, machine: str) -> bool:
    """Whether a machine has allocations of a cancelled job."""
    return any(job.cancelled for job, _ in job_cache.allocations_on(machine))


class CancelledWorkReaper:
    """Releases unresponsive machines with allocations of jobs that were cancelled long ago.

    Without it, cancelled tasks ran on for too long on machines that hang: in an outage of the key-value store no
    controller has a lease, a worker that hangs can't end its tasks when its own lease ends, and shard holders that
    follow one another within moments each waited anew for the machine to become unresponsive. A job that is cancelled
    stays so, so that the release is right whoever holds the shard by now and whether or not our lease is valid, and
    the cloud's confirmation is the proof once the store is back. A worker that is merely out of reach has lost its
    tasks by then.
    """

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        zone_probe: ZoneProbe,
        releaser: MachineReleaser,
    ) -> None:
        """`zone_probe` sends the probes, and `releaser` releases the machines that don't answer them."""
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._zone_probe = zone_probe
        self._releaser = releaser
        # cancelled job with allocations -> steady time since which it is known here; None before the first read
        self._cancelled_since: dict[str, float] | None = None
        self._probes: dict[str, list[ProbeRound]] = {}  # machine -> its latest probes, oldest first

    def record_cancelled(self, now: float) -> None:
        """Record since when cancelled jobs are known here; those of our first read count as cancelled long ago."""
        if not self._coordinator.cache.loaded.is_set():
            return
        if self._cancelled_since is None:
            known, first_seen = {}, -math.inf
        else:
            known, first_seen = self._cancelled_since, now
        self._cancelled_since = {
            job.id: known.get(job.id, first_seen)
            for job in self._job_cache.live_jobs()
            if job.cancelled and job.allocations
        }

    def release_unresponsive(self, released_by_peers: set[str], now: float) -> None:
        """Probe machines with work that was cancelled long ago, and release those that don't answer.

        Not by a controller that has lost contact to all peers and workers: then it is itself cut off. Raises
        InvalidMessageError for a response of the cloud that can't be read.
        """
        held_shards = {grant.shard for grant in self._coordinator.grants()}
        peer_contacts = [peer.received_at for peer in self._peer_exchange.peers.values()]
        with self._machine_registry.lock:
            contacts = {
                machine.name: max(machine.last_heartbeat, machine.last_direct_answer)
                for machine in self._machine_registry.machines.values()
            }
            # allocations on released machines wait for the key-value store
            released = released_by_peers | self._machine_registry.released_at.keys()
        overdue = self._overdue_machines(contacts, released, now)
        unresponsive = self._probe(overdue, held_shards, now)
        latest_contact = max([*peer_contacts, *contacts.values()], default=now)
        if unresponsive and now - latest_contact < self._settings.lease_s:
            self._releaser.release(unresponsive[:MAX_NAMES])

    def _overdue_machines(self, contacts: dict[str, float], released: set[str], now: float) -> dict[str, str]:
        """Machines out of contact with work that was cancelled long ago, and their zones."""
        max_silence_s = SILENT_REPORTS * self._settings.report_s
        return {
            allocation.machine: allocation.zone
            for job in self._job_cache.live_jobs()
            if self._is_long_cancelled(job, now)
            for allocation in job.allocations
            if allocation.machine not in released and now - contacts.get(allocation.machine, -math.inf) > max_silence_s
        }

    def _is_long_cancelled(self, job: Job, now: float) -> bool:
        since = (self._cancelled_since or {}).get(job.id, now)
        return job.cancelled and since < now - self._settings.staleness_bound_s

    def _probe(self, overdue: dict[str, str], held_shards: set[str], now: float) -> list[str]:
        """Probe machines, and return those that haven't answered `MAX_PROBES` times in a row."""
        self._probes = {name: probes for name, probes in self._probes.items() if name in overdue}
        addresses = self._zone_probe.addresses() if overdue else {}
        # few at a time: probes of zones that may be lost use the same threads and must not wait
        open_probes = sum(not probes[-1].is_complete for probes in self._probes.values() if probes)
        unresponsive = []
        for name, zone in overdue.items():
            shard = shard_of(zone)
            if shard not in held_shards and not self._has_no_holder(shard, now):
                continue
            probes = self._probes.setdefault(name, [])
            if len(probes) >= MAX_PROBES and all(probe.unanswered for probe in probes[-MAX_PROBES:]):
                unresponsive.append(name)
                continue
            if probes and not probes[-1].is_complete:
                continue
            if name in addresses:
                if open_probes < SAMPLE_SIZE:
                    open_probes += 1
                    probes[:] = [*probes[1 - MAX_PROBES :], self._zone_probe.probe(addresses[name].address)]
            elif shard in held_shards:
                # no peer knows its address, and its worker would have reported to us by now
                probes[:] = [ProbeRound(1, unanswered=1)] * MAX_PROBES
        return unresponsive

    def _has_no_holder(self, shard: str, now: float) -> bool:
        peer = self._peer_exchange.peers.get(self._coordinator.holder(shard) or "")
        return peer is None or now - peer.received_at > self._settings.lease_s
