"""Releasing machines at the cloud, and clearing the allocations on them once the release is confirmed."""

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

# maximum number of machines in one release call
MAX_MACHINES_PER_RELEASE = 100
# a release is reported to peers for this multiple of the workers' lease
ANNOUNCED_LEASES = 6
# A released machine is remembered, so that late reports and lists don't make it known again, for this multiple of the
# workers' lease plus this multiple of the list's lag. Copies of reports arrive up to two leases late.
REMEMBERED_LEASES = 20.0
REMEMBERED_LAGS = 4.0


class MachineReleaser:
    """Releases machines, and clears their allocations once the cloud has confirmed that nothing runs there any more.

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
        """`wake_scheduler` is called after allocations are cleared, so that their tasks are placed again."""
        self.recently_released: dict[str, float] = {}  # name -> monotonic time of the release; reported to peers
        self._cloud = cloud
        self._tracked_machines = tracked_machines
        self._machine_registry = machine_registry
        self._job_cache = job_cache
        self._job_writer = job_writer
        self._wake_scheduler = wake_scheduler
        self._announced_s = ANNOUNCED_LEASES * settings.lease_s
        # exceeds the delay of reports and of the cloud's list
        self._remembered_s = REMEMBERED_LEASES * settings.lease_s + REMEMBERED_LAGS * settings.list_lag_s

    def release(self, names: list[str]) -> bool:
        """Release up to `MAX_MACHINES_PER_RELEASE` machines; return whether the cloud confirmed all of them.

        Allocations on confirmed machines are cleared at once, or by `retry_clearing` if the write fails. Raises
        InvalidMessageError for an invalid response.
        """
        response = self._cloud.call("POST", protocol.PATH_RELEASE, protocol.release_request(names))
        confirmed = self._confirmed(names, response)
        if not confirmed:
            return False
        self._machine_registry.mark_released(confirmed)
        self._announce(confirmed)
        log.info("released machines: %s", ", ".join(confirmed))
        self._clear_allocations(set(confirmed))
        return response is not None and response.ok

    @staticmethod
    def _confirmed(names: list[str], response: CloudResponse | None) -> list[str]:
        if response is None:
            return []
        if response.ok:
            return names
        if response.status == HTTPStatus.CONFLICT:
            # a provider that can't confirm all machines: the response names those that it confirms
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
        """Remove the allocations on released machines: every task that ran or may have started there has ended."""

        def edit(job: Job, _: TeamUsage) -> Job:
            return job.with_ended_tasks(job.allocated_on(machines), 0)

        jobs = sorted({job.id for machine in machines for job, _ in self._job_cache.allocations_on(machine)})
        try:
            self._job_writer.write_edits([JobEdit(job, edit) for job in jobs])
        except (NotExecutedError, OutcomeUnknownError) as error:
            log.info("%s: could not clear allocations on released machines, will retry: %s", ", ".join(jobs), error)
            return
        self._wake_scheduler()

    def retry_clearing(self, now: float) -> None:
        """Clear allocations whose removal could not be written before, and forget old releases."""
        with self._machine_registry.lock:
            allocated = self._job_cache.machines_with_allocations()
            released = {name for name in allocated if name in self._machine_registry.released_at}
        self._machine_registry.forget_released(now - self._remembered_s, needed=allocated)
        if released:
            self._clear_allocations(released)
