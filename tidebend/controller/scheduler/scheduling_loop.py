"""A controller's mapping events: claiming pending tasks, preempting tasks for services, and recording completions.

Throughout, `now` is monotonic time and `wall_time` wall-clock time, both in seconds.
"""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable, Collection, Iterable
from functools import partial

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.quota.quota_release import QuotaReleaser
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.scheduler.allocator import Allocator
from tidebend.controller.scheduler.free_capacity import FreeCapacity, ScheduledMachine
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.controller.scheduler.preemption import Preemptor
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.controller.scheduler.staggered_claims import ClaimStagger, shard_order
from tidebend.coordination import Coordinator, shard_of, zone_of
from tidebend.kvclient import NotExecutedError, OutcomeUnknownError
from tidebend.protocol import MachineType
from tidebend.scheduling import CandidateMachine, Placement, TaskRequest, allowed_on, fits, map_tasks, need_of
from tidebend.settings import Settings
from tidebend.zone_failover import share_of_tasks

log = logging.getLogger("scheduler")

# pause between two runs of planning, as a multiple of the last run's duration, with an upper bound as a share of a
# worker's lease
PLANNING_PAUSE_PER_EVENT = 12.0
MAX_PLANNING_PAUSE_LEASES = 0.2
# pause between two mapping events, as a share of the workers' report interval, with an upper bound in seconds
LOOP_PAUSE_PER_REPORT = 0.1
MAX_LOOP_PAUSE_S = 0.25
# pause after a mapping event that failed unexpectedly
PAUSE_AFTER_FAILURE_S = 1.0


class SchedulingLoop:
    """Runs mapping events in a separate thread, after changes and at regular intervals."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        quota_rebalancer: QuotaRebalancer,
        machine_types: Callable[[], dict[str, MachineType]],
        send: Callable[[set[str]], None],
        peers_crash_looping: Callable[[], frozenset[str]],
        look_up_final_states: Callable[[list[str], str], None],
    ) -> None:
        """`machine_types` returns the provider's machine types by name; `send` sends machines the commands due."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.quota_rebalancer = quota_rebalancer
        self.send = send
        self.estimates = RunTimeEstimates()
        self.completions = CompletionTracker(
            settings, coordinator, job_cache, machine_registry, job_writer, self.estimates, send, peers_crash_looping
        )
        self.free_capacity = FreeCapacity(
            settings, coordinator, job_cache, machine_registry, machine_types, self.estimates
        )
        self.pending_jobs = PendingJobs(
            settings, coordinator, job_cache, machine_registry, machine_types, self.estimates, self.completions
        )
        self.claim_stagger = ClaimStagger(settings)
        self._failed_edits = job_writer.failed_edits
        self.allocator = Allocator(settings, coordinator, job_writer, self.completions, self.pending_jobs, send)
        self.quota_releaser = QuotaReleaser(settings, job_cache, quota_rebalancer, self.completions)
        self.preemptor = Preemptor(settings, coordinator, job_cache, machine_registry, self.claim_stagger, send)
        self.wake_event = threading.Event()
        self._look_up_final_states = look_up_final_states
        self._planning_paused_until = 0.0  # monotonic time

    def start(self) -> None:
        """Start the thread, which runs until the process ends."""
        threading.Thread(target=self._run, name="scheduler", daemon=True).start()

    def wake(self) -> None:
        """Request that the next mapping event start soon."""
        self.wake_event.set()

    def _run(self) -> None:
        pause = min(MAX_LOOP_PAUSE_S, LOOP_PAUSE_PER_REPORT * self.settings.report_s)
        while True:
            self.wake_event.wait(2 * pause)
            self.wake_event.clear()
            try:
                self.mapping_event()
            except (NotExecutedError, OutcomeUnknownError) as error:
                log.info("mapping event aborted: %s", error)
                time.sleep(pause)
            except Exception:
                log.exception("mapping event failed")
                time.sleep(PAUSE_AFTER_FAILURE_S)
            time.sleep(pause)

    def mapping_event(self) -> None:
        """Run one mapping event.

        Claims precede completions, so that free capacity goes to pending tasks even when few writes are allowed.

        The pause between two runs of planning grows with their duration, as on a large shard or a slow processor.
        Otherwise planning would use up processor time, and answers to workers and users would be late. Completions are
        recorded without this pause, since users wait for them. Raises `NotExecutedError` or `OutcomeUnknownError` if
        the key-value store can't be reached.
        """
        self._resolve_missing_final_states()
        self.completions.collect()
        if self.coordinator.term is not None:
            self.quota_rebalancer.establish_quotas()
        try:
            began = time.monotonic()
            if began >= self._planning_paused_until:
                self.plan()
                self._planning_paused_until = self._end_of_planning_pause(began, time.monotonic())
        finally:
            self.completions.record_completions()

    def _resolve_missing_final_states(self) -> None:
        missing = self.job_cache.missing_final_states()
        if missing:
            with contextlib.suppress(NotExecutedError, OutcomeUnknownError):
                self._look_up_final_states(missing, "claim")

    def _end_of_planning_pause(self, began: float, ended: float) -> float:
        pause = min(PLANNING_PAUSE_PER_EVENT * (ended - began), MAX_PLANNING_PAUSE_LEASES * self.settings.lease_s)
        return ended + pause

    def plan(self) -> None:
        """Map pending tasks to machines, claim those that start now, and preempt tasks for services that don't fit."""
        now, wall_time = time.monotonic(), time.time()
        if not self.coordinator.lease_valid:
            return
        jobs = {job.id: job for job in self.job_cache.live_jobs() if job.pending}
        self._forget_jobs_not_in(jobs)
        # even without usable machines: the new holder of an isolated zone's shard also holds that zone's quota
        self.quota_releaser.release_for(jobs.values(), now)
        relocations = self._relocations(now, wall_time)
        if not jobs and not relocations:
            return
        machines = self.free_capacity.usable_machines(now, wall_time)
        if not machines:
            return
        self._convert_to_wall_time(machines.values(), now, wall_time)
        self.pending_jobs.update_demands()
        requests = self._requests(jobs.values(), machines.values(), now, wall_time)
        placements = self._map(requests, relocations, machines.values(), wall_time)
        self.allocator.allocate(_starts_by_job(placements), machines)
        self.preemptor.preempt_for_services(
            [request for request in requests if request.waiting > 0], machines, now, wall_time
        )

    def _forget_jobs_not_in(self, pending: dict[str, Job]) -> None:
        for job_id in self.claim_stagger.forget_jobs_not_in(pending):
            self.preemptor.forget(job_id)
            self.allocator.last_allocation.pop(job_id, None)

    @staticmethod
    def _convert_to_wall_time(machines: Collection[ScheduledMachine], now: float, wall_time: float) -> None:
        """Convert timelines from monotonic to wall-clock time, which value functions and slots use."""
        for candidate, _, _ in machines:
            candidate.timeline.times = [time_ - now + wall_time for time_ in candidate.timeline.times]
            candidate.reclaimed_at += wall_time - now

    def _requests(
        self, jobs: Iterable[Job], machines: Collection[ScheduledMachine], now: float, wall_time: float
    ) -> list[TaskRequest]:
        """Return the requests of pending jobs, none of which starts before this controller may claim it.

        Jobs whose claims failed repeatedly are left out during their backoff.
        """
        candidates_by_image = _candidates_by_image(machines)
        shards = sorted(self.coordinator.holders())
        held_shards = {shard_of(scheduled.candidate.zone) for scheduled in machines}
        held_zones = self.coordinator.held_zones()
        requests = []
        for job in jobs:
            if self._failed_edits.is_backing_off(job.id, now):
                continue
            request = self.pending_jobs.request(job, now, wall_time, held_zones)
            if request is None:
                continue
            has_image = _fits_any(request, candidates_by_image.get(job.spec.image, ()))
            claim_round = 0 if has_image else 1
            delay_s = min(
                (self.claim_stagger.delay_s(job, shard, shards, now, claim_round) for shard in held_shards), default=0.0
            )
            delay_s = self._with_claim_pause(job, delay_s, now)
            if delay_s > 0:
                request.not_before = max(request.not_before, wall_time + delay_s)
            requests.append(request)
        return requests

    def _with_claim_pause(self, job: Job, delay_s: float, now: float) -> float:
        """Return the delay, or the remaining pause between two claims of an array if that is longer."""
        last = self.allocator.last_allocation.get(job.id)
        if job.spec.kind != "array" or last is None:
            return delay_s
        return max(delay_s, last + self.completions.allocation_pause_s - now)

    def _map(
        self,
        requests: list[TaskRequest],
        relocations: list[TaskRequest],
        machines: Collection[ScheduledMachine],
        wall_time: float,
    ) -> list[Placement]:
        longest = max((request.estimate for request in requests), default=0.0)
        return map_tasks(
            requests + relocations,
            [scheduled.candidate for scheduled in machines],
            wall_time,
            self.settings.knobs.horizon * longest,
            self.pending_jobs.unmet_guarantees({request.spec.team for request in requests}),
        )

    def _relocations(self, now: float, wall_time: float) -> list[TaskRequest]:
        """Return the requests for replicas to be relocated from lost zones for which the held shards reserve capacity.

        With capacity reserved, replicas move one by one if a network partition lasts, instead of a service losing all
        of them at once.
        """
        lost_zones = self.coordinator.unreachable_zones()
        shards = sorted(shard for shard in self.coordinator.holders() if zone_of(shard) not in lost_zones)
        if not lost_zones or not shards:
            return []
        held_shards = {grant.shard for grant in self.coordinator.grants()}
        requests = []
        for job in self.job_cache.live_jobs():
            if job.spec.kind != "service":
                continue
            order = shard_order(job.id, shards)
            positions = [order.index(shard) for shard in shards if shard in held_shards]
            held_share = partial(share_of_tasks, shard_positions=positions, shard_count=len(shards))
            request = self.pending_jobs.relocation_request(job, lost_zones, held_share, now, wall_time)
            if request is not None:
                requests.append(request)
        return requests


def _candidates_by_image(machines: Collection[ScheduledMachine]) -> dict[str, list[CandidateMachine]]:
    by_image: dict[str, list[CandidateMachine]] = {}
    for candidate, _, _ in machines:
        for image in candidate.images:
            by_image.setdefault(image, []).append(candidate)
    return by_image


def _fits_any(request: TaskRequest, candidates: Iterable[CandidateMachine]) -> bool:
    """Return whether a task of the request could start on one of these machines now."""
    need = need_of(request.spec)
    return any(fits(candidate.timeline.free[0], need) and allowed_on(request, candidate) for candidate in candidates)


def _starts_by_job(placements: list[Placement]) -> dict[str, list[Placement]]:
    """Return the placements that start now, by job; place-holders lapse with the event."""
    starts: dict[str, list[Placement]] = {}
    for placement in placements:
        if placement.starts_now:
            starts.setdefault(placement.job_id, []).append(placement)
    return starts
