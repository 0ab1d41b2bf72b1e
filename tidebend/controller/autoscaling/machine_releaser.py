"""Releasing machines at the cloud, and what follows from a confirmed release."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from http import HTTPStatus

from tidebend import protocol
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.autoscaling.cloud_client import CloudClient, CloudResponse
from tidebend.controller.autoscaling.tracked_machines import TrackedMachines
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.kvclient import NotExecutedError, OutcomeUnknownError
from tidebend.quota import TeamUsage
from tidebend.settings import Settings

log = logging.getLogger("autoscaling")

# the cloud takes so many names in one release
MAX_NAMES = 100
# peers are informed of a release for so many of the workers' leases
ANNOUNCED_LEASES = 6
# A released machine is remembered, so that nothing late counts as news of it, for so many of the workers' leases and of
# the list's lags. Copies of reports come up to two leases late.
REMEMBERED_LEASES = 20.0
REMEMBERED_LAGS = 4.0


class MachineReleaser:
    """Releases machines. The cloud's confirmation proves that nothing runs there any more, so allocations are cleared.

    Used by the leader and by every shard holder.
    """

    def __init__(
        self,
        settings: Settings,
        cloud: CloudClient,
        tracked_machines: TrackedMachines,
        machine_registry: MachineRegistry,
        job_cache: JobCache,
        job_writer: JobWriter,
        wake_scheduler: Callable[[], None],
    ) -> None:
        """`wake_scheduler` is called when allocations have been cleared, so that their tasks are placed again."""
        self.recently_released: dict[str, float] = {}  # name -> steady time; what peers are informed of
        self._cloud = cloud
        self._tracked_machines = tracked_machines
        self._machine_registry = machine_registry
        self._job_cache = job_cache
        self._job_writer = job_writer
        self._wake_scheduler = wake_scheduler
        self._announced_s = ANNOUNCED_LEASES * settings.lease_s
        # longer than reports and the cloud's list are late by
        self._remembered_s = REMEMBERED_LEASES * settings.lease_s + REMEMBERED_LAGS * settings.list_lag_s

    def release(self, names: list[str]) -> bool:
        """Release up to `MAX_NAMES` machines; True if the cloud has confirmed it of all of them.

        Allocations on confirmed machines are cleared at once, or by `retry_clearing` if that can't be written. Raises
        InvalidMessageError for a response that can't be read.
        """
        response = self._cloud.call("POST", protocol.PATH_RELEASE, protocol.release_request(names))
        confirmed = self._confirmed(names, response)
        if not confirmed:
            return False
        self._machine_registry.mark_released(confirmed)
        self._announce(confirmed)
        log.info("released %s", ", ".join(confirmed))
        self._clear_allocations(set(confirmed))
        return response is not None and response.ok

    @staticmethod
    def _confirmed(names: list[str], response: CloudResponse | None) -> list[str]:
        if response is None:
            return []
        if response.ok:
            return names
        if response.status == HTTPStatus.CONFLICT:
            # a provider that can't prove it of all machines: it confirms those that it names
            return [name for name in protocol.parse_rented(response.body) if name in names]
        return []

    def _announce(self, names: list[str]) -> None:
        now = time.monotonic()
        for name in names:
            self._tracked_machines.discard(name)
            self.recently_released[name] = now
        for name in [name for name, at in self.recently_released.items() if now - at > self._announced_s]:
            del self.recently_released[name]

    def _clear_allocations(self, machines: set[str]) -> None:
        """Remove the allocations on released machines: all that they ran or might have started has ended."""

        def edit(job: Job, _: TeamUsage) -> Job:
            return job.with_ended_tasks(job.allocated_on(machines), 0)

        jobs = sorted({job.id for machine in machines for job, _ in self._job_cache.allocations_on(machine)})
        try:
            self._job_writer.write_edits([JobEdit(job, edit) for job in jobs])
        except (NotExecutedError, OutcomeUnknownError) as error:
            log.info("%s keep allocations on machines that are gone: %s", ", ".join(jobs), error)
            return
        self._wake_scheduler()

    def retry_clearing(self, now: float) -> None:
        """Clear allocations whose removal could not be written before, and forget releases that are long past."""
        with self._machine_registry.lock:
            allocated = self._job_cache.machines_with_allocations()
            released = {name for name in allocated if name in self._machine_registry.released_at}
        self._machine_registry.forget_released(now - self._remembered_s, needed=allocated)
        if released:
            self._clear_allocations(released)
