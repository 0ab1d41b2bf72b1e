"""The mapping events of a holder: ends are recorded, waiting tasks are claimed, room is made for what may preempt."""

from __future__ import annotations

import contextlib
import logging
import math
import threading
import time
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from tidebend.bookkeeping.book import JobBook
from tidebend.bookkeeping.claims import Claim
from tidebend.bookkeeping.jobs import Job
from tidebend.bookkeeping.machines import Fleet, Machine
from tidebend.bookkeeping.tasksets import lowest, members
from tidebend.bookkeeping.teams import Usage
from tidebend.coordination import Coordinator, Grant, block_of
from tidebend.protocol import PRIORITIES, JobSpec, MachineType
from tidebend.scheduling import (
    Amount,
    Demand,
    Place,
    Placement,
    Timeline,
    Want,
    allowed_on,
    demands,
    is_reserved,
    largest_share,
    map_tasks,
    need_of,
    own_demand,
    times_fit,
    value_of,
)
from tidebend.service.ledger import Edit, Ledger, packed_bytes
from tidebend.settings import Settings
from tidebend.storage import Conflict, Unavailable, Unknown

log = logging.getLogger("planner")

# the planner rests for this many times as long as its last event took
REST = 12.0
# ends that aren't urgent take about this share of our changes at the state service
ENDS_SHARE = 0.25

Key = tuple[str, int, int]  # job, index, attempt
_Victim = tuple[float, Key, float, Amount, int]  # loss, task, grace, amounts, priority
_Candidate = tuple[Place, Machine, Amount, list[_Victim]]


def _order(job: str, blocks: list[str]) -> list[str]:
    """The order in which blocks take their turns at a job: the same for every holder, another for each job."""
    return sorted(blocks, key=lambda block: zlib.crc32(f"{job}/{block}".encode()))


class Estimates:
    """Owners' estimates corrected per class by what finished tasks took (a moving geometric mean)."""

    WEIGHT = 0.15

    def __init__(self) -> None:
        self._factor: dict[str, float] = {}
        self._lock = threading.Lock()

    def observe(self, job_class: str, estimate: float, took: float) -> None:
        if estimate <= 0 or took <= 0:
            return
        ratio = min(8.0, max(0.125, took / estimate))
        with self._lock:
            old = self._factor.get(job_class, 1.0)
            self._factor[job_class] = old * (ratio / old) ** self.WEIGHT

    def corrected(self, spec: JobSpec) -> float:
        with self._lock:
            return spec.estimate_s * self._factor.get(spec.job_class, 1.0)


@dataclass
class Setback:
    """A job's failures: it is tried again with growing pauses."""

    failures: int = 0
    not_before: float = 0.0


@dataclass
class _Ends:
    ended: dict[tuple[str, int, int], int] = field(default_factory=dict)
    done: int = 0
    grants: set[Grant] = field(default_factory=set)


class Planner:
    def __init__(self, settings: Settings, coordinator: Coordinator, book: JobBook, fleet: Fleet, ledger: Ledger,
                 types: Callable[[], dict[str, MachineType]], send: Callable[[set[str]], None]) -> None:
        self.settings = settings
        self.coordinator = coordinator
        self.send = send
        self.book = book
        self.fleet = fleet
        self.ledger = ledger
        self.types = types
        self.estimates = Estimates()
        self.setbacks: dict[str, Setback] = {}
        self.event = threading.Event()
        self._waiting_since: dict[str, tuple[int, float]] = {}  # job -> (pending bitmap, steady time)
        self._ends: dict[str, _Ends] = {}  # proven and not yet recorded
        self._ends_since: dict[str, float] = {}  # job -> steady time since which ends wait to be recorded
        self._making_room: dict[str, float] = {}  # job -> steady time until which stopped tasks may take to end
        # a service without an estimate counts as long as a worker's lease when values are compared
        self.nominal_s = settings.lease_s
        self.suspect_s = max(2.2 * settings.report_s, settings.lease_s * settings.knobs.suspect_after)
        self.gather_s = settings.knobs.gather * settings.lease_s
        # an array whose tasks follow one another as room comes up claims no more often than this: each time costs
        self.claim_pause_s = 0.5 * self.gather_s
        self.look_up: Callable[[list[str], str], None] = lambda names, kind: None
        self._short_since: dict[str, float] = {}  # team -> steady time since which its free share is too small
        self._demands: dict[str, Demand] = {}  # of jobs that others need, and of those
        self._rest_until = 0.0  # steady time
        self._claimed_at: dict[str, float] = {}  # job -> steady time of our last claim for it
        self.turn_s = 0.1 * settings.report_s

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
        self.settle()
        if self.coordinator.term is not None:
            with contextlib.suppress(Conflict):
                self.ledger.share_out()
        try:
            began = time.monotonic()
            if began >= self._rest_until:
                self.plan()
                ended = time.monotonic()
                self._rest_until = ended + min(REST * (ended - began), 0.2 * self.settings.lease_s)
        finally:
            self.record()

    # Ends

    def settle(self) -> None:
        """Find the ends that are proven by the reports of workers who have confirmed our token."""
        ends: dict[str, _Ends] = {}
        for grant in self.coordinator.grants():
            for machine in self.fleet.all():
                if machine.unsettled and block_of(machine.zone) == grant.block:
                    self._ends_on(machine, grant, ends)
        unwanted = set()
        leads = self.coordinator.term is not None  # of three that would write the same, two would fail
        for job in self.book.live():
            if job.cancelled:
                unwanted.update(claim.machine for claim in job.claims)
            if leads and not job.claims and (job.cancelled or job.complete):
                ends.setdefault(job.id, _Ends())  # its final record is missing: cancelled with what it waited for
        self.send(unwanted)
        self._resolve_doubts()
        self._ends = ends
        for name in [name for name in self._ends_since if name not in ends]:
            del self._ends_since[name]

    def record(self) -> None:
        """Ends are gathered for a moment: the tasks of an array end one after the other, and each write counts.

        Their room is free at once, since it is planned from the workers' reports. A job's last end with us isn't kept
        waiting, and neither is a team at its limit; the others also go with the job's next claim.
        """
        now = time.monotonic()
        due = []
        # the more jobs there are whose tasks end, the longer they are gathered: other changes need the budget more
        gather_s = max(self.gather_s, min(self.settings.lease_s,
                                          len(self._ends) / (ENDS_SHARE * self.ledger.state.writes_per_s)))
        for name, end in self._ends.items():
            job = self.book.get(name)
            if job is None:
                continue
            since = self._ends_since.setdefault(name, now)
            if job.spec.kind != "array" or now - since >= gather_s or self._is_last(job, end) or (
                    now - since >= self.claim_pause_s and self._at_limit(job.spec)):
                due.append(Edit(name, partial(self._without, end=end), self._conditions(end)))
        if due:
            recorded = self.ledger.change_all(due)
            for name in recorded:
                self._ends_since.pop(name, None)
            log.debug("ends recorded for %s", ", ".join(recorded))

    def _conditions(self, end: _Ends) -> dict[str, int]:
        return dict(self.coordinator.condition(grant) for grant in end.grants)

    def _is_last(self, job: Job, end: _Ends) -> bool:
        """Whether nothing of the job is left in our blocks once these ends are recorded."""
        if job.cancelled or job.done | end.done == job.all_tasks:
            return True
        ours = {grant.block for grant in self.coordinator.grants()}
        return not job.pending and not any(
            claim.tasks & ~end.ended.get((claim.machine, claim.session, claim.attempt), 0)
            for claim in job.claims if block_of(claim.zone) in ours)

    def _at_limit(self, spec: JobSpec) -> bool:
        team = self.settings.teams.get(spec.team)
        usage = self.book.team(spec.team, self.coordinator.held_zones())
        return team is not None and not team.allows(usage.cpus + spec.cpus, usage.gpus + spec.gpus)

    def _without(self, job: Job, _: Usage, end: _Ends) -> Job:
        new = job.without(end.ended, end.done)
        if end.done and not job.parts and not self.ledger.fits(new) and not (new.complete or new.cancelled):
            # the numbers of the done tasks are too scattered for a record: results are kept by the platform, so that
            # a task started again is done at once
            scattered = job.without(end.ended, 0)
            return new if packed_bytes(new.pack()) <= self.ledger.value_bytes else scattered
        return new

    def _resolve_doubts(self) -> None:
        """A direct start without an answer may be executed late: a new token puts an end to that."""
        now = time.monotonic()
        for grant in self.coordinator.grants():
            with self.fleet.lock:
                doubt = any(token >= grant.token and now - at > self.settings.report_s
                            for machine in self.fleet.machines.values() if block_of(machine.zone) == grant.block
                            for token, at in machine.doubtful.values())
            if doubt and now - grant.since > self.settings.report_s:
                self.coordinator.raise_token(grant)

    def _ends_on(self, machine: Machine, grant: Grant, ends: dict[str, _Ends]) -> None:
        now = time.monotonic()
        with self.fleet.lock:
            if machine.token != grant.token:
                return
            machine.unsettled = False
            for job, claim in self.book.on_machine(machine.name):
                ended = done = 0
                if claim.session < machine.session:
                    ended = claim.tasks  # the worker has begun a later session: it killed and forgot them all
                elif claim.session == machine.session:
                    for index in members(claim.tasks):
                        key = (job.id, index, claim.attempt)
                        task = machine.tasks.get(key)
                        if task is None:
                            if self._absent(machine, job, key):
                                ended |= 1 << index
                        elif task.state == "ended":
                            ended |= 1 << index
                            if task.why == "done":
                                done |= 1 << index
                            self._observe(machine, job, key, task.why, now)
                if ended:
                    machine.unsettled = True  # until the record says so
                    end = ends.setdefault(job.id, _Ends())
                    place = (claim.machine, claim.session, claim.attempt)
                    end.ended[place] = end.ended.get(place, 0) | ended
                    if done and job.spec.kind == "gang":
                        done = job.all_tasks  # a gang's tasks complete together
                    end.done |= done
                    end.grants.add(grant)

    def _absent(self, machine: Machine, job: Job, key: Key) -> bool:
        """Whether a task that isn't reported, and isn't wanted any more, can't be started either.

        Earlier holders' starts carry lower tokens than the one that the worker has confirmed.
        """
        return (job.cancelled or key in machine.stops) and machine.can_no_longer_start(key)

    def _observe(self, machine: Machine, job: Job, key: Key, why: str | None, now: float) -> None:
        if key in machine.observed:
            return  # its record waits to be written
        machine.observed.add(key)
        since = machine.running_since.pop(key, None)
        if why == "done":
            if since is not None and job.spec.kind != "service":
                self.estimates.observe(job.spec.job_class, job.spec.estimate_s, now - since)
            machine.failures.clear()
            self.setbacks.pop(job.id, None)
        elif why == "error" and machine.failures.get(job.id, 0.0) < now - 0.01:
            machine.failures[job.id] = now
            setback = self.setbacks.setdefault(job.id, Setback())
            setback.failures += 1
            # one failure is mostly the machine's; a job that fails again and again is tried ever less often
            setback.not_before = now + min(8.0, 0.25 * 2.0 ** (setback.failures - 1)) * self.settings.report_s
            log.info("machine %s: %s failed", machine.name, key)
            others = [name for name in machine.failures
                      if name == job.id or self.setbacks.get(name, Setback()).failures < 3]
            if len(others) >= 2 and not machine.draining:
                machine.draining = True
                log.info("machine %s is set aside: tasks of several jobs fail there", machine.name)

    # Places

    def silent(self, machine: Machine, now: float) -> bool:
        return now - machine.heard > self.suspect_s

    def _remaining(self, machine: Machine, job: Job, key: Key, kind: MachineType, now: float, clock: float,
                   claim: Claim) -> float:
        if job.spec.kind == "service":
            return math.inf
        estimate = self.estimates.corrected(job.spec)
        since = machine.running_since.get(key)
        if since is not None:
            left = estimate - (now - since)
        elif job.spec.kind == "gang" and job.pending:
            # it waits for others of its gang: their replacements don't wait for its end
            left = estimate + self.settings.gang_wait_s
        else:
            fetch = 0.0 if job.spec.image in machine.images else kind.fetch_s(job.spec.image_gb)
            left = estimate + max(0.0, fetch - (clock - claim.at))
        # an overrunning task is seen at each event anew, and planned around
        return max(left, 0.1 * estimate, self.settings.report_s)

    def places(self, now: float, clock: float) -> dict[str, tuple[Place, Machine, Grant]]:
        types = self.types()
        found = {}
        for grant in self.coordinator.grants():
            for machine in self.fleet.all():
                kind = types.get(machine.type)
                if kind is None or block_of(machine.zone) != grant.block:
                    continue
                with self.fleet.lock:
                    place = self._place(machine, kind, grant, now, clock)
                if place is not None:
                    found[machine.name] = (place, machine, grant)
        return found

    def _place(self, machine: Machine, kind: MachineType, grant: Grant, now: float, clock: float) -> Place | None:
        held = self.book.on_machine(machine.name)
        if machine.token != grant.token or machine.draining or machine.releasing or self.silent(machine, now):
            return None
        # ends are rounded up to a report's interval: they are known no better, and the timeline has fewer steps
        step = self.settings.report_s
        ends: dict[float, Amount] = {}
        fetching = set()
        for job, claim in held:
            need = need_of(job.spec)
            for index in members(claim.tasks):
                key = (job.id, index, claim.attempt)
                task = machine.tasks.get(key)
                if task is not None and task.state == "ended" and claim.session == machine.session:
                    machine.uses_image(job.spec.image, job.spec.image_gb, kind.cache_gb)
                    continue  # its room is free; that its record doesn't say so yet keeps nobody waiting
                left = self._remaining(machine, job, key, kind, now, clock, claim)
                if key in machine.stops:
                    left = machine.stops[key] + self.settings.report_s
                end = left if left == math.inf else math.ceil(left / step) * step
                taken = ends.get(end, (0.0, 0.0, 0.0))
                ends[end] = (taken[0] + need[0], taken[1] + need[1], taken[2] + need[2])
                if task is None or task.state == "fetching":
                    fetching.add(job.spec.image)
                else:
                    machine.uses_image(job.spec.image, job.spec.image_gb, kind.cache_gb)
        timeline = Timeline(now, (kind.cpus, kind.gpus, kind.memory_gb))
        for end, taken in ends.items():
            timeline.take(now, now + end, taken)
        place = Place(machine.name, kind, machine.zone, machine.spot, timeline, set(machine.images),
                      len(fetching))
        if machine.notice_at is not None:
            place.until = machine.notice_at
        return place

    # Waiting work

    def _own_demand(self, job: Job, estimate: float) -> Demand:
        return own_demand(job.spec, job.submitted, estimate, self.settings.late_aims.get(job.spec.job_class, 1.0))

    def _step_s(self, spec: JobSpec, estimate: float) -> float:
        """How long a step of a pipeline takes once it is ready: its start is reported and so is its end, and its
        image may have to be fetched."""
        fetch = min((kind.fetch_s(spec.image_gb) for kind in self.types().values() if kind.fits(spec)), default=0.0)
        return estimate + fetch + self.settings.report_s

    def weigh(self) -> None:
        """What the jobs of pipelines are asked for by those that need them, however late these came."""
        after = self.book.waiters()
        own: dict[str, Demand] = {}
        length: dict[str, float] = {}
        for name in {*after, *(waiter for waiters in after.values() for waiter in waiters)}:
            job = self.book.get(name)
            if job is not None and not job.cancelled:
                estimate = self.estimates.corrected(job.spec)
                own[name] = self._own_demand(job, estimate)
                length[name] = self._step_s(job.spec, estimate)
        self._demands = demands(own, length, after)

    def soon(self, now: float, clock: float) -> list[Want]:
        """Work that waits for others whose last tasks are running, with the time at which it will be ready."""
        wants = []
        after = self.book.waiters()
        for name in {waiter for waiters in after.values() for waiter in waiters}:
            job = self.book.get(name)
            if job is None or not job.held or job.cancelled:
                continue
            left = 0.0
            for other in job.awaits:
                if other not in after or self.book.final(other) is not None:
                    continue
                before = self.book.get(other)
                if before is None or before.pending or not before.claims or before.spec.kind == "service":
                    break
                estimate = self.estimates.corrected(before.spec)
                left = max([left, *(estimate - (clock - claim.at) for claim in before.claims)])
            else:
                want = self.want(replace(job, held=False, ready=clock + left), now, clock)
                if want is not None:
                    want.not_before = max(want.not_before, clock + left)
                    wants.append(want)
        return wants

    def want(self, job: Job, now: float, clock: float, zones: Iterable[str] | None = None) -> Want | None:
        """As far as the team's limit allows in these zones, which are ours; None: in all zones together."""
        pending = job.pending
        if not pending:
            return None
        if job.spec.kind == "gang" and job.claims and not self._still_gathers(job, clock):
            return None  # the attempt before it must be over: a gang starts whole
        spec = job.spec
        service = spec.kind == "service"
        estimate = self.nominal_s if service else max(self.estimates.corrected(spec), 0.1)
        used = self.book.used(spec.team)
        usage = Usage(*used) if zones is None else self.book.team(spec.team, zones)
        team = self.settings.teams.get(spec.team)
        headroom = pending.bit_count()
        within = False
        end = self._ends.get(job.id)
        if end is not None:
            usage = usage.freed(spec, job.running - job.without(end.ended, 0).running)
        if team is not None:
            if team.cpus_max is not None and spec.cpus > 0:
                headroom = min(headroom, int((team.cpus_max - usage.cpus + 1e-6) // spec.cpus))
            if team.gpus_max is not None and spec.gpus > 0:
                headroom = min(headroom, int((team.gpus_max - usage.gpus + 1e-6) // spec.gpus))
            within = used[0] + spec.cpus <= team.cpus + 1e-6 and (
                spec.gpus <= 0 or used[1] + spec.gpus <= team.gpus + 1e-6)
        # the steady clock and the time of day meet here: values are of the time of day
        demand = self._demands.get(job.id) or self._own_demand(job, estimate)
        value = value_of(demand, job.since, estimate, within)
        setback = self.setbacks.get(job.id)
        return Want(job.id, spec, value, estimate, pending.bit_count(), job.per_zone(), headroom,
                    not service and is_reserved(value, clock),
                    clock + max(0.0, setback.not_before - now) if setback else 0.0,
                    largest_share(spec, list(self.types().values())),
                    job.since + self.settings.start_aims.get(spec.job_class, math.inf),
                    spec.gpus <= 0 and any(kind.gpus <= 0 and kind.fits(spec) for kind in self.types().values()))

    def _still_gathers(self, job: Job, clock: float) -> bool:
        """Whether a gang's attempt hasn't begun to run, so that replacements for lost tasks complete it.

        All its machines must be ours to know that, and a replacement must have its image while the others wait.
        """
        fetch = max((kind.fetch_s(job.spec.image_gb) for kind in self.types().values() if kind.fits(job.spec)),
                    default=0.0)
        held = self.coordinator.held_zones()
        for claim in job.claims:
            if claim.zone not in held or claim.attempt != job.claims[0].attempt:
                return False
            with self.fleet.lock:
                machine = self.fleet.machines.get(claim.machine)
                if machine is None or machine.session != claim.session:
                    return False
                for index in members(claim.tasks):
                    task = machine.tasks.get((job.id, index, claim.attempt))
                    if task is not None and task.state not in ("fetching", "waiting"):
                        return False
        return clock + fetch - min(claim.at for claim in job.claims) < self.settings.gang_wait_s

    def _turn(self, job: Job, block: str, blocks: list[str], now: float, round_: int) -> float:
        """Seconds until this block may take a job's tasks: holders take turns, so as not to collide.

        Blocks with the job's image at hand take theirs in a round before the others: a fetch takes longer.
        """
        pending = job.pending
        seen = self._waiting_since.get(job.id)
        if seen is None or seen[0] != pending:
            seen = (pending, now if seen is None else seen[1])
            self._waiting_since[job.id] = seen
        order = _order(job.id, blocks)
        if block not in order or len(order) == 1:
            return 0.0  # nobody to collide with
        return seen[1] + (order.index(block) + round_ * len(order)) * self.turn_s - now

    def plan(self) -> None:
        now, clock = time.monotonic(), time.time()
        if not self.coordinator.lease_valid:
            return
        jobs = {job.id: job for job in self.book.live() if job.pending}
        for name in [name for name in self._waiting_since if name not in jobs]:
            del self._waiting_since[name]
            self._making_room.pop(name, None)
            self._claimed_at.pop(name, None)
        places = self.places(now, clock) if jobs else None
        if not places:
            return
        at_hand: dict[str, list[Place]] = {}
        for place, _, _ in places.values():
            for image in place.images:
                at_hand.setdefault(image, []).append(place)
            # values are of the time of day, and so are the slots
            place.timeline.times = [time_ - now + clock for time_ in place.timeline.times]
            place.until += clock - now
        self.weigh()
        blocks = sorted(self.coordinator.table())
        wants = []
        mine = {block_of(place.zone) for place, _, _ in places.values()}
        held = self.coordinator.held_zones()
        for job in jobs.values():
            want = self.want(job, now, clock, held)
            if want is None:
                continue
            need = need_of(job.spec)
            fetched = any(times_fit(place.timeline.free[0], need) and allowed_on(want, place)
                          for place in at_hand.get(job.spec.image, ()))
            turn = min((self._turn(job, block, blocks, now, int(not fetched)) for block in mine), default=0.0)
            if job.spec.kind == "array" and job.id in self._claimed_at:
                turn = max(turn, self._claimed_at[job.id] + self.claim_pause_s - now)
            if turn > 0:
                want.not_before = max(want.not_before, clock + turn)
            wants.append(want)
        longest = max((want.estimate for want in wants), default=0.0)
        horizon = self.settings.knobs.horizon * longest
        placements = map_tasks(wants, [place for place, _, _ in places.values()], clock, horizon)
        chosen: dict[str, list[Placement]] = {}
        for placement in placements:
            if placement.now:
                chosen.setdefault(placement.job, []).append(placement)
        self._claim(chosen, places)
        self._give_back(jobs.values(), now)
        self._preempt([want for want in wants if want.waiting > 0], places, now, clock)

    def _give_back(self, waiting: Iterable[Job], now: float) -> None:
        """Shares that we don't use go back when work of their team waits that finds no room in what is free.

        A moment later, since it is we who use them first: our own tasks that end make room for the team's next.
        """
        short = set()
        for job in waiting:
            limit, usage = self.settings.teams.get(job.spec.team), self.book.team(job.spec.team)
            if limit is not None and usage.shares is not None:
                total = usage.shares.total()
                if not limit.allows(total[0] + job.spec.cpus, total[1] + job.spec.gpus):
                    short.add(job.spec.team)
        for team in [team for team in self._short_since if team not in short]:
            del self._short_since[team]
        for team in short:
            if now - self._short_since.setdefault(team, now) > self.claim_pause_s:
                self._short_since[team] = now
                with contextlib.suppress(Conflict):
                    self.ledger.give_back(team)

    def _claim(self, chosen: dict[str, list[Placement]], places: dict[str, tuple[Place, Machine, Grant]]) -> None:
        at = time.time()
        edits = []
        for name, group in chosen.items():
            end = self._ends.get(name)
            conditions = dict(self.coordinator.condition(places[placement.machine][2]) for placement in group)
            if end is not None:
                conditions.update(self._conditions(end))
            edits.append(Edit(name, partial(self._claimed, group=group, places=places, at=at, end=end), conditions))
        changed = self.ledger.change_all(edits) if edits else {}
        now = time.monotonic()
        for name in changed:
            self._ends_since.pop(name, None)
            self._ends.pop(name, None)
            if changed[name].running >= sum(placement.tasks for placement in chosen[name]):
                self._claimed_at[name] = now  # else more of its parts follow at once
            log.debug("claimed for %s: %s", name, [(p.machine, p.tasks) for p in chosen[name]])
        self.send({placement.machine for name in changed for placement in chosen[name]})

    def _claimed(self, job: Job, usage: Usage, group: list[Placement],
                 places: dict[str, tuple[Place, Machine, Grant]], at: float, end: _Ends | None) -> Job | None:
        """The job with claims for a group of placements: the rules that span holders are checked against the very
        records that the transaction compares."""
        if end is not None:
            before, job = job, self._without(job, usage, end)
            usage = usage.freed(job.spec, before.running - job.running)
        pending = job.pending
        spec = job.spec
        team = self.settings.teams.get(spec.team)
        gang = spec.kind == "gang"
        if gang and sum(p.tasks for p in group) != pending.bit_count():
            return None
        if gang and job.claims and not self._still_gathers(job, at):
            return None
        # replacements have the attempt of those that wait for them
        attempt = job.claims[0].attempt if gang and job.claims else job.started + 1
        want = Want(job.id, spec, value_of(Demand(0), 0, 1), 1, pending.bit_count(), job.per_zone())
        claims = []
        for placement in group:
            machine = places[placement.machine][1]
            tasks = lowest(pending, min(placement.tasks, want.zone_room(machine.zone)))
            if not tasks:
                continue
            if attempt <= job.started and any((job.id, index, attempt) in machine.tasks for index in members(tasks)):
                return None  # it would not be started a second time
            usage = usage.plus(spec, tasks.bit_count())
            if team is not None and not team.allows(usage.cpus, usage.gpus):
                break
            want.zones[machine.zone] = want.zones.get(machine.zone, 0) + tasks.bit_count()
            pending &= ~tasks
            claims.append(Claim(machine.name, machine.session, attempt, tasks, at, machine.zone))
        if not claims or (gang and pending):
            return None
        new = job.with_claims(claims)
        while not gang and len(claims) > 1 and not self.ledger.fits(new, job):
            # a record holds only so many claims: the rest follows as these end
            claims = claims[:len(claims) // 2]
            new = job.with_claims(claims)
        return new if gang or not job.claims or self.ledger.fits(new, job) else None

    # Room for what may preempt

    def _preempt(self, waiting: list[Want], places: dict[str, tuple[Place, Machine, Grant]], now: float,
                 clock: float) -> None:
        """Stop what loses least, for waiting work of a higher priority that finds no room now."""
        blocks = sorted(self.coordinator.table())
        mine = {block_of(place.zone) for place, _, _ in places.values()}
        candidates: list[_Candidate] | None = None
        for want in waiting:
            rank = PRIORITIES.index(want.spec.priority)
            if rank == 0 or want.gang or not want.service or want.headroom < 1:
                continue
            seen = self._waiting_since.get(want.job)
            # every holder has had its turn to place it without stopping anything; they take turns at that, too
            order = _order(want.job, blocks)
            rank_of = min((order.index(block) for block in mine), default=0)
            wait = (2 * len(blocks) + 1) * self.turn_s + rank_of * self.settings.report_s
            if now < self._making_room.get(want.job, 0.0):
                continue
            if seen is None or now - seen[1] < wait or want.not_before > clock:
                continue
            if candidates is None:
                candidates = []
                for place, machine, _ in places.values():
                    if not machine.stops and place.until == math.inf:  # else room is being made here already
                        free, victims = self._victims(machine, place.type, now)
                        if victims:
                            candidates.append((place, machine, free, victims))
            self._make_room(want, rank, candidates, now)

    def _make_room(self, want: Want, rank: int, candidates: list[_Candidate], now: float) -> None:
        """Stop tasks for as many replicas as wait: one after the other they would be missed for long."""
        need = need_of(want.spec)
        rooms = {place.zone: want.zone_room(place.zone) for place, *_ in candidates}
        allowed: dict[tuple[str, str, bool], bool] = {}
        found = []
        for number, (place, _, free, victims) in enumerate(candidates):
            kind = (place.type.name, place.zone, place.spot)
            if kind not in allowed:
                # where it may be placed, no other: GPU machines were cleared for replicas that then kept off them
                allowed[kind] = allowed_on(want, place)
            if allowed[kind] and rooms[place.zone] > 0:
                cost = self._cheapest(free, victims, need, rank)
                if cost is not None:
                    # room where the image is at hand is used at once; a fetch often takes longer than the aim allows
                    found.append((place.fetch_s(want.spec), cost[0], number, cost[1]))
        used = set()
        for _, lost, number, keys in sorted(found):
            place, machine, *_ = candidates[number]
            if len(used) >= min(want.waiting, want.headroom):
                break
            if rooms[place.zone] < 1:
                continue
            rooms[place.zone] -= 1
            used.add(number)
            with self.fleet.lock:
                machine.stops.update(keys)
            log.info("machine %s: %s make room for %s, %.0f s of work lost", machine.name,
                     [key[:2] for key, _ in keys], want.job, lost)
        if used:
            self.send({candidates[number][1].name for number in used})
            self._making_room[want.job] = now + 2.0 * self.settings.report_s
            candidates[:] = [row for number, row in enumerate(candidates) if number not in used]

    def _victims(self, machine: Machine, kind: MachineType, now: float) -> tuple[Amount, list[_Victim]]:
        """What a machine has free, and its tasks that may be stopped, those that lose least first."""
        free = [kind.cpus, kind.gpus, kind.memory_gb]
        victims = []
        for job, claim in self.book.on_machine(machine.name):
            amount = need_of(job.spec)
            for index in members(claim.tasks):
                for dimension in range(3):
                    free[dimension] -= amount[dimension]
                # a gang of several loses all its tasks' work with one of them, and isn't stopped in order yet
                if job.spec.kind == "array" or (job.spec.kind == "gang" and job.spec.tasks == 1):
                    key = (job.id, index, claim.attempt)
                    since = machine.running_since.get(key)
                    ran = 0.0 if since is None else now - since
                    grace = 0.0
                    if job.spec.checkpoint_s > 0:
                        grace, ran = job.spec.save_s * 1.5, min(ran, job.spec.save_s)
                    victims.append((ran * amount[0], key, grace, amount, PRIORITIES.index(job.spec.priority)))
        return tuple(free), sorted(victims)

    @staticmethod
    def _cheapest(free: Amount, victims: list[_Victim], need: Amount,
                  rank: int) -> tuple[float, list[tuple[Key, float]]] | None:
        """The stops that make room for one task on a machine, with what they lose."""
        lost = 0.0
        keys: list[tuple[Key, float]] = []
        for cost, key, grace, amount, priority in victims:
            if times_fit(free, need):
                break
            if priority < rank:
                lost += cost
                keys.append((key, grace))
                free = (free[0] + amount[0], free[1] + amount[1], free[2] + amount[2])
        return (lost, keys) if keys and times_fit(free, need) else None
