"""Maximum value per resource with place-holders (Khemka et al.): pure functions of a snapshot and a clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import count

from tidebend.protocol import PRIORITIES, JobSpec, MachineType

# Priority sets the starting value (DESIGN); each step is worth ten of the one below.
START_VALUE = {name: 10.0**step for step, name in enumerate(PRIORITIES)}
# value left at the hard deadline, as a share of the starting value: the middle of the paper's U(0.01, 0.8)
FINAL_SHARE = 0.4
# what lies within its team's guarantee is worth this many times what is borrowed
GUARANTEE_WORTH = 2.0
EPSILON = 1e-6


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


def value_of(spec: JobSpec, submitted: float, estimate: float, within_guarantee: bool = False) -> Value:
    """Soft deadline: the job's own, else one estimate after it came; the hard one is an estimate later."""
    start = START_VALUE[spec.priority] * (GUARANTEE_WORTH if within_guarantee else 1.0)
    soft = submitted + (spec.deadline_s if spec.deadline_s is not None else estimate)
    return Value(start, start * FINAL_SHARE, soft, soft + max(estimate, EPSILON))


Amount = tuple[float, float, float]  # CPUs, GPUs, memory


def need_of(spec: JobSpec) -> Amount:
    return (spec.cpus, spec.gpus, spec.memory_gb)


def times_fit(free: Amount, need: Amount) -> int:
    """How many tasks of that size fit."""
    most = math.inf
    for have, want in zip(free, need, strict=True):
        if want > EPSILON:
            most = min(most, (have + EPSILON) // want)
    return 1_000_000 if most == math.inf else max(0, int(most))


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

    def room(self, start: float, end: float, need: Amount) -> int:
        """How many tasks fit from start to end."""
        most = 1_000_000
        times = self.times
        for index, begin in enumerate(times):
            if begin >= end:
                break
            if index + 1 < len(times) and times[index + 1] <= start:
                continue
            most = min(most, times_fit(self.free[index], need))
            if not most:
                break
        return most

    def earliest(self, after: float, length: float, need: Amount, latest: float) -> float | None:
        """The first start at which a task fits without disturbing what is placed."""
        for index, begin in enumerate(self.times):
            start = max(begin, after)
            if start > latest:
                return None
            if index + 1 < len(self.times) and self.times[index + 1] <= start:
                continue
            if times_fit(self.free[index], need) and self.room(start, start + length, need):
                return start
        return None

    def gap(self, start: float, end: float, need: Amount) -> tuple[int, float]:
        """The change in the number of idle gaps that a task from start to end makes, and its gap's length."""
        first = last = None
        for index, begin in enumerate(self.times):
            stop = self.times[index + 1] if index + 1 < len(self.times) else math.inf
            if times_fit(self.free[index], need):
                if first is None or last is None or last < begin:
                    first = begin
                last = stop
            elif last is not None and last > start:
                break
        if first is None or last is None:
            return 1, math.inf
        return (start > first) + (end < last) - 1, last - first


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

    def fetch_s(self, spec: JobSpec) -> float:
        if spec.image in self.images or spec.image_gb <= 0:
            return 0.0
        return spec.image_gb / max(self.type.fetch_gb_per_s, EPSILON) * (1 + self.fetching)

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


@dataclass(slots=True)
class _Slot:
    rate: float
    finish: float
    gaps: int
    gap: float
    left: float
    start: float
    place: Place

    def key(self) -> tuple:
        # best value per resource; then earliest finish, fewest added gaps, smallest gap, tightest fit
        return (-self.rate, round(self.finish, 3), self.gaps, self.gap, self.left, self.place.name)


def share_of(spec: JobSpec, kind: MachineType) -> float:
    shares = [need / have for need, have in zip(need_of(spec), (kind.cpus, kind.gpus, kind.memory_gb), strict=True)
              if have > 0]
    return max([EPSILON, *shares])


def _slot(want: Want, place: Place, now: float, latest: float) -> _Slot | None:
    if not place.allowed(want.spec) or want.zone_room(place.zone) < 1:
        return None
    length = place.fetch_s(want.spec) + want.estimate
    need = need_of(want.spec)
    start = place.timeline.earliest(max(now, want.not_before), length, need, latest)
    if start is None:
        return None
    finish = start + length
    if finish > place.until and not want.service:
        return None
    if want.service and place.until < math.inf:
        return None
    worth = want.value.start if want.service else want.value.at(finish)
    gaps, gap = place.timeline.gap(start, finish, need)
    free = place.timeline.free[0]
    left = free[0] / max(place.type.cpus, EPSILON) + free[2] / max(place.type.memory_gb, EPSILON)
    return _Slot(worth / max(want.estimate * share_of(want.spec, place.type), EPSILON), finish, gaps, gap, left,
                 start, place)


def best_slot(want: Want, places: list[Place], now: float, latest: float) -> _Slot | None:
    best = None
    for place in places:
        slot = _slot(want, place, now, latest)
        if slot is not None and (best is None or slot.key() < best.key()):
            best = slot
    return best


def _place_gang(want: Want, places: list[Place], now: float, latest: float) -> list[Placement] | None:
    """Places for all tasks at one time, the earliest there is; nothing if the whole gang doesn't fit."""
    need = need_of(want.spec)
    usable = [place for place in places if place.allowed(want.spec) and place.until == math.inf]
    starts = sorted({max(now, time) for place in usable for time in place.timeline.times if time <= latest} | {now})
    groups: list[list[Place]] = [usable]
    if want.spec.one_zone:
        groups = [[place for place in usable if place.zone == zone] for zone in sorted({p.zone for p in usable})]
    for start in starts:
        for group in groups:
            found: list[tuple[Place, int, float]] = []
            missing = want.waiting
            zones = dict(want.zones)
            for place in sorted(group, key=lambda p: (p.fetch_s(want.spec), p.name)):
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


def map_tasks(wants: list[Want], places: list[Place], now: float, horizon: float,
              most: int = 2000) -> list[Placement]:
    """One mapping event. The place-holders in the result guard their slots within it, and lapse with it."""
    placements: list[Placement] = []
    latest = now + horizon
    turns = count()

    def run(entries: list[Want]) -> None:
        # Only placing on a machine changes slots, and only for the worse: a best slot elsewhere stays the best.
        slots: dict[int, tuple[Want, _Slot]] = {}
        for want in entries:
            if want.waiting < 1 or want.headroom < 1:
                continue  # teams at their limit are skipped
            if want.gang:
                if want.headroom >= want.waiting:
                    placements.extend(_place_gang(want, places, now, latest) or ())
                continue
            slot = best_slot(want, places, now, latest)
            if slot is not None:
                slots[next(turns)] = (want, slot)
        while slots and len(placements) < most:
            number = min(slots, key=lambda n: slots[n][1].key())
            want, slot = slots[number]
            place, start = slot.place, slot.start
            need = need_of(want.spec)
            length = slot.finish - start
            tasks = min(want.waiting, want.headroom, want.zone_room(place.zone),
                        place.timeline.room(start, start + length, need))
            if want.service and want.spec.tasks > 1:
                tasks = min(tasks, 1)  # replicas are told apart by where they run
            if tasks > 0:
                place.timeline.take(start, math.inf if want.service else slot.finish,
                                    tuple(part * tasks for part in need))
                if start <= now and place.fetch_s(want.spec) > 0:
                    place.images.add(want.spec.image)
                    place.fetching += 1
                placements.append(Placement(want.job, place.name, tasks, start, slot.finish, start <= now))
                want.waiting -= tasks
                want.headroom -= tasks
                want.zones[place.zone] = want.zones.get(place.zone, 0) + tasks
            for other in [n for n, (_, s) in slots.items() if s.place is place or n == number]:
                entry = slots[other][0]
                again = None
                if entry.waiting > 0 and entry.headroom > 0 and (tasks > 0 or other != number):
                    again = best_slot(entry, places, now, latest)
                if again is None:
                    del slots[other]
                else:
                    slots[other] = (entry, again)

    # Services go first; then standing reservations, the oldest soft deadline before the others; then the pick.
    run([want for want in wants if want.service])
    for want in sorted((w for w in wants if w.reserved and not w.service), key=lambda w: (w.value.soft, w.job)):
        run([want])
    run([want for want in wants if not want.service and not want.reserved])
    return placements


def is_reserved(value: Value, now: float) -> bool:
    """Past the soft deadline a task keeps a standing reservation, as long as it is worth anything."""
    return value.soft < now <= value.hard
