"""Every order of claims, ends, returned shares, handed-over blocks, lost answers and late transactions, when small.

What changes records is the service's own code (`service.shares`, `tenancy`); around it stand a store, caches that may
be old, and holders that believe what they last read. Breadth first, so that a shortest way to a breach is shown.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

from tidebend.controller.quota.quota_rebalancing import QuotaRebalancer
from tidebend.kvclient import ConflictError, NotExecutedError, OutcomeUnknownError
from tidebend.quota import QUOTA_PREFIX, UsageIndex
from tidebend.settings import Team

TEAM = "t"
FAULTS = ("none", "no_fence", "no_compare", "no_doubts", "credit_first")
# what may become of a transaction: answered; executed or not, without an answer; or executed later, or never
OUTCOMES = ("answered", "lost", "late", "refused")

Item = tuple[Any, int]  # value and version
Choose = Callable[[int], int]  # one of so many
Pending = tuple[tuple, tuple]  # conditions and writes


@dataclass(frozen=True)
class Size:
    zones: int = 2
    holders: int = 3
    jobs: int = 2  # in each zone
    limit: float = 2.0
    moves: int = 1  # of blocks
    late: int = 1  # transactions under way at a time


@dataclass(frozen=True)
class State:
    """All that there is; versions count only by which of them are equal and which later."""

    items: tuple[tuple[str, Any, int], ...]
    caches: tuple[tuple[tuple[str, Any, int], ...], ...]
    doubts: tuple[bool, ...]
    pending: tuple[Pending, ...] = ()
    moved: int = 0


@dataclass
class Found:
    states: int = 0
    depth: int = 0
    complete: bool = True  # False: bounded before everything was seen
    breach: str = ""
    way: list[str] = field(default_factory=list)


def _frozen(value: Any) -> Any:
    return tuple(sorted((zone, tuple(row)) for zone, row in value.items())) if isinstance(value, dict) else value


def _quota(value: Any) -> dict[str, list[float]]:
    return {zone: list(row) for zone, row in value}


class _Choices:
    """Replays a run's choices and asks for the next one by trying the first; `rest` has the others."""

    def __init__(self, made: list[int]) -> None:
        self.made = list(made)
        self.at = 0
        self.rest: list[list[int]] = []

    def __call__(self, options: int) -> int:
        if self.at == len(self.made):
            self.rest += [[*self.made, other] for other in range(1, options)]
            self.made.append(0)
        self.at += 1
        return self.made[self.at - 1]


class _Holder:
    """One controller as the service's code sees it: mirror, book, and the zones that it believes are its own."""

    def __init__(self, model: Model, number: int, state: State, choose: Choose) -> None:
        self.model, self.number, self.choose = model, number, choose
        self.items = {key: (value, version) for key, value, version in state.items}
        self.cache = {key: (value, version) for key, value, version in state.caches[number]}
        self.pending = list(state.pending)
        self.client = SimpleNamespace(timeout=1.0)
        settings = SimpleNamespace(teams={TEAM: model.team}, zones=model.zones)
        self.shares = QuotaRebalancer(settings, self, self, SimpleNamespace(supports_pipelines=True), self.held)
        if state.doubts[number]:
            self.shares.mark_uncertain({TEAM})

    # the book

    def _accounts(self) -> UsageIndex:
        accounts = UsageIndex()
        for key, (value, version) in self.cache.items():
            if key == QUOTA_PREFIX + TEAM:
                accounts.on_change(key, _quota(value), version)
            elif key.startswith("job/"):
                accounts.count_allocated(SimpleNamespace(team=TEAM, cpus=1.0, gpus=0.0), key.split("/")[1], value)
        return accounts

    def used(self, team: str, zones: Any = None) -> tuple[float, float]:
        cpus, gpus = self._accounts().used(team, zones)
        # a planted fault: what is about to end counts as free before its end is recorded
        return (max(0.0, cpus - 1.0) if self.model.fault == "credit_first" else cpus), gpus

    def team(self, team: str, zones: Any = ()) -> Any:
        return self._accounts().team(team, zones)

    def held(self) -> dict[str, tuple[str, int]]:
        shards = {zone: self.cache[f"block/{zone}"] for zone in self.model.zones}
        return {zone: (f"block/{zone}", version) for zone, (holder, version) in shards.items() if holder == self.number}

    # the mirror

    def write(self, conditions: dict[str, int], writes: list, retry_for_s: float = 0.0) -> int:
        """As `WatchCache.write`, with each outcome that the state service may have."""
        fault = self.model.fault
        if fault == "no_fence":
            conditions = {key: version for key, version in conditions.items() if not key.startswith("block/")}
        if fault == "no_compare" and all(key != QUOTA_PREFIX + TEAM for key, _, _ in writes):
            conditions = {key: version for key, version in conditions.items() if key != QUOTA_PREFIX + TEAM}
        plain = (tuple(sorted(conditions.items())), tuple((key, _frozen(value)) for key, value, _ in writes))
        late = len(self.pending) < self.model.size.late
        outcome = OUTCOMES[self.choose(4)]
        if outcome == "refused" or (outcome == "late" and not late):
            raise NotExecutedError("refused")
        if outcome == "late":
            self.pending.append(plain)
            raise OutcomeUnknownError("no answer, and not executed yet")
        applied = apply(self.items, plain)
        if outcome == "lost":
            raise OutcomeUnknownError("no answer")
        if not applied:
            raise ConflictError([key for key, version in plain[0] if self.items[key][1] != version])
        self.cache.update((key, self.items[key]) for key, _ in plain[1])
        return 0

    def barrier(self, timeout: float, kind: str) -> bool:
        if self.choose(2):
            return False
        self.cache = dict(self.items)
        return True

    def get(self, key: str) -> Item:
        return self.cache.get(key, (None, 0))

    # what a holder does

    def claim(self, zone: str, key: str) -> None:
        if self.model.fault != "no_doubts":
            self.shares.settle_uncertain_writes(0.0)
        held = self.held()
        if zone not in held:
            return
        value, version = self.cache[key]
        usage = self.team(TEAM, held)
        if not self.model.team.allows(usage.cpus + 1.0, usage.gpus):
            return
        made = self.shares.change_for_allocation(
            TEAM, usage.zone_quotas, already_added={}, already_written=None, added={zone: (1.0, 0.0)}, held_zones=held
        )
        if made is None:
            return
        try:
            self.write({key: version, **made.conditions, **dict([held[zone]])}, [(key, value + 1, None), *made.writes])
        except OutcomeUnknownError:
            self.shares.mark_uncertain({TEAM})

    def end(self, zone: str, key: str) -> None:
        held = self.held()
        value, version = self.cache[key]
        if zone in held and value:
            self.write({key: version, **dict([held[zone]])}, [(key, value - 1, None)])

    def release_shares(self) -> None:
        self.shares.release_unused(TEAM)


def apply(items: dict[str, Item], transaction: Pending) -> bool:
    conditions, writes = transaction
    if any(items[key][1] != version for key, version in conditions):
        return False
    revision = max(version for _, version in items.values()) + 1
    items.update((key, (value, revision)) for key, value in writes)
    return True


class Model:
    def __init__(self, size: Size, fault: str = "none") -> None:
        self.size, self.fault = size, fault
        self.zones = [f"z{number}" for number in range(size.zones)]
        self.jobs = [(zone, f"job/{zone}/{number}") for zone in self.zones for number in range(size.jobs)]
        self.team = Team(TEAM, 0.0, 0.0, size.limit, None)

    def first(self) -> State:
        items = {QUOTA_PREFIX + TEAM: (_frozen({zone: [0.0, 0.0] for zone in self.zones}), 1)}
        items.update((key, (0, 1)) for _, key in self.jobs)
        items.update((f"block/{zone}", (number % self.size.holders, 1)) for number, zone in enumerate(self.zones))
        rows = self._rows(items)
        return State(rows, (rows,) * self.size.holders, (False,) * self.size.holders)

    @staticmethod
    def _rows(items: dict[str, Item]) -> tuple[tuple[str, Any, int], ...]:
        return tuple((key, value, version) for key, (value, version) in sorted(items.items()))

    def moves(self, state: State) -> Iterator[tuple[str, Callable[[Choose], tuple[str, State]]]]:
        """What may happen next; each is run with somebody who chooses among its outcomes."""
        for number in range(self.size.holders):
            believed = {key for key, value, _ in state.caches[number] if key.startswith("block/") and value == number}
            for zone, key in self.jobs:
                if f"block/{zone}" in believed:
                    yield self._act(state, number, f"claims {key}", lambda h, z=zone, k=key: h.claim(z, k))
                    yield self._act(state, number, f"records an end of {key}", lambda h, z=zone, k=key: h.end(z, k))
            if believed:
                yield self._act(state, number, "gives back", _Holder.release_shares)
            if state.caches[number] != state.items:
                yield self._act(state, number, "reads", lambda h: h.cache.update(h.items))
        for number, transaction in enumerate(state.pending):
            rest = state.pending[:number] + state.pending[number + 1 :]
            yield "late", lambda _, t=transaction, r=rest: self._late(state, t, r)
        if state.moved < self.size.moves:
            holders = {key: value for key, value, _ in state.items}
            for zone in self.zones:
                for number in range(self.size.holders):
                    if holders[f"block/{zone}"] != number:
                        yield "move", lambda _, z=zone, n=number: self._move(state, z, n)

    def _act(self, state: State, number: int, what: str, act: Callable[[_Holder], None]) -> tuple[str, Callable]:
        def run(choose: Choose) -> tuple[str, State]:
            holder, text = _Holder(self, number, state, choose), f"holder {number} {what}"
            try:
                act(holder)
            except (ConflictError, NotExecutedError, OutcomeUnknownError) as error:
                text += f" ({type(error).__name__}: {error})"
            caches, doubts = list(state.caches), list(state.doubts)
            caches[number], doubts[number] = self._rows(holder.cache), bool(holder.shares._uncertain_teams)
            return text, self.canonical(
                State(self._rows(holder.items), tuple(caches), tuple(doubts), tuple(holder.pending), state.moved)
            )

        return what, run

    def _late(self, state: State, transaction: Pending, rest: tuple[Pending, ...]) -> tuple[str, State]:
        items = {key: (value, version) for key, value, version in state.items}
        done = apply(items, transaction)
        return f"a transaction arrives late, {'executed' if done else 'refused'}", self.canonical(
            replace(state, items=self._rows(items), pending=rest)
        )

    def _move(self, state: State, zone: str, number: int) -> tuple[str, State]:
        items = {key: (value, version) for key, value, version in state.items}
        apply(items, ((), ((f"block/{zone}", number),)))
        return f"block {zone} goes to holder {number}", self.canonical(
            replace(state, items=self._rows(items), moved=state.moved + 1)
        )

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        """Every next state, with what leads to it."""
        for _, run in self.moves(state):
            left: list[list[int]] = [[]]
            while left:
                choose = _Choices(left.pop())
                yield run(choose)
                left += choose.rest

    def breach(self, state: State) -> str:
        """The invariant: claims in a zone lie within its share, and shares together within the limit."""
        values = {key: value for key, value, _ in state.items}
        shares = _quota(values[QUOTA_PREFIX + TEAM])
        used = {zone: sum(values[key] for where, key in self.jobs if where == zone) for zone in self.zones}
        if sum(used.values()) > self.size.limit + 1e-6:
            return f"{sum(used.values())} in use of {self.size.limit}"
        if sum(row[0] for row in shares.values()) > self.size.limit + 1e-6:
            return f"shares {shares} of {self.size.limit}"
        over = [zone for zone in self.zones if used[zone] > shares[zone][0] + 1e-6]
        return f"{used} in use with shares {shares}" if over else ""

    @staticmethod
    def canonical(state: State) -> State:
        """Equal but for the numbers of versions: only their order matters."""
        versions = {version for rows in (state.items, *state.caches) for _, _, version in rows}
        versions |= {version for conditions, _ in state.pending for _, version in conditions}
        rank = {version: number for number, version in enumerate(sorted(versions), 1)}

        def rows(old: tuple) -> tuple:
            return tuple((key, value, rank[version]) for key, value, version in old)

        pending = tuple(
            (tuple((key, rank[version]) for key, version in conditions), writes) for conditions, writes in state.pending
        )
        return State(rows(state.items), tuple(map(rows, state.caches)), state.doubts, pending, state.moved)


def explore(
    size: Size,
    fault: str = "none",
    most: int = 10_000,
    depth: int = 1000,
    progress: Callable[[int, int], None] = lambda states, depth: None,
) -> Found:
    """Visit at most `most` states, no deeper than `depth` steps; the first breach ends it."""
    model, found = Model(size, fault), Found()
    begin = model.canonical(model.first())
    came: dict[State, tuple[State | None, str]] = {begin: (None, "")}
    left = deque([(begin, 0)])
    while left:
        state, at = left.popleft()
        found.states, found.depth = found.states + 1, at
        progress(found.states, at)
        if at == depth:
            found.complete = False
            continue
        for text, after in model.after(state):
            if after in came:
                continue
            came[after] = (state, text)
            found.breach = model.breach(after)
            if found.breach:
                step: State | None = after
                while step is not None:
                    step, text = came[step]
                    found.way.insert(0, text)
                found.way, found.depth = found.way[1:], at + 1
                return found
            if len(came) < most:
                left.append((after, at + 1))
            else:
                found.complete = False
    return found


def walk(size: Size, pick: Choose, steps: int, fault: str = "none") -> tuple[str, list[str]]:
    """One way through a model too large to see whole, as `pick` chooses: the breach, if any, and the way to it."""
    model = Model(size, fault)
    state, way = model.canonical(model.first()), []
    for _ in range(steps):
        moves = list(model.moves(state))
        text, state = moves[pick(len(moves))][1](pick)
        way.append(text)
        breach = model.breach(state)
        if breach:
            return breach, way
    return "", way
