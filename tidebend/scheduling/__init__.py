"""Maximum value per resource with place-holders (Khemka et al.): pure functions of a snapshot and a clock."""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass, field
from heapq import heappop, heappush

from tidebend.protocol import PRIORITIES, JobSpec, MachineType

# value left at the hard deadline, as a share of the starting value: the middle of the paper's U(0.01, 0.8)
FINAL_SHARE = 0.4
# what lies within its team's guarantee is worth this many times what is borrowed
GUARANTEE_WORTH = 2.0
EPSILON = 1e-6
# busy machines that an event looks at together when a want's best slot may be on one of them
LOOK = 8


@dataclass(frozen=True, slots=True)
class Value:
    """The paper's value function: constant to the soft deadline, linear to the hard one, then nothing."""

    start: float
    final: float
    soft: float
    hard: float

    def at(self, finish: float) -> float:
        if finish <= self.soft:
            return self.start
        if finish > self.hard:
            return 0.0
        span = self.hard - self.soft
        return self.start - (self.start - self.final) * (finish - self.soft) / span if span > 0 else self.final


@dataclass(frozen=True, slots=True)
class Demand:
    """What a job, and all that need it, ask of it: the greatest priority, and by when it must be over for their
    deadlines to be met."""

    rank: int
    soft: float = math.inf
    hard: float = math.inf


def demands(own: dict[str, Demand], length: dict[str, float], after: dict[str, list[str]]) -> dict[str, Demand]:
    """Demands along the graph of jobs that need one another: the remaining critical path goes off each deadline.

    `length`: how long a job takes once it is ready; `after`: for each job those that need it. Neither order nor depth
    of the graph is bounded, so there is no recursion.
    """
    found: dict[str, Demand] = {}
    left = list(after)
    while left:
        name = left[-1]
        if name in found or name not in own:
            left.pop()
            continue
        missing = [other for other in after.get(name, ()) if other in own and other not in found]
        if missing:
            left += missing
            continue
        left.pop()
        demand = own[name]
        for other in after.get(name, ()):
            if other in found:
                ask, takes = found[other], length[other]
                demand = Demand(max(demand.rank, ask.rank), min(demand.soft, ask.soft - takes),
                                min(demand.hard, ask.hard - takes))
        found[name] = demand
    return found


def own_demand(spec: JobSpec, submitted: float, estimate: float, late: float = 1.0) -> Demand:
    """What a job asks for by itself; a deadline that is aimed at `late` times over as well is a hard one."""
    rank = PRIORITIES.index(spec.priority)
    if spec.deadline_s is None:
        return Demand(rank)
    soft = submitted + spec.deadline_s
    return Demand(rank, soft, max(soft + estimate, submitted + late * spec.deadline_s))


def value_of(demand: Demand, since: float, estimate: float, within_guarantee: bool = False) -> Value:
    """Soft deadline: the job's own or what is left of a later one's, else one estimate after it could first start;
    the hard one is an estimate later, or as demanded."""
    # priority sets the starting value (DESIGN); each step is worth ten of the one below
    start = 10.0**demand.rank * (GUARANTEE_WORTH if within_guarantee else 1.0)
    if demand.soft == math.inf:
        return Value(start, start * FINAL_SHARE, since + estimate, since + estimate + max(estimate, EPSILON))
    return Value(start, start * FINAL_SHARE, demand.soft, max(demand.hard, demand.soft + EPSILON))


Amount = tuple[float, float, float]  # CPUs, GPUs, memory


def need_of(spec: JobSpec) -> Amount:
    return (spec.cpus, spec.gpus, spec.memory_gb)


def times_fit(free: Amount, need: Amount) -> int:
    """How many tasks of that size fit. (Written out: a mapping event spends most of its time here.)"""
    most = 1_000_000.0
    amount = need[0]
    if amount > EPSILON:
        most = (free[0] + EPSILON) // amount
    amount = need[1]
    if amount > EPSILON:
        most = min(most, (free[1] + EPSILON) // amount)
    amount = need[2]
    if amount > EPSILON:
        most = min(most, (free[2] + EPSILON) // amount)
    return int(most) if most > 0 else 0


class Timeline:
    """Free amounts of one machine from now on, in steps; the last step lasts for ever."""

    __slots__ = ("times", "free")

    def __init__(self, start: float, free: Amount) -> None:
        self.times = [start]
        self.free = [free]

    def _split(self, time: float) -> int:
        """The index of the step that begins at `time`, which is made if there is none."""
        for index in range(len(self.times) - 1, -1, -1):
            if self.times[index] <= time:
                if self.times[index] == time:
                    return index
                self.times.insert(index + 1, time)
                self.free.insert(index + 1, self.free[index])
                return index + 1
        return 0

    def take(self, start: float, end: float, amount: Amount) -> None:
        first = self._split(start)
        last = len(self.times) if end == math.inf else self._split(end)
        for index in range(first, last):
            free = self.free[index]
            self.free[index] = (free[0] - amount[0], free[1] - amount[1], free[2] - amount[2])

    def _index(self, time: float) -> int:
        """The step that holds at `time`."""
        return max(0, bisect_right(self.times, time) - 1)

    def room(self, start: float, end: float, need: Amount) -> int:
        """How many tasks fit from start to end."""
        most = 1_000_000
        for index in range(self._index(start), len(self.times)):
            if self.times[index] >= end:
                break
            most = min(most, times_fit(self.free[index], need))
            if not most:
                break
        return most

    def earliest(self, after: float, length: float, need: Amount, latest: float) -> float | None:
        """The first start at which a task fits without disturbing what is placed."""
        start: float | None = None
        for index in range(self._index(after), len(self.times)):
            begin = self.times[index]
            if start is not None and begin >= start + length:
                return start
            if not times_fit(self.free[index], need):
                start = None
            elif start is None:
                start = max(begin, after)
                if start > latest:
                    return None
        return start

    def gap(self, start: float, end: float, need: Amount) -> tuple[int, float]:
        """The change in the number of idle gaps that a task from start to end makes, and its gap's length."""
        first = index = self._index(start)
        while first > 0 and times_fit(self.free[first - 1], need):
            first -= 1
        index += 1
        while index < len(self.times) and times_fit(self.free[index], need):
            index += 1
        last = self.times[index] if index < len(self.times) else math.inf
        return (start > self.times[first]) + (end < last) - 1, last - self.times[first]


@dataclass(slots=True)
class Place:
    """A machine as a mapping event sees it."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    timeline: Timeline
    images: set[str] = field(default_factory=set)
    fetching: int = 0  # images being fetched now
    until: float = math.inf  # when the cloud takes it
    changes: int = 0  # placements made on it in this event

    def fetch_s(self, spec: JobSpec) -> float:
        if spec.image in self.images or spec.image_gb <= 0:
            return 0.0
        return self.type.fetch_s(spec.image_gb) * (1 + self.fetching)

    def allowed(self, spec: JobSpec) -> bool:
        return (spec.spot or not self.spot) and self.type.fits(spec) and (
            spec.zone is None or spec.zone == self.zone)


@dataclass(slots=True)
class Want:
    """A job's waiting tasks: they are equal in value and size and share one entry."""

    job: str
    spec: JobSpec
    value: Value
    estimate: float  # corrected run time
    waiting: int
    zones: dict[str, int] = field(default_factory=dict)  # its tasks' places, ended or not yet proven so
    headroom: int = 1_000_000  # tasks that the team's limit still allows
    reserved: bool = False  # past its soft deadline: keeps a standing reservation
    not_before: float = 0.0
    share: float = 1.0  # the largest of a machine that a task takes
    start_by: float = math.inf  # time of day by which its tasks should have started, by an aim of its class
    keeps_off_gpus: bool = False  # it can run without them, and so leaves them to those that can't

    @property
    def service(self) -> bool:
        return self.spec.kind == "service"

    @property
    def gang(self) -> bool:
        return self.spec.kind == "gang" and self.waiting > 1

    def zone_room(self, zone: str) -> int:
        """How many more tasks may be in that zone: `one_zone` and `spread` count the places still held."""
        spec = self.spec
        if spec.one_zone and any(held and other != zone for other, held in self.zones.items()):
            return 0
        if spec.spread:
            return max(0, (spec.tasks + 1) // 2 - self.zones.get(zone, 0))
        return self.waiting


@dataclass(frozen=True, slots=True)
class Placement:
    job: str
    machine: str
    tasks: int
    start: float
    finish: float
    now: bool  # starts now; otherwise a place-holder


def largest_share(spec: JobSpec, kinds: list[MachineType]) -> float:
    """A task's largest share of the most CPUs, GPUs or memory that any machine has.

    The paper counts cores, which are alike in all its clusters. A share of the very machine at hand would make
    large machines look cheap, and tasks wait for room there while others idle.
    """
    most = [max((getattr(kind, part) for kind in kinds), default=0.0) for part in ("cpus", "gpus", "memory_gb")]
    return max([EPSILON] + [need / have for need, have in zip(need_of(spec), most, strict=True) if have > 0])


def allowed_on(want: Want, place: Place) -> bool:
    """Whether a want may be placed on a machine at all."""
    if want.keeps_off_gpus and place.type.gpus > 0:
        return False
    if want.service and place.until < math.inf:
        return False
    return place.allowed(want.spec)


# (-value per resource, finish, added gaps, gap, what the machine has left, its name, start)
_Slot = tuple[float, float, int, float, float, str, float]


def _rate(want: Want, finish: float, now: float) -> float:
    """Value per resource of a slot that ends then; it never rises with the finish."""
    if want.service:
        # every second that a replica isn't up is lost, so that its earliest slot is worth the most
        return want.value.start - (finish - want.estimate - now)
    return want.value.at(finish) / max(want.estimate * want.share, EPSILON)


def _slot(want: Want, place: Place, now: float, latest: float) -> _Slot | None:
    """The earliest slot on a machine. Slots compare by value per resource; ties go to the earliest finish, the
    fewest added idle gaps, the smallest gap, the tightest fit."""
    if want.zone_room(place.zone) < 1:
        return None
    length = place.fetch_s(want.spec) + want.estimate
    need = need_of(want.spec)
    start = place.timeline.earliest(max(now, want.not_before), length, need, latest)
    if start is None:
        return None
    finish = start + length
    if finish > place.until:
        return None
    rate = _rate(want, finish, now)
    gaps, gap = place.timeline.gap(start, finish, need)
    free = place.timeline.free[0]
    left = free[0] / max(place.type.cpus, EPSILON) + free[2] / max(place.type.memory_gb, EPSILON)
    # machines that may be taken are for those that can bear it
    left += want.spec.spot and not place.spot
    return -rate, round(finish, 3), gaps, gap, left, place.name, start


def _place_gang(want: Want, places: list[Place], now: float, latest: float) -> list[Placement] | None:
    """Places for all tasks at one time, the earliest there is; nothing if the whole gang doesn't fit."""
    need = need_of(want.spec)
    usable = [place for place in places if allowed_on(want, place) and place.until == math.inf]
    starts = sorted({max(now, time) for place in usable for time in place.timeline.times if time <= latest} | {now})
    usable.sort(key=lambda place: (place.fetch_s(want.spec), place.name))
    groups: list[list[Place]] = [usable]
    if want.spec.one_zone:
        groups = [[place for place in usable if place.zone == zone] for zone in sorted({p.zone for p in usable})
                  if want.zone_room(zone) > 0]
    for start in starts:
        for group in groups:
            found: list[tuple[Place, int, float]] = []
            missing = want.waiting
            zones = dict(want.zones)
            for place in group:
                length = place.fetch_s(want.spec) + want.estimate
                allowed = missing
                if want.spec.spread:
                    allowed = min(allowed, (want.spec.tasks + 1) // 2 - zones.get(place.zone, 0))
                fitting = min(allowed, place.timeline.room(start, start + length, need))
                if fitting > 0:
                    found.append((place, fitting, length))
                    zones[place.zone] = zones.get(place.zone, 0) + fitting
                    missing -= fitting
                if not missing:
                    break
            if not missing:
                finish = start + max(length for _, _, length in found)
                for place, tasks, _ in found:
                    place.timeline.take(start, finish, tuple(part * tasks for part in need))
                return [Placement(want.job, place.name, tasks, start, finish, start <= now)
                        for place, tasks, _ in found]
    return None


class _Startable:
    """The machines on which some waiting task could start now."""

    def __init__(self, wants: list[Want], places: list[Place], now: float) -> None:
        self._needs = [(want, need_of(want.spec)) for want in wants if want.not_before <= now]
        # most machines are full, and seen to be so by the least that any task needs
        self._least = min((need[0] for _, need in self._needs), default=math.inf)
        self.names = {place.name for place in places if self._any(place)}

    def _any(self, place: Place) -> bool:
        free = place.timeline.free[0]
        if free[0] + EPSILON < self._least:
            return False
        return any(want.waiting > 0 and times_fit(free, need) and allowed_on(want, place)
                   for want, need in self._needs)

    def look_again(self, place: Place) -> None:
        if place.name in self.names and not self._any(place):
            self.names.discard(place.name)


def map_tasks(wants: list[Want], places: list[Place], now: float, horizon: float) -> list[Placement]:
    """One mapping event. The place-holders in the result guard their slots within it, and lapse with it."""
    placements: list[Placement] = []
    latest = now + horizon
    wants = [want for want in wants if want.waiting > 0 and want.headroom > 0]  # teams at their limit are skipped
    # Once nothing can start anywhere the event is over: what it would still hold lapses with it.
    startable = _Startable(wants, places, now)
    open_set = {spot for spot, place in enumerate(places) if place.name in startable.names}

    def run(entries: list[Want]) -> None:
        # Placing changes slots only on its machine, and mostly for the worse. So the best of all slots is the top
        # of a heap, once its machine is found unchanged since the slot was computed.
        heap: list[tuple[_Slot, int, int, int]] = []

        def offer(entry: int, spot: int) -> None:
            want, place = entries[entry], places[spot]
            if want.waiting > 0 and want.headroom > 0:
                slot = _slot(want, place, now, latest)
                if slot is not None:
                    heappush(heap, (slot, entry, spot, place.changes))

        if not startable.names:
            return
        # the other machines in the order in which the first task on each ends
        order = sorted((place.timeline.times[1], spot) for spot, place in enumerate(places)
                       if len(place.timeline.times) > 1)
        offered: dict[int, set[int]] = {}
        looked: dict[int, int] = {}  # entry -> how far into that order it has looked

        def look_later(entry: int) -> None:
            want, at = entries[entry], looked[entry]
            if at < len(order) and want.waiting > 0:
                start = max(want.not_before, order[at][0])
                if start <= latest:
                    finish = start + want.estimate
                    bound = (-_rate(want, finish, now), round(finish, 3), 3, 0.0, 0.0, "", start)
                    heappush(heap, (bound, entry, -1, 0))

        for entry, want in enumerate(entries):
            if want.gang:
                if want.headroom >= want.waiting:
                    for placement in _place_gang(want, places, now, latest) or ():
                        placements.append(placement)
                        want.waiting -= placement.tasks
                continue
            # Slots on other machines are computed a few at a time, once the want's best one may be among them: none
            # begins before the first task there ends.
            need = need_of(want.spec)
            offered[entry] = {spot for spot in open_set if times_fit(places[spot].timeline.free[0], need)
                              and allowed_on(want, places[spot])}
            looked[entry] = 0
            for spot in offered[entry]:
                offer(entry, spot)
            look_later(entry)
        while heap and startable.names:
            slot, entry, spot, changes = heappop(heap)
            if spot < 0:
                want, at = entries[entry], looked[entry]
                looked[entry] = at + LOOK
                for _, spot in order[at:at + LOOK]:
                    place = places[spot]
                    if (spot not in offered[entry] and allowed_on(want, place)
                            and (not place.changes or place.name in startable.names)):
                        offer(entry, spot)
                look_later(entry)
                continue
            want, place = entries[entry], places[spot]
            if changes != place.changes:
                if place.name in startable.names:
                    offer(entry, spot)
                continue
            finish, start = slot[1], slot[6]
            need = need_of(want.spec)
            tasks = min(want.waiting, want.headroom, want.zone_room(place.zone),
                        place.timeline.room(start, finish, need))
            if tasks < 1:
                continue
            if want.service:
                tasks = 1  # replicas are told apart by where they run
            place.timeline.take(start, math.inf if want.service else finish,
                                tuple(part * tasks for part in need))
            place.changes += 1
            starts = start <= now
            if starts and place.fetch_s(want.spec) > 0:
                place.images.add(want.spec.image)
                place.fetching += 1
            placements.append(Placement(want.job, place.name, tasks, start, finish, starts))
            want.waiting -= tasks
            want.headroom -= tasks
            want.zones[place.zone] = want.zones.get(place.zone, 0) + tasks
            # A busy machine, where nobody can start now, takes one place-holder in an event: who comes later finds
            # another, and what an event costs stays in proportion to the machines, however much is waiting.
            startable.look_again(place)
            if place.name in startable.names:
                offer(entry, spot)

    # Services go first; then standing reservations, the oldest soft deadline before the others; then the pick.
    run([want for want in wants if want.service])
    for want in sorted((w for w in wants if w.reserved and not w.service), key=lambda w: (w.value.soft, w.job)):
        run([want])
    run([want for want in wants if not want.service and not want.reserved])
    return placements


def is_reserved(value: Value, now: float) -> bool:
    """Past the soft deadline a task keeps a standing reservation, as long as it is worth anything."""
    return value.soft < now <= value.hard
