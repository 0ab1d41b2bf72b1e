"""The writes that make one job of another, with the conditions under which they hold."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, replace

from tidebend.cluster_state.job_cache import JobBook, pack_final
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import PART
from tidebend.controller.records.record_limits import CLAIMS_SHARE, Sizes, packed_bytes
from tidebend.coordination.schema_version import Formats
from tidebend.kvclient import FINAL
from tidebend.protocol import Write
from tidebend.quota import Usage

log = logging.getLogger("ledger")


@dataclass
class Draft:
    """What an edit comes to."""

    job: Job  # as it will be
    checks: dict[str, int]
    writes: list[Write]
    usage: Usage  # the team's, as it will be
    bytes: int = 0


class TooLarge(Exception):
    """The record can't hold it; it has to be split first, if it can be."""


def part_key(job: str, number: int) -> str:
    return f"{PART}{job}/{number}"


class Drafts:
    def __init__(self, book: JobBook, formats: Formats, sizes: Sizes) -> None:
        self.book = book
        self.formats = formats
        self.sizes = sizes

    def draft(self, job: Job, new: Job, usage: Usage) -> Draft | None:
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
        most = self.sizes.value_bytes
        if size > most or (grows and self.sizes.can_be_split(job) and size > CLAIMS_SHARE * most):
            raise TooLarge
        writes: list[Write] = [(new.key, value, None)]
        return Draft(new, {job.key: job.version}, writes, usage.plus(new.spec, new.charged - job.charged), size)

    def _over(self, job: Job, new: Job, usage: Usage) -> Draft | None:
        """The last transaction of a job that is done or cancelled. Told to be cancelled, it stays so."""
        known = self._part_versions(job)
        if job.parts and job.parts.unknown:
            return None
        room = self.sizes.most_writes - 3
        if len(known) > max(0, room):
            return self._closed(job, new, list(known)[: self.sizes.most_writes - 1], usage)
        parts = [part_key(job.id, number) for number in known]
        final = pack_final("cancelled" if new.cancelled else "done", time.time(), not self.formats.pipelines)
        writes: list[Write] = [(job.key, None, None), (FINAL + job.id, final, None)]
        writes += [(key, None, None) for key in parts]
        return Draft(
            new,
            {job.key: job.version, **dict(zip(parts, known.values(), strict=True))},
            writes,
            usage.without(job.spec, job.charged),
        )

    def _closed(self, job: Job, new: Job, numbers: list[int], usage: Usage) -> Draft:
        """Parts of a job that is over are deleted ahead of it: they are more than one transaction takes."""
        known = self._part_versions(job)
        checks = {job.key: job.version, **{part_key(job.id, number): known[number] for number in numbers}}
        writes: list[Write] = [(part_key(job.id, number), None, None) for number in numbers]
        if job.parts:
            # what ends with this edit counts as ended, or the team's record would keep it for ever
            rows = tuple(
                (number, new.part_of(number, job) if number in numbers else part) for number, part in job.parts.rows
            )
            job = replace(job, cancelled=new.cancelled, parts=replace(job.parts, rows=rows)).without_parts(
                [number for number in numbers if job.parts.opened >> number & 1]
            )
            writes.append((job.key, job.pack(), None))
        return Draft(job, checks, writes, usage)

    def _part_versions(self, job: Job) -> dict[int, int]:
        """The versions of a job's parts, and of abandoned ones that nothing refers to.

        Guards against lost updates: an open part's version is the one from which this very job was read, not one that
        the watch has brought since. (That a part is still not open is for the head's version to say.)
        """
        known = self.book.part_versions(job.id)
        known.update((number, part.version) for number, part in (job.parts.rows if job.parts else ()))
        return known

    def _in_parts(self, job: Job, new: Job, usage: Usage) -> Draft | None:
        """Of a change over many parts, the first few are written; the others are made again at the next event."""
        parts = job.parts
        assert parts is not None
        known = self._part_versions(job)
        numbers = new.touched(job)
        whole = job.spec.kind == "gang" and new.running > job.running
        if not whole:
            numbers = numbers[: max(1, self.sizes.most_writes - 2)]  # the head's record and the team's come on top
        rows = dict(parts.rows)
        checks = {job.key: job.version}
        writes: list[Write] = []
        over = []
        size = 0
        for number in numbers:
            key = part_key(job.id, number)
            checks[key] = known.get(number, 0)
            part = new.part_of(number, job)
            if new.is_over(number, part):
                over.append(number)
                if number in known:
                    writes.append((key, None, None))
            else:
                value = part.pack(number * parts.size)
                bytes_ = packed_bytes(value)
                if bytes_ > self.sizes.value_bytes:
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
            checks.update((part_key(job.id, number), part.version) for number, part in parts.rows)
        head = head.assembled(dict(head.parts.rows))
        if not writes or len(writes) + 1 > max(self.sizes.most_writes, 4) or len(checks) + 3 > self.sizes.most_checks:
            return None
        return Draft(head, checks, writes, usage.plus(head.spec, head.charged - job.charged), size)
