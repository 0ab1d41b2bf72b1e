"""Records that have become too large: a job's record becomes a head with parts."""

from __future__ import annotations

import logging
from dataclasses import replace

from tidebend.cluster_state.job_cache import JobBook
from tidebend.cluster_state.job_records import HEAD
from tidebend.cluster_state.record_chunks import Parts, part_size
from tidebend.controller.records.record_limits import CLAIMS_SHARE, Sizes, packed_bytes
from tidebend.controller.records.transaction_builder import part_key
from tidebend.coordination.schema_version import FORMAT
from tidebend.kvclient import Conflict, Mirror
from tidebend.protocol import Write

log = logging.getLogger("ledger")


class Splitting:
    def __init__(self, mirror: Mirror, book: JobBook, sizes: Sizes) -> None:
        self.mirror = mirror
        self.book = book
        self.sizes = sizes

    def split(self, name: str, patience: float) -> bool:
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
        size = min(part_size(self.sizes.value_bytes), job.spec.tasks)
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
            if size == 1 or largest <= CLAIMS_SHARE * self.sizes.value_bytes:
                break
            size = max(1, size // 2)
        opened = sum(1 << number for number in rows)
        head = replace(whole, parts=replace(parts, opened=opened, closed=0 if job.cancelled else closed))
        writes: list[Write] = [
            (part_key(name, number), part.pack(number * parts.size), None)
            for number, part in rows.items()
            if sources.get(number) != job.version
        ]
        try:
            while writes:
                self.mirror.write({job.key: job.version}, writes[: self.sizes.most_writes], patience=patience)
                writes = writes[self.sizes.most_writes :]
            moved: list[Write] = [(job.key, None, None)] if job.key != head.key else []
            self.mirror.write(
                {job.key: job.version, FORMAT: self.mirror.get(FORMAT)[1], **({head.key: 0} if moved else {})},
                [*moved, (HEAD + name, head.pack(), None)],
                patience=patience,
            )
        except Conflict:
            self.mirror.barrier(self.mirror.state.timeout, "claim")
            return False
        log.info("job %s is kept in %d parts from now on", name, len(rows) + closed.bit_count())
        return True
