"""The mapping events of a holder: ends are recorded, waiting tasks are claimed, room is made for what may preempt."""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable
from functools import partial

from tidebend.cluster_state.job_cache import JobBook
from tidebend.cluster_state.machine_registry import Fleet
from tidebend.controller.quota.quota_rebalancing import ShareMoves
from tidebend.controller.quota.quota_release import Reclaims
from tidebend.controller.records.completions import Ends
from tidebend.controller.records.job_writer import Ledger
from tidebend.controller.scheduler.allocator import Claims
from tidebend.controller.scheduler.free_capacity import Places
from tidebend.controller.scheduler.pending_jobs import Waiting
from tidebend.controller.scheduler.preemption import Room
from tidebend.controller.scheduler.run_time_estimates import Estimates
from tidebend.controller.scheduler.staggered_claims import Turns, order_of
from tidebend.coordination import Coordinator, block_of, zone_of
from tidebend.kvclient import Conflict, Unavailable, Unknown
from tidebend.protocol import MachineType
from tidebend.scheduling import Place, Placement, Want, allowed_on, map_tasks, need_of, times_fit
from tidebend.settings import Settings
from tidebend.zone_failover import part_of

log = logging.getLogger("planner")

# the planner rests for this many times as long as its last event took
REST = 12.0


class Planner:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        book: JobBook,
        fleet: Fleet,
        ledger: Ledger,
        shares: ShareMoves,
        types: Callable[[], dict[str, MachineType]],
        send: Callable[[set[str]], None],
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.book = book
        self.shares = shares
        self.send = send
        self.estimates = Estimates()
        self.ends = Ends(settings, coordinator, book, fleet, ledger, self.estimates, send)
        self.places = Places(settings, coordinator, book, fleet, types, self.estimates)
        self.waiting = Waiting(settings, coordinator, book, fleet, types, self.estimates, self.ends)
        self.turns = Turns(settings)
        self.claims = Claims(settings, coordinator, ledger, self.ends, self.waiting, send)
        self.reclaims = Reclaims(settings, book, shares, self.ends)
        self.room = Room(settings, coordinator, book, fleet, self.turns, send)
        self.event = threading.Event()
        self.look_up: Callable[[list[str], str], None] = lambda names, kind: None
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
            except (Unavailable, Unknown) as error:
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
        unresolved = self.book.unresolved()
        if unresolved:
            with contextlib.suppress(Unavailable, Unknown):
                self.look_up(unresolved, "claim")
        self.ends.settle()
        if self.coordinator.term is not None:
            with contextlib.suppress(Conflict):
                self.shares.share_out()
        try:
            began = time.monotonic()
            if began >= self._rest_until:
                self.plan()
                ended = time.monotonic()
                self._rest_until = ended + min(REST * (ended - began), 0.2 * self.settings.lease_s)
        finally:
            self.ends.record()

    def plan(self) -> None:
        now, clock = time.monotonic(), time.time()
        if not self.coordinator.lease_valid:
            return
        jobs = {job.id: job for job in self.book.live() if job.pending}
        for name in self.turns.keep(jobs):
            self.room.forget(name)
            self.claims.at.pop(name, None)
        # also while none of our machines can be used: shares of a zone that is cut off lie with whoever took its block
        self.reclaims.look(jobs.values(), now)
        moving = self._moving(now, clock)
        places = self.places.all(now, clock) if jobs or moving else None
        if not places:
            return
        at_hand: dict[str, list[Place]] = {}
        for place, _, _ in places.values():
            for image in place.images:
                at_hand.setdefault(image, []).append(place)
            # values are of the time of day, and so are the slots
            place.timeline.times = [time_ - now + clock for time_ in place.timeline.times]
            place.until += clock - now
        self.waiting.weigh()
        blocks = sorted(self.coordinator.table())
        wants = []
        mine = {block_of(place.zone) for place, _, _ in places.values()}
        held = self.coordinator.held_zones()
        for job in jobs.values():
            want = self.waiting.want(job, now, clock, held)
            if want is None:
                continue
            need = need_of(job.spec)
            fetched = any(
                times_fit(place.timeline.free[0], need) and allowed_on(want, place)
                for place in at_hand.get(job.spec.image, ())
            )
            turn = min((self.turns.until(job, block, blocks, now, int(not fetched)) for block in mine), default=0.0)
            if job.spec.kind == "array" and job.id in self.claims.at:
                turn = max(turn, self.claims.at[job.id] + self.ends.claim_pause_s - now)
            if turn > 0:
                want.not_before = max(want.not_before, clock + turn)
            wants.append(want)
        longest = max((want.estimate for want in wants), default=0.0)
        horizon = self.settings.knobs.horizon * longest
        placements = map_tasks(
            wants + moving,
            [place for place, _, _ in places.values()],
            clock,
            horizon,
            self.waiting.owed({want.spec.team for want in wants}),
        )
        chosen: dict[str, list[Placement]] = {}
        for placement in placements:
            if placement.now:
                chosen.setdefault(placement.job, []).append(placement)
        self.claims.claim(chosen, places)
        self.room.make([want for want in wants if want.waiting > 0], places, now, clock)

    def _moving(self, now: float, clock: float) -> list[Want]:
        """Replicas that will have to leave lost zones and for which it falls to our blocks to hold room.

        Guards against services that are missed all at once when a cut lasts: they leave in turns, to room that is
        ready.
        """
        lost = self.coordinator.lost_zones()
        blocks = sorted(block for block in self.coordinator.table() if zone_of(block) not in lost)
        if not lost or not blocks:
            return []
        mine = {grant.block for grant in self.coordinator.grants()}
        found = []
        for job in self.book.live():
            if job.spec.kind != "service":
                continue
            order = order_of(job.id, blocks)
            numbers = [order.index(block) for block in blocks if block in mine]
            want = self.waiting.moving(job, lost, partial(part_of, numbers=numbers, of=len(blocks)), now, clock)
            if want is not None:
                found.append(want)
        return found
