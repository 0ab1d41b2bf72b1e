"""The mapping events of a holder: ends are recorded, waiting tasks are claimed, room is made for what may preempt."""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable
from functools import partial

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.controller.quota.quota_release import QuotaReleaser
from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.job_writer import JobWriter
from tidebend.controller.scheduler.allocator import Allocator
from tidebend.controller.scheduler.free_capacity import FreeCapacity
from tidebend.controller.scheduler.pending_jobs import PendingJobs
from tidebend.controller.scheduler.preemption import Preemptor
from tidebend.controller.scheduler.run_time_estimates import RunTimeEstimates
from tidebend.controller.scheduler.staggered_claims import ClaimStagger, order_of
from tidebend.coordination import Coordinator, shard_of, zone_of
from tidebend.kvclient import ConflictError, NotExecutedError, OutcomeUnknownError
from tidebend.protocol import MachineType
from tidebend.scheduling import CandidateMachine, Placement, TaskRequest, allowed_on, map_tasks, need_of, times_fit
from tidebend.settings import Settings
from tidebend.zone_failover import share_of_tasks

log = logging.getLogger("planner")

# the planner rests for this many times as long as its last event took
REST = 12.0


class SchedulingLoop:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        quota_rebalancer: QuotaRebalancer,
        types: Callable[[], dict[str, MachineType]],
        send: Callable[[set[str]], None],
        peers_crash_looping: Callable[[], frozenset[str]],
        look_up_finals: Callable[[list[str], str], None],
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.job_cache = job_cache
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
        threading.Thread(target=self._run, name="planner", daemon=True).start()

    def wake(self) -> None:
        self.event.set()

    def _run(self) -> None:
        pause = min(0.25, 0.1 * self.settings.report_s)
        while True:
            self.event.wait(2 * pause)
            self.event.clear()
            try:
                self.mapping_event()
            except (NotExecutedError, OutcomeUnknownError) as error:
                log.info("planner: %s", error)
                time.sleep(pause)
            except Exception:
                log.exception("planner")
                time.sleep(1.0)
            time.sleep(pause)

    def mapping_event(self) -> None:
        """Claims before ends: when changes are short, room that is free goes to waiting work first.

        Planning rests for longer the longer it takes, on a large block or a slow processor, lest it starve the
        answers to workers and users. Ends don't rest with it: users expect to hear of them.
        """
        unresolved = self.job_cache.unresolved()
        if unresolved:
            with contextlib.suppress(NotExecutedError, OutcomeUnknownError):
                self._look_up_finals(unresolved, "claim")
        self.completions.collect()
        if self.coordinator.term is not None:
            with contextlib.suppress(ConflictError):
                self.quota_rebalancer.establish_shares()
        try:
            began = time.monotonic()
            if began >= self._rest_until:
                self.plan()
                ended = time.monotonic()
                self._rest_until = ended + min(REST * (ended - began), 0.2 * self.settings.lease_s)
        finally:
            self.completions.record_completions()

    def plan(self) -> None:
        now, clock = time.monotonic(), time.time()
        if not self.coordinator.lease_valid:
            return
        jobs = {job.id: job for job in self.job_cache.live() if job.pending}
        for name in self.claim_stagger.keep(jobs):
            self.preemptor.forget(name)
            self.allocator.last_allocation.pop(name, None)
        # also while none of our machines can be used: shares of a zone that is cut off lie with whoever took its block
        self.quota_releaser.look(jobs.values(), now)
        moving = self._moving(now, clock)
        places = self.free_capacity.all(now, clock) if jobs or moving else None
        if not places:
            return
        at_hand: dict[str, list[CandidateMachine]] = {}
        for place, _, _ in places.values():
            for image in place.images:
                at_hand.setdefault(image, []).append(place)
            # values are of the time of day, and so are the slots
            place.timeline.times = [time_ - now + clock for time_ in place.timeline.times]
            place.until += clock - now
        self.pending_jobs.weigh()
        shards = sorted(self.coordinator.table())
        requests = []
        mine = {shard_of(place.zone) for place, _, _ in places.values()}
        held = self.coordinator.held_zones()
        for job in jobs.values():
            request = self.pending_jobs.request(job, now, clock, held)
            if request is None:
                continue
            need = need_of(job.spec)
            fetched = any(
                times_fit(place.timeline.free[0], need) and allowed_on(request, place)
                for place in at_hand.get(job.spec.image, ())
            )
            turn = min(
                (self.claim_stagger.until(job, shard, shards, now, int(not fetched)) for shard in mine), default=0.0
            )
            if job.spec.kind == "array" and job.id in self.allocator.last_allocation:
                turn = max(turn, self.allocator.last_allocation[job.id] + self.completions.allocation_pause_s - now)
            if turn > 0:
                request.not_before = max(request.not_before, clock + turn)
            requests.append(request)
        longest = max((request.estimate for request in requests), default=0.0)
        horizon = self.settings.knobs.horizon * longest
        placements = map_tasks(
            requests + moving,
            [place for place, _, _ in places.values()],
            clock,
            horizon,
            self.pending_jobs.owed({request.spec.team for request in requests}),
        )
        chosen: dict[str, list[Placement]] = {}
        for placement in placements:
            if placement.now:
                chosen.setdefault(placement.job, []).append(placement)
        self.allocator.allocate(chosen, places)
        self.preemptor.make([request for request in requests if request.waiting > 0], places, now, clock)

    def _moving(self, now: float, clock: float) -> list[TaskRequest]:
        """Replicas that will have to leave lost zones and for which it falls to our blocks to hold room.

        Guards against services that are missed all at once when a cut lasts: they leave in turns, to room that is
        ready.
        """
        lost = self.coordinator.unreachable_zones()
        shards = sorted(shard for shard in self.coordinator.table() if zone_of(shard) not in lost)
        if not lost or not shards:
            return []
        mine = {grant.shard for grant in self.coordinator.grants()}
        found = []
        for job in self.job_cache.live():
            if job.spec.kind != "service":
                continue
            order = order_of(job.id, shards)
            numbers = [order.index(shard) for shard in shards if shard in mine]
            request = self.pending_jobs.moving(
                job, lost, partial(share_of_tasks, numbers=numbers, of=len(shards)), now, clock
            )
            if request is not None:
                found.append(request)
        return found
