"""The writes that make one job of another, with the conditions under which they hold."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, replace

from tidebend.cluster_state.job_cache import JobCache, pack_final
from tidebend.cluster_state.job_records import Job
from tidebend.cluster_state.record_chunks import CHUNK
from tidebend.controller.records.record_limits import CLAIMS_SHARE, RecordLimits, packed_bytes
from tidebend.coordination.schema_version import SchemaVersion
from tidebend.kvclient import FINAL
from tidebend.protocol import Write
from tidebend.quota import TeamUsage

log = logging.getLogger("ledger")


@dataclass
class JobTransaction:
    """What an edit comes to."""

    job: Job  # as it will be
    checks: dict[str, int]
    writes: list[Write]
    usage: TeamUsage  # the team's, as it will be
    bytes: int = 0


class RecordTooLargeError(Exception):
    """The record can't hold it; it has to be split first, if it can be."""


def chunk_key(job: str, number: int) -> str:
    return f"{CHUNK}{job}/{number}"


class TransactionBuilder:
    def __init__(self, job_cache: JobCache, schema_version: SchemaVersion, record_limits: RecordLimits) -> None:
        self.job_cache = job_cache
        self.schema_version = schema_version
        self.record_limits = record_limits

    def draft(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """The writes that make one job of another, but for its team's record; None if there is nothing to write."""
        if not new.allocations and (new.cancelled or new.complete):
            return self._over(job, new, usage)
        if new == job:
            return None
        if job.chunks:
            return self._in_parts(job, new, usage)
        value = new.pack()
        size = packed_bytes(value)
        grows = new.running > job.running
        most = self.record_limits.value_bytes
        if size > most or (grows and self.record_limits.can_be_split(job) and size > CLAIMS_SHARE * most):
            raise RecordTooLargeError
        writes: list[Write] = [(new.key, value, None)]
        return JobTransaction(
            new, {job.key: job.version}, writes, usage.plus(new.spec, new.charged - job.charged), size
        )

    def _over(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """The last transaction of a job that is done or cancelled. Told to be cancelled, it stays so."""
        known = self._part_versions(job)
        if job.chunks and job.chunks.unknown:
            return None
        room = self.record_limits.most_writes - 3
        if len(known) > max(0, room):
            return self._closed(job, new, list(known)[: self.record_limits.most_writes - 1], usage)
        chunks = [chunk_key(job.id, number) for number in known]
        final = pack_final("cancelled" if new.cancelled else "done", time.time(), not self.schema_version.pipelines)
        writes: list[Write] = [(job.key, None, None), (FINAL + job.id, final, None)]
        writes += [(key, None, None) for key in chunks]
        return JobTransaction(
            new,
            {job.key: job.version, **dict(zip(chunks, known.values(), strict=True))},
            writes,
            usage.without(job.spec, job.charged),
        )

    def _closed(self, job: Job, new: Job, numbers: list[int], usage: TeamUsage) -> JobTransaction:
        """Parts of a job that is over are deleted ahead of it: they are more than one transaction takes."""
        known = self._part_versions(job)
        checks = {job.key: job.version, **{chunk_key(job.id, number): known[number] for number in numbers}}
        writes: list[Write] = [(chunk_key(job.id, number), None, None) for number in numbers]
        if job.chunks:
            # what ends with this edit counts as ended, or the team's record would keep it for ever
            rows = tuple(
                (number, new.chunk_of(number, job) if number in numbers else chunk) for number, chunk in job.chunks.rows
            )
            job = replace(job, cancelled=new.cancelled, chunks=replace(job.chunks, rows=rows)).without_chunks(
                [number for number in numbers if job.chunks.opened >> number & 1]
            )
            writes.append((job.key, job.pack(), None))
        return JobTransaction(job, checks, writes, usage)

    def _part_versions(self, job: Job) -> dict[int, int]:
        """The versions of a job's parts, and of abandoned ones that nothing refers to.

        Guards against lost updates: an open part's version is the one from which this very job was read, not one that
        the watch has brought since. (That a part is still not open is for the head's version to say.)
        """
        known = self.job_cache.chunk_versions(job.id)
        known.update((number, chunk.version) for number, chunk in (job.chunks.rows if job.chunks else ()))
        return known

    def _in_parts(self, job: Job, new: Job, usage: TeamUsage) -> JobTransaction | None:
        """Of a change over many parts, the first few are written; the others are made again at the next event."""
        chunks = job.chunks
        assert chunks is not None
        known = self._part_versions(job)
        numbers = new.touched(job)
        whole = job.spec.kind == "gang" and new.running > job.running
        if not whole:
            numbers = numbers[
                : max(1, self.record_limits.most_writes - 2)
            ]  # the head's record and the team's come on top
        rows = dict(chunks.rows)
        checks = {job.key: job.version}
        writes: list[Write] = []
        over = []
        size = 0
        for number in numbers:
            key = chunk_key(job.id, number)
            checks[key] = known.get(number, 0)
            chunk = new.chunk_of(number, job)
            if new.is_over(number, chunk):
                over.append(number)
                if number in known:
                    writes.append((key, None, None))
            else:
                value = chunk.pack(number * chunks.size)
                bytes_ = packed_bytes(value)
                if bytes_ > self.record_limits.value_bytes:
                    log.error("job %s: a part's record would be too long", job.id)
                    return None
                size += bytes_
                writes.append((key, value, None))
            rows[number] = chunk
        opened = chunks.opened | sum(1 << number for number in numbers)
        head = replace(new, chunks=replace(chunks, opened=opened, rows=tuple(sorted(rows.items()))))
        if over:
            head = head.without_chunks(over)
        assert head.chunks is not None
        if head.pack() != job.pack():
            writes.append((head.key, head.pack(), None))
            size += packed_bytes(head.pack())
        if job.spec.kind != "array":
            # the rules over the whole job were checked against all its parts
            checks.update((chunk_key(job.id, number), chunk.version) for number, chunk in chunks.rows)
        head = head.assembled(dict(head.chunks.rows))
        if (
            not writes
            or len(writes) + 1 > max(self.record_limits.most_writes, 4)
            or len(checks) + 3 > self.record_limits.most_checks
        ):
            return None
        return JobTransaction(head, checks, writes, usage.plus(head.spec, head.charged - job.charged), size)
