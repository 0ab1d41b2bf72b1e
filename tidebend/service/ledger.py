"""Conditional writes of job records, together with their teams' records: several jobs in one transaction."""

from __future__ import annotations

import contextlib
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from tidebend.bookkeeping.book import JobBook, pack_final
from tidebend.bookkeeping.jobs import HEAD, Job
from tidebend.bookkeeping.parts import PART, Parts, part_size
from tidebend.bookkeeping.teams import QUOTA, SPENT, TEAM, Amounts, Shares, Usage
from tidebend.coordination.formats import FORMAT, Formats
from tidebend.protocol import Write
from tidebend.settings import Limits, Settings, Team
from tidebend.storage import FINAL, Conflict, Mirror, NoSuchLease, Refused, StateClient, Unavailable, Unknown

log = logging.getLogger("ledger")

# a transaction's bytes stay this far below the protocol's 64 KiB: keys, conditions and punctuation come on top
MOST_BYTES = 48 * 1024
# claims leave the rest of a record to what the numbers of done tasks may need while the claims end one by one
CLAIMS_SHARE = 0.75
# of what is free of a team's limit, the zones together take this share ahead of need
AHEAD = 0.5


def packed_bytes(value: Any) -> int:
    return len(json.dumps(value, separators=(",", ":")))


@dataclass
class Edit:
    """What is to become of one job; `make` gets the job and its team's usage, None: nothing to write."""

    job: str
    make: Callable[[Job, Usage], Job | None]
    conditions: dict[str, int] = field(default_factory=dict)


@dataclass
class _Draft:
    """What an edit comes to."""

    job: Job  # as it will be
    checks: dict[str, int]
    writes: list[Write]
    usage: Usage  # the team's, as it will be
    bytes: int = 0


class _TooLarge(Exception):
    """The record can't hold it; it has to be split first, if it can be."""


@dataclass
class _Batch:
    checks: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Write] = field(default_factory=dict)
    teams: dict[str, Usage] = field(default_factory=dict)
    added: dict[tuple[str, str], Amounts] = field(default_factory=dict)  # team and zone -> more claimed than ended
    jobs: dict[str, Job] = field(default_factory=dict)
    edits: list[Edit] = field(default_factory=list)
    bytes: int = 0


def _added(before: Job, after: Job) -> dict[str, Amounts]:
    """What a change claims more than it ends, by zone."""
    tasks: dict[str, int] = {}
    for job, sign in ((before, -1), (after, 1)):
        for zone, count in job.per_zone().items():
            tasks[zone] = tasks.get(zone, 0) + sign * count
    return {zone: (count * after.spec.cpus, count * after.spec.gpus) for zone, count in tasks.items() if count}


def _within(need: Amounts, share: Amounts, limit: Team) -> bool:
    return (limit.cpus_max is None or need[0] <= share[0] + 1e-6) and (
        limit.gpus_max is None or need[1] <= share[1] + 1e-6)


def _part_key(job: str, number: int) -> str:
    return f"{PART}{job}/{number}"


class Ledger:
    def __init__(self, settings: Settings, state: StateClient, mirror: Mirror, book: JobBook, formats: Formats,
                 held: Callable[[], dict[str, tuple[str, int]]]) -> None:
        self.settings = settings
        self.held = held  # the zones whose blocks are ours, with the conditions that they still are
        self._doubtful: dict[str, object] = {}  # teams with claims that may be executed yet -> the last of them
        self.state = state
        self.mirror = mirror
        self.book = book
        self.formats = formats
        self.keep_within(settings.state_limits)

    def keep_within(self, limits: Limits) -> None:
        self.value_bytes = limits.value_bytes
        # The end of a job alone may need four (its record, its last part's, its final one, its team's), without parts
        # three; a transaction must fit our budget.
        self.most_writes = max(min(4, limits.txn_ops), min(limits.txn_ops, int(0.5 * self.state.writes_per_s)))
        self.most_checks = 4 * limits.txn_ops

    # Sizes

    def can_be_split(self, job: Job) -> bool:
        """Whether a record may become a head with parts; a gang, which starts whole, only if it must."""
        return self.formats.pipelines and job.parts is None and job.spec.tasks > (
            part_size(self.value_bytes) if job.spec.kind == "gang" else 1)

    def fits(self, job: Job, before: Job | None = None) -> bool:
        """Whether records with these claims leave room for what is still to come; `before`: what it was made from."""
        if job.parts and before is not None:
            sizes = [packed_bytes(job.part_of(number, before).pack(number * job.parts.size))
                     for number in job.touched(before)]
            return max(sizes, default=0) <= CLAIMS_SHARE * self.value_bytes
        return self.can_be_split(job) or packed_bytes(job.pack()) <= CLAIMS_SHARE * self.value_bytes

    def new_job(self, job: Job) -> Job:
        """A job in the shape in which it will be kept."""
        size = part_size(self.value_bytes)
        return replace(job, parts=Parts(size)) if self.formats.pipelines and job.spec.tasks > size else job

    def never_fits(self, job: Job) -> str | None:
        """Why a job can't be kept or started with records as large as they may be, if it can't."""
        if packed_bytes(job.pack()) > 0.5 * self.value_bytes:
            return "its description is too long for a record"
        if job.parts:
            parts = -(-job.spec.tasks // job.parts.size)
            # a gang's start writes all its parts, the head and the team's record; a service's compares all parts
            if job.spec.kind == "gang" and parts > self.most_writes - 2:
                return "more tasks than can be started at once"
            if job.spec.kind == "service" and parts > self.most_checks - 4:
                return "more replicas than can be kept"
        return None

    # Changes

    def change(self, name: str, make: Callable[[Job, Usage], Job | None], conditions: dict[str, int],
               patience: float = 1.0) -> Job | None:
        """One job's edit; None if there was nothing to write, or a condition failed."""
        return self.change_all([Edit(name, make, conditions)], patience).get(name)

    def change_all(self, edits: list[Edit], patience: float = 1.0, tries: int = 4) -> dict[str, Job]:
        """Write what the edits make of their jobs if nothing that they were made from has changed.

        A team's record moves by just what its jobs' claims add, in the same transaction. Raises Unavailable or
        Unknown; after Unknown the cache has been brought up to a later read, or that has failed too.
        """
        if self._doubtful:
            self._settle_doubts(patience)
        changed: dict[str, Job] = {}
        left = list(edits)
        large: list[Edit] = []
        most = self.most_writes
        while left and tries:
            batch, left = self._gather(left, most, large)
            if not batch.writes:
                continue
            writes = list(batch.writes.values())
            try:
                revision = self.state.transact(batch.checks, writes, "claim", patience)
            except Conflict as conflict:
                log.debug("conflict over %s", conflict)
                tries -= 1
                failed = set(conflict.keys)
                # a failed condition of the caller's own can't be mended here; what else failed is made anew, after
                # a read, in smaller transactions that have less to collide with
                left = [edit for edit in batch.edits if not failed & set(edit.conditions)] + left
                most = max(3, most // 2)
                if left and not self.mirror.barrier(self.state.timeout, "claim"):
                    raise Unavailable("no read after a conflict") from conflict
                continue
            except Refused:
                # the state service takes less than we were told: one at a time; what is too large by itself must wait
                tries -= 1
                if len(batch.edits) > 1:
                    left = batch.edits + left
                    most = 1
                continue
            except Unknown:
                # may have happened, or may still: a read shows which, and a later arrival fails on its conditions
                self._doubtful.update((team, object()) for team, _ in batch.added)
                self.mirror.barrier(self.state.timeout, "claim")
                raise
            except NoSuchLease as error:
                raise Unavailable("no such lease") from error
            self.mirror.apply([(key, value, revision) for key, value, _ in writes])
            changed.update(batch.jobs)
        for edit in large:
            try:
                split = bool(tries) and self._split(edit.job, patience)
            except Refused:
                # guards the others' changes: a description that is itself too long, taken when records were larger
                log.error("job %s: not even its description fits a record now", edit.job)
                continue
            if split:
                changed.update(self.change_all([edit], patience, tries))
        return changed

    def _gather(self, edits: list[Edit], most: int, large: list[Edit]) -> tuple[_Batch, list[Edit]]:
        """As many edits as one transaction holds, and the rest."""
        batch = _Batch()
        zones = self.held()
        for number, edit in enumerate(edits):
            with self.book.lock:
                job = self.book.get(edit.job)
                if job is None or edit.job in batch.jobs:
                    continue
                team = job.spec.team
                usage = batch.teams.get(team) or self.book.team(team, zones)
            new = edit.make(job, usage)
            if new is None:
                continue
            try:
                draft = self._draft(job, new, usage)
            except _TooLarge:
                if self.can_be_split(job):
                    large.append(edit)
                else:
                    log.error("job %s: its record would be too long", edit.job)
                continue
            if draft is None:
                continue
            checks = {**draft.checks, **edit.conditions}
            writes = list(draft.writes)
            charged = draft.usage.charged != usage.charged
            added = _added(job, draft.job)
            if usage.shares:
                charged = False
                quota = self._share(team, usage.shares, batch, added, zones)
                if quota is None:
                    continue
                checks.update(quota[0])
                writes += quota[1]
            elif charged:
                checks[TEAM + team] = usage.version
                writes.append((TEAM + team, draft.usage.pack(), None))
            if batch.writes and (len({*batch.writes, *(key for key, _, _ in writes)}) > most
                                 or len(batch.checks.keys() | checks.keys()) > self.most_checks
                                 or batch.bytes + draft.bytes > MOST_BYTES):
                return batch, edits[number:]
            batch.checks.update(checks)
            batch.writes.update((write[0], write) for write in writes)
            if charged or usage.shares:
                batch.teams[team] = draft.usage
            for zone, (cpus, gpus) in added.items():
                before = batch.added.get((team, zone), (0.0, 0.0))
                batch.added[team, zone] = (before[0] + cpus, before[1] + gpus)
            batch.jobs[edit.job] = draft.job
            batch.edits.append(edit)
            batch.bytes += draft.bytes
        return batch, []

    # Teams' shares of their limits in zones

    def _share(self, team: str, shares: Shares, batch: _Batch, added: dict[str, Amounts],
               held: dict[str, tuple[str, int]]) -> tuple[dict[str, int], list[Write]] | None:
        """The conditions and writes under which a team may claim more; None if it may not."""
        limit = self.settings.teams.get(team)
        grown = [zone for zone, (cpus, gpus) in added.items() if cpus > 0 or gpus > 0]
        if not grown or limit is None:
            return {}, []
        checks = {QUOTA + team: shares.version}
        written = batch.writes.get(QUOTA + team)
        zones = {zone: tuple(row) for zone, row in written[1].items()} if written else dict(shares.zones)
        needs = {}
        for zone in {*grown, *held}:
            used = self.book.used(team, (zone,))
            for cpus, gpus in (batch.added.get((team, zone), (0.0, 0.0)), added.get(zone, (0.0, 0.0))):
                used = (used[0] + cpus, used[1] + gpus)
            needs[zone] = used
        have = (0.0, 0.0)
        if all(_within(needs[zone], zones.get(zone, have), limit) for zone in grown):
            return checks, []
        # what lies unused in our own zones serves first, then what is free; a part of that is taken ahead
        zones.update(needs)
        total = Shares(0, zones).total()
        if not limit.allows(*total):
            return None
        ahead = AHEAD / max(1, len(self.settings.zones) * len(grown))
        for zone in grown:
            zones[zone] = tuple(need + ahead * max(0.0, (most or 0.0) - taken) for need, most, taken in zip(
                needs[zone], (limit.cpus_max, limit.gpus_max), total, strict=True))
        checks.update(dict(held.values()))
        return checks, [(QUOTA + team, Shares(0, zones).pack(), None)]

    def _settle_doubts(self, patience: float) -> None:
        """A claim without an answer may be executed late, and only its team's shares bound what it takes.

        Writing them anew ends that: it was conditional on the shares as they were. What happened before is read.
        """
        doubts = dict(self._doubtful)
        for team in sorted(doubts):
            shares = self.book.team(team).shares
            if shares:
                with contextlib.suppress(Conflict):  # they have been written since: just as well
                    self._step({QUOTA + team: shares.version}, [(QUOTA + team, shares.pack(), None)], patience)
        if not self.mirror.barrier(self.state.timeout, "claim"):
            raise Unavailable("no read after a claim without an answer")
        for team, claim in doubts.items():
            if self._doubtful.get(team) is claim:  # else there has been another meanwhile
                del self._doubtful[team]

    def share_out(self) -> None:
        """Give limited teams shares instead of a common record, from what they use: once, when all can read them."""
        if not self.formats.pipelines:
            return
        for team in self.settings.teams.values():
            if (team.cpus_max is None and team.gpus_max is None) or self.book.has_shares(team.name):
                continue
            with self.book.lock:
                usage = self.book.team(team.name)
                used = {zone: self.book.used(team.name, (zone,)) for zone in self.settings.zones}
            self._step({TEAM + team.name: usage.version, QUOTA + team.name: 0, FORMAT: self.mirror.get(FORMAT)[1]},
                       [(TEAM + team.name, SPENT, None), (QUOTA + team.name, Shares(0, used).pack(), None)], 0.5)
            log.info("team %s has shares of its limit in each zone from now on", team.name)

    def give_back(self, team: str) -> bool:
        """Lower a team's shares in our zones to what is used there; True if that gave others more room."""
        held = self.held()
        shares = self.book.team(team).shares
        if shares is None or team in self._doubtful:
            return False
        zones = dict(shares.zones)
        for zone in held:
            if zone in zones:
                zones[zone] = self.book.used(team, (zone,))
        lower = Shares(0, zones)
        if lower.total() >= shares.total():
            return False
        self._step({QUOTA + team: shares.version, **dict(held.values())}, [(QUOTA + team, lower.pack(), None)], 0.5)
        return True

    def _draft(self, job: Job, new: Job, usage: Usage) -> _Draft | None:
        """The writes that make one job of another, but for its team's record; None if there is nothing to write."""
        if not new.claims and (new.cancelled or new.complete):
            return self._over(job, new, usage)
        if new == job:
            return None
        if job.parts:
            return self._in_parts(job, new, usage)
        value = new.pack()
        size = packed_bytes(value)
        grows = new.running > job.running
        if size > self.value_bytes or (grows and self.can_be_split(job) and size > CLAIMS_SHARE * self.value_bytes):
            raise _TooLarge
        writes: list[Write] = [(new.key, value, None)]
        return _Draft(new, {job.key: job.version}, writes, usage.plus(new.spec, new.charged - job.charged), size)

    def _over(self, job: Job, new: Job, usage: Usage) -> _Draft | None:
        """The last transaction of a job that is done or cancelled. Told to be cancelled, it stays so."""
        known = self._part_versions(job)
        if job.parts and job.parts.unknown:
            return None
        room = self.most_writes - 3
        if len(known) > max(0, room):
            return self._closed(job, new, list(known)[:self.most_writes - 1], usage)
        parts = [_part_key(job.id, number) for number in known]
        final = pack_final("cancelled" if new.cancelled else "done", time.time(), not self.formats.pipelines)
        writes: list[Write] = [(job.key, None, None), (FINAL + job.id, final, None)]
        writes += [(key, None, None) for key in parts]
        return _Draft(new, {job.key: job.version, **dict(zip(parts, known.values(), strict=True))}, writes,
                      usage.without(job.spec, job.charged))

    def _closed(self, job: Job, new: Job, numbers: list[int], usage: Usage) -> _Draft:
        """Parts of a job that is over are deleted ahead of it: they are more than one transaction takes."""
        known = self._part_versions(job)
        checks = {job.key: job.version, **{_part_key(job.id, number): known[number] for number in numbers}}
        writes: list[Write] = [(_part_key(job.id, number), None, None) for number in numbers]
        if job.parts:
            # what ends with this edit counts as ended, or the team's record would keep it for ever
            rows = tuple((number, new.part_of(number, job) if number in numbers else part)
                         for number, part in job.parts.rows)
            job = replace(job, cancelled=new.cancelled, parts=replace(job.parts, rows=rows)).without_parts(
                [number for number in numbers if job.parts.opened >> number & 1])
            writes.append((job.key, job.pack(), None))
        return _Draft(job, checks, writes, usage)

    def _part_versions(self, job: Job) -> dict[int, int]:
        """The versions of a job's parts, and of abandoned ones that nothing refers to.

        Guards against lost updates: an open part's version is the one from which this very job was read, not one that
        the watch has brought since. (That a part is still not open is for the head's version to say.)
        """
        known = self.book.part_versions(job.id)
        known.update((number, part.version) for number, part in (job.parts.rows if job.parts else ()))
        return known

    def _in_parts(self, job: Job, new: Job, usage: Usage) -> _Draft | None:
        """Of a change over many parts, the first few are written; the others are made again at the next event."""
        parts = job.parts
        assert parts is not None
        known = self._part_versions(job)
        numbers = new.touched(job)
        whole = job.spec.kind == "gang" and new.running > job.running
        if not whole:
            numbers = numbers[:max(1, self.most_writes - 2)]  # the head's record and the team's come on top
        rows = dict(parts.rows)
        checks = {job.key: job.version}
        writes: list[Write] = []
        over = []
        size = 0
        for number in numbers:
            key = _part_key(job.id, number)
            checks[key] = known.get(number, 0)
            part = new.part_of(number, job)
            if new.is_over(number, part):
                over.append(number)
                if number in known:
                    writes.append((key, None, None))
            else:
                value = part.pack(number * parts.size)
                bytes_ = packed_bytes(value)
                if bytes_ > self.value_bytes:
                    log.error("job %s: a part's record would be too long", job.id)
                    return None
                size += bytes_
                writes.append((key, value, None))
            rows[number] = part
        opened = parts.opened | sum(1 << number for number in numbers)
        head = replace(new, parts=replace(parts, opened=opened, rows=tuple(sorted(rows.items()))))
        if over:
            head = head.without_parts(over)
        assert head.parts is not None
        if head.pack() != job.pack():
            writes.append((head.key, head.pack(), None))
            size += packed_bytes(head.pack())
        if job.spec.kind != "array":
            # the rules over the whole job were checked against all its parts
            checks.update((_part_key(job.id, number), part.version) for number, part in parts.rows)
        head = head.assembled(dict(head.parts.rows))
        if not writes or len(writes) + 1 > max(self.most_writes, 4) or len(checks) + 3 > self.most_checks:
            return None
        return _Draft(head, checks, writes, usage.plus(head.spec, head.charged - job.charged), size)

    def _split(self, name: str, patience: float) -> bool:
        """Move a job from one record to a head with parts: the parts first, to which nothing refers yet, then the head.

        Each step is conditional on the record that is split, and each part says from which version of it it was
        made: so the steps may be interrupted anywhere, and be made by several controllers. Records as the version
        before pipelines wrote them come here once what is to be written no longer fits, and not before.
        """
        with self.book.lock:
            job = self.book.get(name)
            if job is None or job.parts:
                return job is not None
            sources = self.book.part_sources(name)
        size = min(part_size(self.value_bytes), job.spec.tasks)
        while True:
            whole = replace(job, parts=Parts(size, ended=job.ended, started=job.started))
            parts = whole.parts
            assert parts is not None
            rows, closed = {}, 0
            for number in parts.numbers(whole.done | whole.claimed):
                part = replace(whole.part_of(number, job), source=job.version, started=job.started)
                if whole.is_over(number, part):
                    closed |= 1 << number
                else:
                    rows[number] = part
            largest = max((packed_bytes(part.pack(number * size)) for number, part in rows.items()), default=0)
            if size == 1 or largest <= CLAIMS_SHARE * self.value_bytes:
                break
            size = max(1, size // 2)
        opened = sum(1 << number for number in rows)
        head = replace(whole, parts=replace(parts, opened=opened, closed=0 if job.cancelled else closed))
        writes: list[Write] = [(_part_key(name, number), part.pack(number * parts.size), None)
                               for number, part in rows.items() if sources.get(number) != job.version]
        try:
            while writes:
                self._step({job.key: job.version}, writes[:self.most_writes], patience)
                writes = writes[self.most_writes:]
            moved: list[Write] = [(job.key, None, None)] if job.key != head.key else []
            self._step({job.key: job.version, FORMAT: self.mirror.get(FORMAT)[1], **(
                {head.key: 0} if moved else {})}, [*moved, (HEAD + name, head.pack(), None)], patience)
        except Conflict:
            self.mirror.barrier(self.state.timeout, "claim")
            return False
        log.info("job %s is kept in %d parts from now on", name, len(rows) + closed.bit_count())
        return True

    def _step(self, checks: dict[str, int], writes: list[Write], patience: float) -> None:
        revision = self.state.transact(checks, writes, "claim", patience)
        self.mirror.apply([(key, value, revision) for key, value, _ in writes])
