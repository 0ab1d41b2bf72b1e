"""Releases machines that hang with cancelled work, so that the work is certain to end."""

from __future__ import annotations

import math
import time
from typing import NamedTuple

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.machine_releaser import MAX_MACHINES_PER_RELEASE, MachineReleaser
from tidebend.controller.workers.zone_probe import SAMPLE_SIZE, MachineLocation, ProbeRound, ZoneProbe
from tidebend.coordination import Coordinator, PeerExchange, shard_of
from tidebend.settings import Settings

# a machine is unresponsive after this many consecutive unanswered probes
MAX_UNANSWERED_PROBES = 2
# report intervals without contact after which a machine is probed
SILENT_REPORT_INTERVALS = 2.0


class _Cancellation(NamedTuple):
    """When a cancellation became known to this controller, in monotonic time."""

    since: float  # -inf if it was known from the first read on, and so may be older
    read_at: float


class _OverdueMachine(NamedTuple):
    """A machine without contact that has work cancelled long ago."""

    zone: str
    read_at: float  # monotonic time since which this controller knows all of its overdue cancellations


def has_cancelled_work(job_cache: JobCache, machine: str) -> bool:
    """Return whether a machine has allocations of a cancelled job."""
    return any(job.cancelled for job, _ in job_cache.allocations_on(machine))


class CancelledWorkReaper:
    """Releases unresponsive machines with allocations of jobs that were cancelled long ago.

    Otherwise cancelled tasks would run on too long on machines that hang: in an outage of the key-value store no
    controller has a lease, a worker that hangs can't end its tasks when its own lease ends, and shard holders that
    succeed each other quickly each wait again for the machine to become unresponsive. Since cancellation is final, the
    release is correct whoever holds the shard and whether or not this controller's lease is valid. The cloud's
    confirmation proves the end of the tasks once the store is back. A worker that is merely unreachable has ended its
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
        """`zone_probe` sends the probes, and `releaser` releases the machines that don't answer."""
        self._settings = settings
        self._coordinator = coordinator
        self._peer_exchange = peer_exchange
        self._job_cache = job_cache
        self._machine_registry = machine_registry
        self._zone_probe = zone_probe
        self._releaser = releaser
        self._cancellations: dict[str, _Cancellation] | None = None  # by job with allocations; None before a read
        # Last known locations of machines with cancelled work: a holder that has restarted without reaching the
        # key-value store doesn't report them any more.
        self._locations: dict[str, MachineLocation] = {}
        self._probes: dict[str, list[ProbeRound]] = {}  # machine -> its latest probes, oldest first

    def record_cancelled(self, now: float) -> None:
        """Record since when cancelled jobs are known here; those of the first read count as cancelled long ago."""
        if not self._coordinator.cache.loaded.is_set():
            return
        known = self._cancellations or {}
        first_seen = _Cancellation(-math.inf if self._cancellations is None else now, now)
        self._cancellations = {
            job.id: known.get(job.id, first_seen)
            for job in self._job_cache.live_jobs()
            if job.cancelled and job.allocations
        }
        self._record_locations()

    def _record_locations(self) -> None:
        """Record where the machines with cancelled work are, as far as that is known now or was before."""
        jobs = filter(None, map(self._job_cache.get, self._cancellations or ()))
        names = {allocation.machine for job in jobs for allocation in job.allocations}
        locations = {**self._locations, **self._zone_probe.addresses()} if names else {}
        self._locations = {name: locations[name] for name in names & locations.keys()}

    def release_unresponsive(self, released_by_peers: set[str], now: float) -> None:
        """Probe machines with work that was cancelled long ago, and release those that don't answer.

        A controller without recent contact to any peer or worker releases nothing: it is itself cut off. Raises
        InvalidMessageError for an invalid response of the cloud.
        """
        held_shards = {grant.shard for grant in self._coordinator.grants()}
        peer_contacts = [peer.received_at for peer in self._peer_exchange.peers.values()]
        with self._machine_registry.lock:
            contacts = {
                machine.name: max(machine.last_heartbeat, machine.last_direct_answer)
                for machine in self._machine_registry.machines.values()
            }
            # their allocations remain only until the key-value store can be written
            released = released_by_peers | self._machine_registry.released_at.keys()
        overdue = self._overdue_machines(contacts, released, now)
        unresponsive = self._probe(overdue, held_shards, now)
        latest_contact = max([*peer_contacts, *contacts.values()], default=now)
        if unresponsive and now - latest_contact < self._settings.lease_s:
            self._releaser.release(unresponsive[:MAX_MACHINES_PER_RELEASE])

    def _overdue_machines(
        self, contacts: dict[str, float], released: set[str], now: float
    ) -> dict[str, _OverdueMachine]:
        """Return the machines without contact that have work cancelled long ago, by name."""
        max_silence_s = SILENT_REPORT_INTERVALS * self._settings.report_s
        found: dict[str, _OverdueMachine] = {}
        for job in self._job_cache.live_jobs():
            cancellation = self._overdue_cancellation(job, now)
            if cancellation is None:
                continue
            for allocation in job.allocations:
                name = allocation.machine
                if name not in released and now - contacts.get(name, -math.inf) > max_silence_s:
                    read_at = max(cancellation.read_at, found[name].read_at if name in found else -math.inf)
                    found[name] = _OverdueMachine(allocation.zone, read_at)
        return found

    def _overdue_cancellation(self, job: Job, now: float) -> _Cancellation | None:
        """Return the job's cancellation if it has been known for so long that its tasks must have ended."""
        cancellation = (self._cancellations or {}).get(job.id)
        if cancellation is None or not job.cancelled:
            return None
        return cancellation if cancellation.since < now - self._settings.staleness_bound_s else None

    def _probe(self, overdue: dict[str, _OverdueMachine], held_shards: set[str], now: float) -> list[str]:
        """Probe machines, and return those with `MAX_UNANSWERED_PROBES` consecutive unanswered probes."""
        self._probes = {name: probes for name, probes in self._probes.items() if name in overdue}
        # limits concurrent probes: probes of zones that may be lost use the same threads and must not wait
        open_probes = sum(not probes[-1].is_complete for probes in self._probes.values() if probes)
        unresponsive = []
        for name, machine in overdue.items():
            shard = shard_of(machine.zone)
            if shard not in held_shards and self._is_left_to_holder(shard, machine.read_at, now):
                continue
            probes = self._probes.setdefault(name, [])
            if len(probes) >= MAX_UNANSWERED_PROBES and all(
                probe.unanswered for probe in probes[-MAX_UNANSWERED_PROBES:]
            ):
                unresponsive.append(name)
                continue
            if probes and not probes[-1].is_complete:
                continue
            if name in self._locations:
                if open_probes < SAMPLE_SIZE:
                    open_probes += 1
                    probes[:] = [
                        *probes[1 - MAX_UNANSWERED_PROBES :],
                        self._zone_probe.probe(self._locations[name].address),
                    ]
            elif shard in held_shards:
                # no peer knows its address, and its worker would have reported here already
                probes[:] = [ProbeRound(1, unanswered=1)] * MAX_UNANSWERED_PROBES
        return unresponsive

    def _is_left_to_holder(self, shard: str, read_at: float, now: float) -> bool:
        """Whether the shard's holder is another controller that runs and knows what was known here at `read_at`.

        A holder that can't reach the key-value store sends frames all the same.
        """
        holder = self._peer_exchange.peers.get(self._coordinator.holder(shard) or "")
        if holder is None or now - holder.received_at > self._settings.lease_s:
            return False
        read_at_wall_time = time.time() - (now - read_at)
        max_clock_difference_s = 2.0 * self._settings.max_clock_offset_s
        return holder.as_of - max_clock_difference_s >= read_at_wall_time
