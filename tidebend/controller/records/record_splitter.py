"""Records that have become too large: a job's record becomes a head with parts."""

from __future__ import annotations

import logging
from dataclasses import replace

from tidebend.cluster_state.job_cache import JobCache
from tidebend.cluster_state.job_records import HEAD
from tidebend.cluster_state.record_chunks import ChunkIndex, chunk_size
from tidebend.controller.records.record_limits import CLAIMS_SHARE, RecordLimits, packed_bytes
from tidebend.controller.records.transaction_builder import chunk_key
from tidebend.coordination.schema_version import FORMAT
from tidebend.kvclient import ConflictError, WatchCache
from tidebend.protocol import Write

log = logging.getLogger("ledger")


class RecordSplitter:
    def __init__(self, cache: WatchCache, job_cache: JobCache, record_limits: RecordLimits) -> None:
        self.cache = cache
        self.job_cache = job_cache
        self.record_limits = record_limits

    def split(self, name: str, patience: float) -> bool:
        """Move a job from one record to a head with parts: the parts first, to which nothing refers yet, then the head.

        Each step is conditional on the record that is split, and each part says from which version of it it was
        made: so the steps may be interrupted anywhere, and be made by several controllers. Records as the version
        before pipelines wrote them come here once what is to be written no longer fits, and not before.
        """
        with self.job_cache.lock:
            job = self.job_cache.get(name)
            if job is None or job.chunks:
                return job is not None
            sources = self.job_cache.chunk_sources(name)
        size = min(chunk_size(self.record_limits.value_bytes), job.spec.tasks)
        while True:
            whole = replace(job, chunks=ChunkIndex(size, ended=job.ended, started=job.started))
            chunks = whole.chunks
            assert chunks is not None
            rows, closed = {}, 0
            for number in chunks.numbers(whole.done | whole.claimed):
                chunk = replace(whole.chunk_of(number, job), source=job.version, started=job.started)
                if whole.is_over(number, chunk):
                    closed |= 1 << number
                else:
                    rows[number] = chunk
            largest = max((packed_bytes(chunk.pack(number * size)) for number, chunk in rows.items()), default=0)
            if size == 1 or largest <= CLAIMS_SHARE * self.record_limits.value_bytes:
                break
            size = max(1, size // 2)
        opened = sum(1 << number for number in rows)
        head = replace(whole, chunks=replace(chunks, opened=opened, closed=0 if job.cancelled else closed))
        writes: list[Write] = [
            (chunk_key(name, number), chunk.pack(number * chunks.size), None)
            for number, chunk in rows.items()
            if sources.get(number) != job.version
        ]
        try:
            while writes:
                self.cache.write({job.key: job.version}, writes[: self.record_limits.most_writes], patience=patience)
                writes = writes[self.record_limits.most_writes :]
            moved: list[Write] = [(job.key, None, None)] if job.key != head.key else []
            self.cache.write(
                {job.key: job.version, FORMAT: self.cache.get(FORMAT)[1], **({head.key: 0} if moved else {})},
                [*moved, (HEAD + name, head.pack(), None)],
                patience=patience,
            )
        except ConflictError:
            self.cache.barrier(self.cache.state.timeout, "claim")
            return False
        log.info("job %s is kept in %d parts from now on", name, len(rows) + closed.bit_count())
        return True
