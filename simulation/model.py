"""Model checker for quotas: explores every interleaving of a small system.

The steps are claims, task ends, releases of unused quota, moves of shards, lost responses and delayed transactions. The
production code (`QuotaRebalancer`, `UsageIndex`) makes all changes of quota records; the model supplies the key-value
store, caches that may be stale, and shard holders that act on what they last read. The search is breadth-first, so a
reported violation has a shortest trace.
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
# Outcomes of a transaction: answered; processed, but the response is lost; delayed, and processed at any later time or
# never; not executed.
OUTCOMES = ("answered", "lost", "late", "refused")

Item = tuple[Any, int]  # value and version
Choose = Callable[[int], int]  # returns one of `range(options)`
Pending = tuple[tuple, tuple]  # conditions and writes


@dataclass(frozen=True)
class Size:
    zones: int = 2
    holders: int = 3
    jobs: int = 2  # per zone
    limit: float = 2.0
    moves: int = 1  # of shards to another holder
    late: int = 1  # delayed transactions at a time


@dataclass(frozen=True)
class State:
    """A state of the whole system; only the order of versions matters, see `Model.canonical`."""

    items: tuple[tuple[str, Any, int], ...]
    caches: tuple[tuple[tuple[str, Any, int], ...], ...]
    uncertain: tuple[bool, ...]
    pending: tuple[Pending, ...] = ()
    moved: int = 0


@dataclass
class Found:
    states: int = 0
    depth: int = 0
    complete: bool = True  # False: a bound was reached before all states were visited
    breach: str = ""
    way: list[str] = field(default_factory=list)


def _frozen(value: Any) -> Any:
    return tuple(sorted((zone, tuple(row)) for zone, row in value.items())) if isinstance(value, dict) else value


def _quota(value: Any) -> dict[str, list[float]]:
    return {zone: list(row) for zone, row in value}


class _Choices:
    """Replays the given choices and takes the first option of each later one; `alternatives` collects the others."""

    def __init__(self, made: list[int]) -> None:
        self.made = list(made)
        self.position = 0
        self.alternatives: list[list[int]] = []

    def __call__(self, options: int) -> int:
        if self.position == len(self.made):
            self.alternatives += [[*self.made, other] for other in range(1, options)]
            self.made.append(0)
        self.position += 1
        return self.made[self.position - 1]


class _Holder:
    """One shard holder, with the interfaces that the quota code uses: watch cache, usage index and held shards."""

    def __init__(self, model: Model, number: int, state: State, choose: Choose) -> None:
        self.model, self.number, self.choose = model, number, choose
        self.items = {key: (value, version) for key, value, version in state.items}
        self.cache = {key: (value, version) for key, value, version in state.caches[number]}
        self.pending = list(state.pending)
        self.client = SimpleNamespace(timeout=1.0)
        settings = SimpleNamespace(teams={TEAM: model.team}, zones=model.zones)
        self.rebalancer = QuotaRebalancer(settings, self, self, SimpleNamespace(supports_pipelines=True), self.held)
        if state.uncertain[number]:
            self.rebalancer.mark_uncertain({TEAM})

    # Usage index

    def _usage(self) -> UsageIndex:
        usage = UsageIndex()
        for key, (value, version) in self.cache.items():
            if key == QUOTA_PREFIX + TEAM:
                usage.on_change(key, _quota(value), version)
            elif key.startswith("job/"):
                usage.count_allocated(SimpleNamespace(team=TEAM, cpus=1.0, gpus=0.0), key.split("/")[1], value)
        return usage

    def used(self, team: str, zones: Any = None) -> tuple[float, float]:
        cpus, gpus = self._usage().used(team, zones)
        # Injected fault: a task about to end counts as free before its end is recorded.
        return (max(0.0, cpus - 1.0) if self.model.fault == "credit_first" else cpus), gpus

    def team(self, team: str, zones: Any = ()) -> Any:
        return self._usage().team(team, zones)

    def held(self) -> dict[str, tuple[str, int]]:
        shards = {zone: self.cache[f"block/{zone}"] for zone in self.model.zones}
        return {zone: (f"block/{zone}", version) for zone, (holder, version) in shards.items() if holder == self.number}

    # Watch cache

    def write(self, conditions: dict[str, int], writes: list, retry_for_s: float = 0.0) -> int:
        """Act as `WatchCache.write`, with every outcome that a request to the key-value store may have."""
        fault = self.model.fault
        if fault == "no_fence":
            conditions = {key: version for key, version in conditions.items() if not key.startswith("block/")}
        if fault == "no_compare" and all(key != QUOTA_PREFIX + TEAM for key, _, _ in writes):
            conditions = {key: version for key, version in conditions.items() if key != QUOTA_PREFIX + TEAM}
        transaction = (tuple(sorted(conditions.items())), tuple((key, _frozen(value)) for key, value, _ in writes))
        late = len(self.pending) < self.model.size.late
        outcome = OUTCOMES[self.choose(4)]
        if outcome == "refused" or (outcome == "late" and not late):
            raise NotExecutedError("refused")
        if outcome == "late":
            self.pending.append(transaction)
            raise OutcomeUnknownError("no response, not executed yet")
        applied = apply(self.items, transaction)
        if outcome == "lost":
            raise OutcomeUnknownError("no response")
        if not applied:
            raise ConflictError([key for key, version in transaction[0] if self.items[key][1] != version])
        self.cache.update((key, self.items[key]) for key, _ in transaction[1])
        return 0

    def barrier(self, timeout: float, kind: str) -> bool:
        if self.choose(2):
            return False
        self.cache = dict(self.items)
        return True

    def get(self, key: str) -> Item:
        return self.cache.get(key, (None, 0))

    # Steps of a holder

    def claim(self, zone: str, key: str) -> None:
        if self.model.fault != "no_doubts":
            self.rebalancer.settle_uncertain_writes(0.0)
        held = self.held()
        if zone not in held:
            return
        value, version = self.cache[key]
        usage = self.team(TEAM, held)
        if not self.model.team.allows(usage.cpus + 1.0, usage.gpus):
            return
        made = self.rebalancer.change_for_allocation(
            TEAM, usage.zone_quotas, already_added={}, already_written=None, added={zone: (1.0, 0.0)}, held_zones=held
        )
        if made is None:
            return
        try:
            self.write({key: version, **made.conditions, **dict([held[zone]])}, [(key, value + 1, None), *made.writes])
        except OutcomeUnknownError:
            self.rebalancer.mark_uncertain({TEAM})

    def end(self, zone: str, key: str) -> None:
        held = self.held()
        value, version = self.cache[key]
        if zone in held and value:
            self.write({key: version, **dict([held[zone]])}, [(key, value - 1, None)])

    def release_unused_quota(self) -> None:
        self.rebalancer.release_unused(TEAM)


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

    def initial_state(self) -> State:
        items = {QUOTA_PREFIX + TEAM: (_frozen({zone: [0.0, 0.0] for zone in self.zones}), 1)}
        items.update((key, (0, 1)) for _, key in self.jobs)
        items.update((f"block/{zone}", (number % self.size.holders, 1)) for number, zone in enumerate(self.zones))
        rows = self._rows(items)
        return State(rows, (rows,) * self.size.holders, (False,) * self.size.holders)

    @staticmethod
    def _rows(items: dict[str, Item]) -> tuple[tuple[str, Any, int], ...]:
        return tuple((key, value, version) for key, (value, version) in sorted(items.items()))

    def moves(self, state: State) -> Iterator[tuple[str, Callable[[Choose], tuple[str, State]]]]:
        """Yield the possible next steps; each is run with a function that chooses among its outcomes."""
        for number in range(self.size.holders):
            believed = {key for key, value, _ in state.caches[number] if key.startswith("block/") and value == number}
            for zone, key in self.jobs:
                if f"block/{zone}" in believed:
                    yield self._act(state, number, f"claims {key}", lambda h, z=zone, k=key: h.claim(z, k))
                    yield self._act(state, number, f"records an end of {key}", lambda h, z=zone, k=key: h.end(z, k))
            if believed:
                yield self._act(state, number, "releases unused quota", _Holder.release_unused_quota)
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
            caches, uncertain = list(state.caches), list(state.uncertain)
            caches[number], uncertain[number] = self._rows(holder.cache), bool(holder.rebalancer._uncertain_teams)
            return text, self.canonical(
                State(self._rows(holder.items), tuple(caches), tuple(uncertain), tuple(holder.pending), state.moved)
            )

        return what, run

    def _late(self, state: State, transaction: Pending, rest: tuple[Pending, ...]) -> tuple[str, State]:
        items = {key: (value, version) for key, value, version in state.items}
        done = apply(items, transaction)
        return f"a delayed transaction arrives, {'executed' if done else 'refused'}", self.canonical(
            replace(state, items=self._rows(items), pending=rest)
        )

    def _move(self, state: State, zone: str, number: int) -> tuple[str, State]:
        items = {key: (value, version) for key, value, version in state.items}
        apply(items, ((), ((f"block/{zone}", number),)))
        return f"shard {zone} moves to holder {number}", self.canonical(
            replace(state, items=self._rows(items), moved=state.moved + 1)
        )

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield every next state with a description of the step that leads to it."""
        for _, run in self.moves(state):
            left: list[list[int]] = [[]]
            while left:
                choose = _Choices(left.pop())
                yield run(choose)
                left += choose.alternatives

    def breach(self, state: State) -> str:
        """Check the invariant: claims in a zone are within its quota, and the quotas add up to at most the limit."""
        values = {key: value for key, value, _ in state.items}
        quotas = _quota(values[QUOTA_PREFIX + TEAM])
        used = {zone: sum(values[key] for where, key in self.jobs if where == zone) for zone in self.zones}
        if sum(used.values()) > self.size.limit + 1e-6:
            return f"{sum(used.values())} in use of {self.size.limit}"
        if sum(row[0] for row in quotas.values()) > self.size.limit + 1e-6:
            return f"zone quotas {quotas} of {self.size.limit}"
        over = [zone for zone in self.zones if used[zone] > quotas[zone][0] + 1e-6]
        return f"{used} in use with zone quotas {quotas}" if over else ""

    @staticmethod
    def canonical(state: State) -> State:
        """Renumber versions by rank, so that states that differ only in version numbers are equal."""
        versions = {version for rows in (state.items, *state.caches) for _, _, version in rows}
        versions |= {version for conditions, _ in state.pending for _, version in conditions}
        rank = {version: number for number, version in enumerate(sorted(versions), 1)}

        def rows(old: tuple) -> tuple:
            return tuple((key, value, rank[version]) for key, value, version in old)

        pending = tuple(
            (tuple((key, rank[version]) for key, version in conditions), writes) for conditions, writes in state.pending
        )
        return State(rows(state.items), tuple(map(rows, state.caches)), state.uncertain, pending, state.moved)


def explore(
    size: Size,
    fault: str = "none",
    most: int = 10_000,
    depth: int = 1000,
    progress: Callable[[int, int], None] = lambda states, depth: None,
) -> Found:
    """Visit at most `most` states within `depth` steps; stop at the first violation."""
    model, found = Model(size, fault), Found()
    begin = model.canonical(model.initial_state())
    predecessors: dict[State, tuple[State | None, str]] = {begin: (None, "")}
    left = deque([(begin, 0)])
    while left:
        state, at = left.popleft()
        found.states, found.depth = found.states + 1, at
        progress(found.states, at)
        if at == depth:
            found.complete = False
            continue
        for text, after in model.successors(state):
            if after in predecessors:
                continue
            predecessors[after] = (state, text)
            found.breach = model.breach(after)
            if found.breach:
                step: State | None = after
                while step is not None:
                    step, text = predecessors[step]
                    found.way.insert(0, text)
                found.way, found.depth = found.way[1:], at + 1
                return found
            if len(predecessors) < most:
                left.append((after, at + 1))
            else:
                found.complete = False
    return found


def walk(size: Size, pick: Choose, steps: int, fault: str = "none") -> tuple[str, list[str]]:
    """Follow one trace, chosen by `pick`, through a model too large to explore; return (violation or "", trace)."""
    model = Model(size, fault)
    state, way = model.canonical(model.initial_state()), []
    for _ in range(steps):
        moves = list(model.moves(state))
        text, state = moves[pick(len(moves))][1](pick)
        way.append(text)
        breach = model.breach(state)
        if breach:
            return breach, way
    return "", way
