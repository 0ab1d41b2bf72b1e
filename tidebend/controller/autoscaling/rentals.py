"""Dealings with the cloud: what is listed, rented and given back."""

from __future__ import annotations

import logging
import math
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tidebend import protocol
from tidebend.autoscaling import WRONG_BY, Capacity, Offer, to_rent
from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.machine_registry import Machine, MachineRegistry
from tidebend.cluster_state.task_bitmap import members
from tidebend.controller.autoscaling.machine_inventory import MachineInventory
from tidebend.controller.records.job_writer import JobEdit, JobWriter
from tidebend.controller.scheduler.scheduling_loop import SchedulingLoop
from tidebend.controller.workers.zone_probe import SAMPLE, ProbeRound, ZoneProbe
from tidebend.coordination import Coordinator, PeerExchange, shard_of
from tidebend.kvclient import NotExecutedError, OutcomeUnknownError
from tidebend.protocol import Invalid, ListedMachine, MachineType
from tidebend.quota import TeamUsage
from tidebend.scheduling import need_of
from tidebend.settings import Settings
from tidebend.transport import Budget, HttpClient, NoAnswer, Unreachable
from tidebend.zone_failover import IsolationWindow, MachineContents, leave, order

log = logging.getLogger("rentals")

# what a machine is charged at least, in seconds; the protocol says so
LEAST_CHARGE_S = 60.0
# the cloud takes bursts of so many seconds' worth of calls
CALLS_BURST_S = 2.0
# Of the cloud's calls, all holders together take this share for giving back machines that are merely idle. They are
# gathered meanwhile: in a large fleet some become idle each second, and a call for each left none for rentals.
SPARE_SHARE = 0.25
# a lost zone's machines are given up in turns that take no more than this share of the calls
LEAVE_SHARE = 0.25
# replicas begin to leave a lost zone this share of the time for which its controller may answer ahead of its end
MOVE_AHEAD = 0.25
# the cloud takes so many names in one release
MOST_RELEASED = 100
# a machine that nobody hears is given up after this share of the workers' lease
GIVEN_UP_AFTER = 0.55

# A machine that was released is kept in mind, so that nothing late counts as news of it, for so many of the workers'
# leases and of the list's lags. Copies of reports come up to two leases late.
GONE_LEASES = 20.0
GONE_LAGS = 4.0

# a machine that holds what was cancelled long ago doesn't answer if it was asked so often in vain
TRIES = 2

# A holder that has heard none of so many machines for so many report intervals, in which each has reported once at
# least, has lost its workers if they come to others; one that was sent on to us is here within a moment.
FEW_MACHINES = 3
QUIET_REPORTS = 1.25
SENT_ON_S = 0.5


@dataclass
class TrackedMachine:
    """A machine on its way, or one that the list shows."""

    type: str
    zone: str
    spot: bool
    since: float  # steady time of the rental


class Rentals:
    def __init__(
        self,
        settings: Settings,
        coordinator: Coordinator,
        peer_exchange: PeerExchange,
        job_cache: JobCache,
        machine_registry: MachineRegistry,
        job_writer: JobWriter,
        planner: SchedulingLoop,
        zone_probe: ZoneProbe,
        connect: Callable[..., HttpClient] = HttpClient,
    ) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.peer_exchange = peer_exchange
        self.job_cache = job_cache
        self.machine_registry = machine_registry
        self.job_writer = job_writer
        self.planner = planner
        self.zone_probe = zone_probe
        self.types: dict[str, MachineType] = {}
        self._http = connect(settings.cloud, keep=2)
        # the leader rents and lists; every holder releases
        self._budget = Budget(settings.cloud_rps, CALLS_BURST_S)
        # longer than reports and the cloud's list are late by
        self._gone_kept_s = GONE_LEASES * settings.lease_s + GONE_LAGS * settings.list_lag_s
        self._guard_pause_s = min(1.0, settings.report_s / 2.0)
        self._timeout = max(2.0, settings.lease_s / 3.0)
        self._known: dict[str, TrackedMachine] = {}
        self._shortage: dict[Offer, float] = {}  # offer -> steady time until which it isn't asked for again
        self._refusals: dict[Offer, int] = {}  # offer -> times in a row that there wasn't enough of it
        self._counter = 0
        self._types_at = -1e9
        self.listing = MachineInventory(self._call, settings.list_lag_s, settings.cloud_rps)
        self._spare_pause_s = settings.controllers / (SPARE_SHARE * settings.cloud_rps)
        self._leave_pause_s = max(self._guard_pause_s, 1.0 / (LEAVE_SHARE * settings.cloud_rps))
        self._leave_at = -1e9  # steady time of the next turn at which machines of a lost zone are given up
        self._spare_at = -1e9  # steady time from which idle machines may be given back again
        self._turned_since: dict[str, float] = {}  # block -> since when its workers come to others and not to us
        self._guarded_at = -1e9  # steady time of the guard's last look
        # cancelled job that holds places -> steady time since which we know it
        self._cancelled: dict[str, float] | None = None
        # machines that hold what was cancelled long ago: whether they answered when they were asked, the last time last
        self._asked: dict[str, list[ProbeRound]] = {}
        self._strangers: dict[str, float] = {}
        self._lead_since: tuple[int | None, float] = (None, 0.0)
        self.recently_released: dict[str, float] = {}

    def start(self) -> None:
        threading.Thread(target=self._guard, name="guard", daemon=True).start()
        threading.Thread(target=self._lead, name="rentals", daemon=True).start()

    def _call(self, method: str, path: str, body: Any, floor: float = 0.0) -> tuple[int, Any] | None:
        """None if there is no usable answer."""
        if not self._budget.take(1.0, floor):
            return None
        try:
            return self._http.request(method, path, body, self._timeout)
        except (Unreachable, NoAnswer) as error:
            log.info("cloud: %s %s: %s", method, path, error)
            return None

    # Every holder: machines that are silent, idle, set aside or about to be taken

    def release(self, names: list[str]) -> bool:
        answer = self._call("POST", protocol.PATH_RELEASE, protocol.release(names))
        whole = answer is not None and answer[0] == 200
        if answer is not None and answer[0] == 409:
            # a provider that can't prove it of all: those that it names are gone
            names = [name for name in protocol.parse_rented(answer[1]) if name in names]
        elif not whole:
            return False
        if not names:
            return False
        self.machine_registry.mark_released(names)
        now = time.monotonic()
        for name in names:
            self._known.pop(name, None)
            self.recently_released[name] = now
        for name in [n for n, at in self.recently_released.items() if now - at > 6 * self.settings.lease_s]:
            del self.recently_released[name]
        log.info("released %s", ", ".join(names))
        self._bury(set(names))
        return whole

    def _bury(self, names: set[str]) -> None:
        """The cloud has confirmed that machines are gone, and with them all that they ran or might have started."""

        def edit(job: Job, _: TeamUsage) -> Job:
            return job.without(job.places(names), 0)

        jobs = sorted({job.id for name in names for job, _ in self.job_cache.on_machine(name)})
        try:
            self.job_writer.change_all([JobEdit(job, edit) for job in jobs])
        except (NotExecutedError, OutcomeUnknownError) as error:
            log.info("%s keep claims on machines that are gone: %s", ", ".join(jobs), error)
            return  # tried again by the guard
        self.planner.wake()

    def _guard(self) -> None:
        while True:
            time.sleep(self._guard_pause_s * random.uniform(0.8, 1.2))
            try:
                self.check_machines_once()
            except Exception:
                log.exception("guard")
                time.sleep(1.0)

    def check_machines_once(self) -> None:
        now = time.monotonic()
        with self.machine_registry.lock:
            holding = self.job_cache.machines()
            gone = {name for name in holding if name in self.machine_registry.released_at}
        self.machine_registry.forget_released(now - self._gone_kept_s, needed=holding)
        if gone:
            self._bury(gone)  # a write that failed before
        # Guards a controller that was cut off: what others gave back meanwhile it would take for silent, and once that
        # is all it knows of its zone, for a zone that nobody hears.
        told = {row[0] for peer in self.peer_exchange.peers.values() for row in peer.machines or () if row[4]}
        self.machine_registry.forget([machine.name for machine in self.machine_registry.all() if machine.name in told])
        grants = {grant.shard: grant for grant in self.coordinator.grants()}
        if now - self._guarded_at > self._guard_pause_s + SENT_ON_S:
            self._turned_since.clear()  # we stood still, or are behind: nobody was heard for that reason
        self._guarded_at = now
        foreign = [
            m.name
            for m in self.machine_registry.all()
            if shard_of(m.zone) not in grants and now - m.last_heartbeat > self.settings.lease_s
        ]
        self.machine_registry.forget(foreign)
        self.zone_probe.look()
        self._look_for_cancelled(now)
        self._release_overdue(told, now)
        if not self.coordinator.lease_valid:
            return
        spare: list[Machine] = []
        for shard, grant in grants.items():
            own = [m for m in self.machine_registry.all() if shard_of(m.zone) == shard]
            known = {m.name for m in own}
            # machines with claims that have never reported to us
            unseen: dict[str, float] = {}
            for job in self.job_cache.live():
                for allocation in job.allocations:
                    if shard_of(allocation.zone) == shard and allocation.machine not in known:
                        unseen[allocation.machine] = grant.held_since
            silent = {
                m.name: since
                for m in own
                if now - (since := self._silent_since(m, grant.held_since)) > self.planner.free_capacity.suspect_s
            }
            # asked directly before they are given up: a worker may be on its way to us from a dead controller
            self.planner.send(
                {
                    m.name
                    for m in own
                    if now - max(m.last_heartbeat, m.last_direct_answer) > 0.6 * self.planner.free_capacity.suspect_s
                }
            )
            silent.update(
                {name: since for name, since in unseen.items() if now - since > self.planner.free_capacity.suspect_s}
            )
            until = self._left_alone_until(shard)
            if until is not None and until > grant.held_since:
                # asked by all, and heard by none: no silence of our own need be waited for
                silent |= {m.name: grant.held_since for m in own if m.last_heartbeat <= grant.held_since} | unseen
            total = len(own) + len(unseen)
            if self.settings.peers and (
                (silent and len(silent) == total) or self._turned_away(shard, own, grant.held_since, now)
            ):
                self.coordinator.mark_unreachable(shard, total, 2.0 * self.settings.lease_s)
            self._silent(shard, silent, total, now)
            spare += self._idle(own, now)
            for machine in own:
                with self.machine_registry.lock:
                    if machine.draining:
                        self._empty(machine)
        self._spare(spare, now)

    def _look_for_cancelled(self, now: float) -> None:
        if not self.coordinator.cache.loaded.is_set():
            return
        # what was cancelled by our first read may have been so for any time
        before, first = (self._cancelled, now) if self._cancelled is not None else ({}, -math.inf)
        self._cancelled = {
            job.id: before.get(job.id, first) for job in self.job_cache.live() if job.cancelled and job.allocations
        }

    def _release_overdue(self, told: set[str], now: float) -> None:
        """Machines that hold what was cancelled long ago and that don't answer, with or without a lease of ours.

        Guards against cancelled tasks on machines that hang: in an outage nobody has a lease, who hangs can't end its
        tasks with its own, and holders that follow one another within moments each waited anew for its silence.
        Cancelled is for ever, so that the release is right whoever holds the block by now, and the cloud's answer is
        the proof once the state service is back. A worker that is merely out of reach has lost its tasks by then. Not
        by a controller that hears nobody at all: then it is itself out of touch.
        """
        grants = {grant.shard for grant in self.coordinator.grants()}
        heard = [peer.at for peer in self.peer_exchange.peers.values()]
        with self.machine_registry.lock:
            last = {
                m.name: max(m.last_heartbeat, m.last_direct_answer) for m in self.machine_registry.machines.values()
            }
            gone = told | self.machine_registry.released_at.keys()  # their claims wait for the state service
        overdue = {
            allocation.machine: allocation.zone
            for job in self.job_cache.live()
            if self._long_cancelled(job, now)
            for allocation in job.allocations
            if allocation.machine not in gone
            and now - last.get(allocation.machine, -math.inf) > 2.0 * self.settings.report_s
        }
        self._asked = {name: asked for name, asked in self._asked.items() if name in overdue}
        addresses = self.zone_probe.addresses() if overdue else {}
        # few at a time: those who ask whether a zone is lost must not wait behind them
        open_ = sum(not (asked[-1].mute or asked[-1].answered) for asked in self._asked.values() if asked)
        doomed = []
        for name, zone in overdue.items():
            shard = shard_of(zone)
            if shard not in grants and not self._nobody_holds(shard, now):
                continue
            asked = self._asked.setdefault(name, [])
            if len(asked) >= TRIES and all(round_.mute for round_ in asked[-TRIES:]):
                doomed.append(name)
            elif not asked or asked[-1].mute or asked[-1].answered:
                if name in addresses and open_ < SAMPLE:
                    open_ += 1
                    asked[:] = [*asked[1 - TRIES :], self.zone_probe.ask(addresses[name][1])]
                elif name not in addresses and shard in grants:
                    # whoever knows it hasn't told us, and it would have come to us by now
                    asked[:] = [ProbeRound(1, mute=1)] * TRIES
        if doomed and now - max([*heard, *last.values()], default=now) < self.settings.lease_s:
            self.release(doomed[:MOST_RELEASED])

    def _nobody_holds(self, shard: str, now: float) -> bool:
        peer = self.peer_exchange.peers.get(self.coordinator.holder(shard) or "")
        return peer is None or now - peer.at > self.settings.lease_s

    def _long_cancelled(self, job: Job, now: float) -> bool:
        """Whether a job was cancelled so long ago that what holds its tasks is to be given up if it doesn't answer."""
        return job.cancelled and (self._cancelled or {}).get(job.id, now) < now - self.settings.staleness_bound_s

    def _turned_away(self, shard: str, own: list[Machine], granted: float, now: float) -> bool:
        """Whether a block's workers have lost us alone: none is heard, and they come to other controllers.

        Guards workers that go back and forth, sent on to us by everybody else, each time at the cost of a time-out: by
        when each of them was suspect by itself, the leases of some ran out.
        """
        heard = max((m.last_heartbeat for m in own), default=granted)
        if (
            len(own) < FEW_MACHINES
            or heard <= granted
            or self.peer_exchange.last_report(shard) <= heard
            or now - heard <= QUIET_REPORTS * self.settings.report_s
        ):
            self._turned_since.pop(shard, None)
            return False
        return now - self._turned_since.setdefault(shard, now) > SENT_ON_S

    def _silent_since(self, machine: Machine, granted: float) -> float:
        """When we last knew it to be alive; answers to direct commands count for no longer than a lease, since a
        worker that reports to nobody loses its tasks all the same."""
        reported = max(machine.last_heartbeat, granted)
        return max(reported, min(machine.last_direct_answer, reported + self.settings.lease_s))

    def _silent(self, shard: str, silent: dict[str, float], total: int, now: float) -> None:
        """Release what is out of reach: only then its tasks may be started elsewhere."""
        # If most are silent the network is to blame rather than they, and they may go on working on their side.
        few = 2 * len(silent) <= max(total, 2) or self.coordinator.is_unreachable_by_all(shard)
        patience = self.settings.lease_s * (GIVEN_UP_AFTER if few else 2.0)
        until = self._left_alone_until(shard)
        if until is not None and len(silent) == total and until > min(silent.values(), default=now):
            self._move_out(silent, until, now)
            return
        doomed = []
        for name, since in silent.items():
            limit = min(patience, self.settings.lease_s) if self._any_cancelled(name) else patience
            if now - since > limit:
                doomed.append(name)
        if doomed:
            rows = sorted((self._standing(name, now) for name in doomed), key=order)
            self.release([row.machine for row in rows[:MOST_RELEASED]])

    def _left_alone_until(self, shard: str) -> float | None:
        """Until when a zone that nobody hears works on inside at the most (steady time); None: it doesn't.

        Granted isn't held: a controller that was cut off before it learnt of its grant turns its workers away, and
        their tasks end with their leases. Its own news says what it holds.
        """
        alone = self.coordinator.isolated_holder(shard)
        if (
            alone is None
            or not self.coordinator.is_unreachable_by_all(shard)
            or not self.coordinator.isolated_holder_may_act(shard)
        ):
            return None
        return alone[1] + self.settings.staleness_bound_s

    def _any_cancelled(self, name: str) -> bool:
        return any(job.cancelled for job, _ in self.job_cache.on_machine(name))

    def _move_out(self, silent: dict[str, float], until: float, now: float) -> None:
        """What stands in a zone that works on inside is given up in the order of `zones.leave`."""
        # the last answered report was sent up to a report's interval before, and a lease counts from there
        end = until + self.settings.lease_s - 1.25 * self.settings.report_s
        hold = IsolationWindow(until - MOVE_AHEAD * self.settings.staleness_bound_s, until, end)
        doomed = [
            name for name, since in silent.items() if now - since > self.settings.lease_s and self._any_cancelled(name)
        ]
        if now >= self._leave_at:
            self._leave_at = now + self._leave_pause_s
            doomed += leave([self._standing(name, now) for name in silent], hold, now, self._leave_pause_s)
        if doomed:
            self.release(list(dict.fromkeys(doomed))[:MOST_RELEASED])

    def _standing(self, name: str, now: float) -> MachineContents:
        replicas, completions = 0, []
        clock = time.time()
        with self.machine_registry.lock:
            machine = self.machine_registry.machines.get(name)
        for job, allocation in self.job_cache.on_machine(name):
            if job.spec.kind == "service":
                replicas += allocation.tasks.bit_count()
                continue
            kind = self.types.get(machine.type) if machine is not None else None
            fetch_s = kind.fetch_s(job.spec.image_gb) if kind is not None else 0.0
            completions.append(
                now - (clock - allocation.at) + fetch_s + WRONG_BY * self.planner.estimates.corrected(job.spec)
            )
        return MachineContents(name, replicas, tuple(completions), self._worth_waiting_s(name))

    def _worth_waiting_s(self, name: str) -> float:
        jobs = [job for job, _ in self.job_cache.on_machine(name)]
        if not jobs or any(job.spec.kind != "gang" for job in jobs):
            return 0.0
        return max(
            min(
                (self._replacement_s(kind, job.spec.image_gb) for kind in self.types.values() if kind.fits(job.spec)),
                default=0.0,
            )
            for job in jobs
        )

    def _replacement_s(self, kind: MachineType, image_gb: float) -> float:
        """What a machine is worth waiting for, by what another would need to be as useful: boot and image."""
        return self.settings.knobs.keep_idle * (kind.boot_s + kind.fetch_s(image_gb))

    def _idle(self, own: list[Machine], now: float) -> list[Machine]:
        """Machines of one block that aren't worth keeping."""
        for machine in own:
            if self.job_cache.on_machine(machine.name):
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now
        # tasks that have ended may be kept on a machine, see `Machine.may_be_cleared`
        idle = [
            m
            for m in own
            if m.idle_since is not None
            and not self.job_cache.on_machine(m.name)
            and all(task.state == "ended" for task in m.tasks.values())
        ]
        doomed = []
        ordinary = [m for m in own if not m.spot and not m.draining]
        for machine in idle:
            if machine.draining or machine.notice_at is not None:
                doomed.append(machine)
            elif now - machine.idle_since > self._keep_s(machine):
                if not machine.spot and len(ordinary) <= 1:
                    continue  # a warm one for services
                if machine in ordinary:
                    ordinary.remove(machine)
                doomed.append(machine)
        return doomed

    def _spare(self, doomed: list[Machine], now: float) -> None:
        """Give back what has been gathered of idle machines, of all our blocks in one call."""
        if not doomed or now < self._spare_at:
            return
        with self.machine_registry.lock:
            # from here on no claim can come: the planner passes over machines that are being released
            for machine in doomed:
                machine.releasing = True
        going = [m.name for m in doomed if not self.job_cache.on_machine(m.name)][:MOST_RELEASED]
        if going and self.release(going):
            self._spare_at = now + self._spare_pause_s
        with self.machine_registry.lock:
            for machine in doomed:
                machine.releasing = machine.name in self.machine_registry.released_at

    def _keep_s(self, machine: Machine) -> float:
        """How long an idle machine is worth keeping."""
        kind = self.types.get(machine.type)
        if kind is None:
            return LEAST_CHARGE_S
        return self._replacement_s(kind, max(machine.images.values(), default=0.0))

    def _empty(self, machine: Machine) -> None:
        for job, allocation in self.job_cache.on_machine(machine.name):
            for index in members(allocation.tasks):
                machine.stops.setdefault((job.id, index, allocation.attempt), 1.5 * job.spec.save_s)

    # The leader: machine types, the list, rentals

    def _lead(self) -> None:
        pause = max(1.0, 1.5 / self.settings.cloud_rps)
        while True:
            try:
                self.scale_once()  # at once after a start: without the machine types nothing can be decided
            except Invalid as error:
                log.error("cloud: unexpected answer: %s", error)
            except Exception:
                log.exception("rentals")
            time.sleep(pause * random.uniform(0.9, 1.1))

    def scale_once(self) -> None:
        now = time.monotonic()
        term = self.coordinator.term
        # every controller must know the types to decide submissions; only the leader needs current prices
        if not self.types or (term and now - self._types_at > 10.0 * self.settings.lease_s):
            answer = self._call("GET", protocol.PATH_TYPES, None)
            if answer is not None and answer[0] == 200:
                self.types = protocol.parse_types(answer[1])
                self._types_at = now
        if term is None or not self.types:
            self._lead_since = (None, 0.0)
            self.listing.reset()
            return
        if self._lead_since[0] != term:
            self._lead_since = (term, now)
        try:
            self.listing.read(now)
        except Invalid:
            self.listing.reset()
            raise
        if self.listing.whole is not None:
            self._rent(term, self.listing.whole, self.listing.as_of)

    def _fleets(self) -> tuple[dict[str, TrackedMachine], set[str]]:
        """Machines that some holder hears, and those that were released."""
        now = time.monotonic()
        heard = {}
        gone = set(self.machine_registry.released_at)
        for machine in self.machine_registry.all():
            if not machine.draining and not machine.releasing:
                heard[machine.name] = TrackedMachine(machine.type, machine.zone, machine.spot, machine.first_heartbeat)
        for peer in self.peer_exchange.peers.values():
            if now - peer.at > self.settings.lease_s or peer.machines is None:
                continue
            for name, kind, zone, spot, released, *_ in peer.machines:
                if released:
                    gone.add(name)
                else:
                    heard[name] = TrackedMachine(kind, zone, bool(spot), now)
        return heard, gone

    def _rent(self, term: int, listed: dict[str, ListedMachine], as_of: float) -> None:
        """Give back what nobody can use, and rent what is missing; `as_of`: steady time at which the list was asked
        for."""
        now, clock = time.monotonic(), time.time()
        heard, gone = self._fleets()
        witnessed = {grant.shard for grant in self.coordinator.grants()}
        for peer in self.peer_exchange.peers.values():
            if now - peer.at < 3.0 * self.peer_exchange.pause:
                witnessed |= peer.shards
        lag = 2.0 * self.settings.list_lag_s
        failed = [name for name, row in listed.items() if row.state == "failed" and name not in gone]
        for name, row in listed.items():
            if name not in gone and row.state != "failed":
                self._known.setdefault(name, TrackedMachine(row.type, row.zone, row.spot, now - row.age_s))
        late = []
        for name, known in list(self._known.items()):
            kind = self.types.get(known.type)
            if name in gone or (name not in listed and name not in heard and as_of - known.since > lag + self._timeout):
                del self._known[name]
                continue
            row = listed.get(name)
            if name in heard:
                self._strangers.pop(name, None)
                continue
            boot = kind.boot_s if kind else self.settings.lease_s
            if row is not None and row.state == "running":
                # Up by the list, but nobody hears it. Whether that is so only its block's holder can tell: without
                # fresh news of the holder nothing follows from our not knowing.
                if shard_of(known.zone) not in witnessed:
                    self._strangers.pop(name, None)
                    continue
                since = self._strangers.setdefault(name, now)
                if now - since > 2.0 * self.settings.lease_s:
                    late.append(name)
            elif now - known.since > 3.0 * boot + lag:
                late.append(name)
        if failed or late:
            self.release((failed + late)[:MOST_RELEASED])
        if now - self._lead_since[1] < 1.5:
            return
        # what is rented in a zone that nobody hears can't be used, nor what stands there
        cut = {zone for zone in self.settings.zones if self.coordinator.is_unreachable_by_all(shard_of(zone))}
        capacities = []
        for name, known in sorted({**self._known, **heard}.items()):
            kind = self.types.get(known.type)
            if kind is None or name in late or name in gone or known.zone in cut:
                continue
            free = [kind.cpus, kind.gpus, kind.memory_gb]
            returns = []
            for job, allocation in self.job_cache.on_machine(name):
                tasks = allocation.tasks.bit_count()
                amount = tuple(part * tasks for part in need_of(job.spec))
                free = [have - part for have, part in zip(free, amount, strict=True)]
                if job.spec.kind != "service":
                    # half of the images have to be fetched first, say; and what overruns may go on for long
                    estimate = self.planner.estimates.corrected(job.spec)
                    left = estimate + 0.5 * kind.fetch_s(job.spec.image_gb) - (clock - allocation.at)
                    returns.append((max(left, 0.3 * estimate), amount))
            ready = 0.0
            if name not in heard:
                ready = max(1.0, kind.boot_s - (now - known.since))
            capacities.append(Capacity(kind, known.zone, known.spot, tuple(free), ready, returns))
        wants = [
            want
            for want in (self.planner.pending_jobs.request(job, now, clock) for job in self.job_cache.live())
            if want
        ]
        wants += self.planner.pending_jobs.soon(now, clock)
        offers = [
            Offer(kind, zone, spot)
            for kind in self.types.values()
            for zone in kind.zones
            if zone not in cut
            for spot in (True, False)
            if self._shortage.get(Offer(kind, zone, spot), 0.0) < now
        ]
        rank: dict[str, int] = {}
        for capacity in capacities:
            rank[capacity.zone] = rank.get(capacity.zone, 0) + 1
        capacities.sort(key=lambda c: (c.ready_in, c.spot))
        # Few calls are to be had, and each of them that finds no capacity is one less: what failed least goes first,
        # so that the kinds that can't be had don't keep those waiting that can.
        rentals = to_rent(wants, capacities, offers, now=clock, rank=rank)
        for rental in sorted(rentals, key=lambda rental: self._refusals.get(rental.offer, 0)):
            self._order(term, rental.offer, min(50, rental.machines))

    def _refused(self, offer: Offer, now: float) -> None:
        """The cloud hasn't enough of it: asked for again after a while, and after kinds that weren't refused."""
        self._refusals[offer] = self._refusals.get(offer, 0) + 1
        self._shortage[offer] = now + random.uniform(0.7, 1.3) * self.settings.lease_s

    def _order(self, term: int, offer: Offer, machines: int) -> None:
        self._counter += 1
        # A term is one election of one process, and the counter is never set back, not even when we regain the
        # same term after our lease was in doubt: so the name can't be used again.
        name = f"tidebend-{term}-{self._counter}"
        now = time.monotonic()
        answer = self._call(
            "POST", protocol.PATH_RENT, protocol.rent(name, offer.type.name, offer.zone, offer.spot, machines)
        )
        if answer is None:
            return  # may have been executed: such machines show up in the list
        status, body = answer
        if status == 200:
            names = protocol.parse_rented(body)
            for machine in names:
                self._known[machine] = TrackedMachine(offer.type.name, offer.zone, offer.spot, now)
            log.info(
                "rented %d of %d %s in %s%s",
                len(names),
                machines,
                offer.type.name,
                offer.zone,
                " (spot)" if offer.spot else "",
            )
            if len(names) < machines:
                self._refused(offer, now)
            else:
                self._refusals.pop(offer, None)
        elif status == 503 and isinstance(body, dict) and body.get("error") == "no capacity":
            self._refused(offer, now)
        elif status not in (429, 503):
            log.error("cloud: unexpected %s to a rental: %s", status, body)
