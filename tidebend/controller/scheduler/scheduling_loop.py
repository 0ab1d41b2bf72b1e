"""A controller's mapping events: completions are recorded, pending tasks are claimed, room is made by preemption.

`now` is steady time and `clock` the time of day throughout, both in seconds.
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
from tidebend.controller.records.cancellation_sealer import CancellationSealer
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.scheduler.allocator import Allocator
from tidebend.controller.scheduler.free_capacity import FreeCapacity, ScheduledMachine
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.controller.scheduler.preemption import Preemptor
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.controller.scheduler.staggered_claims import ClaimStagger, shard_order
from tidebend.coordination import Coordinator, shard_of, zone_of
from tidebend.kvclient import ConflictError, NotExecutedError, OutcomeUnknownError
from tidebend.protocol import MachineType
from tidebend.scheduling import CandidateMachine, Placement, TaskRequest, allowed_on, fits, map_tasks, need_of
from tidebend.settings import Settings
from tidebend.zone_failover import share_of_tasks

log = logging.getLogger("scheduler")

# planning rests for this many times as long as its last event took, and at most for a share of a worker's lease
REST_PER_EVENT = 12.0
LONGEST_REST_LEASES = 0.2
# the pause between two events, as a share of the workers' report interval, and at most in seconds
PAUSE_PER_REPORT = 0.1
LONGEST_PAUSE_S = 0.25
# the pause after an event that failed unexpectedly
PAUSE_AFTER_FAILURE_S = 1.0


class SchedulingLoop:
    """Runs a mapping event whenever something has changed, and at intervals, in a thread of its own."""

    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        cancellation_sealer: CancellationSealer,
        quota_rebalancer: QuotaRebalancer,
        types: Callable[[], dict[str, MachineType]],
        send: Callable[[set[str]], None],
        peers_crash_looping: Callable[[], frozenset[str]],
        look_up_finals: Callable[[list[str], str], None],
    ) -> None:
        """`types` gives the provider's machine types by name; `send` sends machines the commands due to them."""
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
        self.cancellation_sealer = cancellation_sealer
        self.quota_rebalancer = quota_rebalancer
        self.send = send
        self.estimates = RunTimeEstimates()
        self.completions = CompletionTracker(
            settings, coordinator, job_cache, machine_registry, job_writer, self.estimates, send, peers_crash_looping
        )
        self.free_capacity = FreeCapacity(settings, coordinator, job_cache, machine_registry, types, self.estimates)
        self.pending_jobs = PendingJobs(
            settings, coordinator, job_cache, machine_registry, types, self.estimates, self.completions
        )
        self.claim_stagger = ClaimStagger(settings)
        self.allocator = Allocator(settings, coordinator, job_writer, self.completions, self.pending_jobs, send)
        self.quota_releaser = QuotaReleaser(settings, job_cache, quota_rebalancer, self.completions)
        self.preemptor = Preemptor(settings, coordinator, job_cache, machine_registry, self.claim_stagger, send)
        self.event = threading.Event()
        self._look_up_finals = look_up_finals
        self._rest_until = 0.0  # steady time

    def start(self) -> None:
        """Start the thread; it runs as long as the process."""
        threading.Thread(target=self._run, name="scheduler", daemon=True).start()

    def wake(self) -> None:
        """Have the next event begin soon."""
        self.event.set()

    def _run(self) -> None:
        pause = min(LONGEST_PAUSE_S, PAUSE_PER_REPORT * self.settings.report_s)
        while True:
            self.event.wait(2 * pause)
            self.event.clear()
            try:
                self.mapping_event()
            except (NotExecutedError, OutcomeUnknownError) as error:
                log.info("mapping event: %s", error)
                time.sleep(pause)
            except Exception:
                log.exception("mapping event")
                time.sleep(PAUSE_AFTER_FAILURE_S)
            time.sleep(pause)

    def mapping_event(self) -> None:
        """Run one event: claims before completions, so that free room goes to pending tasks when changes are short.

        Planning rests for longer the longer it takes, on a large shard or a slow processor. Guards against answers to
        workers and users that are late for want of processor time. Completions don't rest with it: users expect to
        hear of them. Raises `NotExecutedError` or `OutcomeUnknownError` if the state service can't be reached.
        """
        self._resolve_final_records()
        self.completions.collect()
        self._seal_cancellations()
        if self.coordinator.term is not None:
            with contextlib.suppress(ConflictError):
                self.quota_rebalancer.establish_quotas()
        try:
            began = time.monotonic()
            if began >= self._rest_until:
                self.plan()
                self._rest_until = self._end_of_rest(began, time.monotonic())
        finally:
            self.completions.record_completions()

    def _seal_cancellations(self) -> None:
        with contextlib.suppress(NotExecutedError, OutcomeUnknownError):
            self.cancellation_sealer.seal_all()

    def _resolve_final_records(self) -> None:
        unresolved = self.job_cache.missing_final_states()
        if unresolved:
            with contextlib.suppress(NotExecutedError, OutcomeUnknownError):
                self._look_up_finals(unresolved, "claim")

    def _end_of_rest(self, began: float, ended: float) -> float:
        rest = min(REST_PER_EVENT * (ended - began), LONGEST_REST_LEASES * self.settings.lease_s)
        return ended + rest

    def plan(self) -> None:
        """Map pending tasks to machines, claim those that start now, and preempt for services that found no room."""
        now, clock = time.monotonic(), time.time()
        if not self.coordinator.lease_valid:
            return
        jobs = {job.id: job for job in self.job_cache.live_jobs() if job.pending}
        self._forget_all_but(jobs)
        # also while none of our machines can be used: quota of a zone that is cut off lies with whoever took its shard
        self.quota_releaser.release_for(jobs.values(), now)
        relocations = self._relocations(now, clock)
        if not jobs and not relocations:
            return
        machines = self.free_capacity.usable_machines(now, clock)
        if not machines:
            return
        self._convert_to_time_of_day(machines.values(), now, clock)
        self.pending_jobs.update_demands()
        requests = self._requests(jobs.values(), machines.values(), now, clock)
        placements = self._map(requests, relocations, machines.values(), clock)
        self.allocator.allocate(_starts_by_job(placements), machines)
        self.preemptor.make_room([request for request in requests if request.waiting > 0], machines, now, clock)

    def _forget_all_but(self, pending: dict[str, Job]) -> None:
        for name in self.claim_stagger.forget_all_but(pending):
            self.preemptor.forget(name)
            self.allocator.last_allocation.pop(name, None)

    @staticmethod
    def _convert_to_time_of_day(machines: Collection[ScheduledMachine], now: float, clock: float) -> None:
        """Convert timelines from steady time: value functions are of the time of day, and so are the slots."""
        for candidate, _, _ in machines:
            candidate.timeline.times = [time_ - now + clock for time_ in candidate.timeline.times]
            candidate.reclaimed_at += clock - now

    def _requests(
        self, jobs: Iterable[Job], machines: Collection[ScheduledMachine], now: float, clock: float
    ) -> list[TaskRequest]:
        """Requests of pending jobs, none of which starts before it is our time to claim it."""
        candidates_by_image = _candidates_by_image(machines)
        shards = sorted(self.coordinator.holders())
        ours = {shard_of(scheduled.candidate.zone) for scheduled in machines}
        held = self.coordinator.held_zones()
        requests = []
        for job in jobs:
            request = self.pending_jobs.request(job, now, clock, held)
            if request is None:
                continue
            image_fetched = _fits_any(request, candidates_by_image.get(job.spec.image, ()))
            round_ = 0 if image_fetched else 1
            delay_s = min((self.claim_stagger.delay_s(job, shard, shards, now, round_) for shard in ours), default=0.0)
            delay_s = self._with_claim_pause(job, delay_s, now)
            if delay_s > 0:
                request.not_before = max(request.not_before, clock + delay_s)
            requests.append(request)
        return requests

    def _with_claim_pause(self, job: Job, delay_s: float, now: float) -> float:
        """The delay, or the rest of the pause between two claims of an array if that is longer."""
        last = self.allocator.last_allocation.get(job.id)
        if job.spec.kind != "array" or last is None:
            return delay_s
        return max(delay_s, last + self.completions.allocation_pause_s - now)

    def _map(
        self,
        requests: list[TaskRequest],
        relocations: list[TaskRequest],
        machines: Collection[ScheduledMachine],
        clock: float,
    ) -> list[Placement]:
        longest = max((request.estimate for request in requests), default=0.0)
        return map_tasks(
            requests + relocations,
            [scheduled.candidate for scheduled in machines],
            clock,
            self.settings.knobs.horizon * longest,
            self.pending_jobs.unmet_guarantees({request.spec.team for request in requests}),
        )

    def _relocations(self, now: float, clock: float) -> list[TaskRequest]:
        """Requests for replicas that will have to leave lost zones, for which it falls to our shards to hold room.

        Guards against services that are missed all at once when a cut lasts: they leave one by one, to room that is
        ready.
        """
        lost = self.coordinator.unreachable_zones()
        shards = sorted(shard for shard in self.coordinator.holders() if zone_of(shard) not in lost)
        if not lost or not shards:
            return []
        ours = {grant.shard for grant in self.coordinator.grants()}
        requests = []
        for job in self.job_cache.live_jobs():
            if job.spec.kind != "service":
                continue
            order = shard_order(job.id, shards)
            numbers = [order.index(shard) for shard in shards if shard in ours]
            our_share = partial(share_of_tasks, shard_positions=numbers, shard_count=len(shards))
            request = self.pending_jobs.relocation_request(job, lost, our_share, now, clock)
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
    """Whether a task of the request could start on one of these machines now."""
    need = need_of(request.spec)
    return any(fits(candidate.timeline.free[0], need) and allowed_on(request, candidate) for candidate in candidates)


def _starts_by_job(placements: list[Placement]) -> dict[str, list[Placement]]:
    """The placements that start now, by job; place-holders lapse with the event."""
    starts: dict[str, list[Placement]] = {}
    for placement in placements:
        if placement.starts_now:
            starts.setdefault(placement.job_id, []).append(placement)
    return starts
