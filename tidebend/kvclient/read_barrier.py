"""Reads on demand that are shared by all who wait for one."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from tidebend.kvclient.errors import NotExecutedError, OutcomeUnknownError
from tidebend.kvclient.request_kinds import BUDGET_FLOORS, RequestKind
from tidebend.kvclient.steady_time import NEVER

log = logging.getLogger("kvclient")

# after so many reads in a row that failed, polls are read for as claims are
MAX_FAILED_READS = 3


class ReadBarrier:
    """Makes reads one at a time, each for all who wait when it begins.

    What only polls wait for begins no sooner than a pause after the last read, and joins all that come meanwhile.
    Guards against users who ask often: each poll's read went off by itself, and together they took what the store has
    for leases, claims and submissions.
    """

    def __init__(self, read: Callable[[RequestKind], None], poll_read_interval_s: Callable[[], float]) -> None:
        """`read` makes one read and raises as the client does; `poll_read_interval_s`: between reads for polls."""
        self._read = read
        self._poll_read_interval_s = poll_read_interval_s
        self._changed = threading.Condition()
        # numbers of reads, under the condition's lock: wanted by those who wait, begun last, ended last either way
        self._wanted = self._begun = self._succeeded = self._failed = 0
        self._kind = RequestKind.POLL  # the best of the kinds that wait for the next read
        # used by the reading thread alone
        self._next_poll_at = NEVER  # steady time from which a read for polls alone may begin
        self._failed_in_a_row = 0

    def wait(self, timeout: float, kind: str = RequestKind.POLL) -> bool:
        """Wait until a read that began after this call has ended; False if it failed or `timeout` seconds passed."""
        deadline = time.monotonic() + timeout
        wanted_kind = RequestKind(kind)
        with self._changed:
            number = self._begun + 1
            self._wanted = max(self._wanted, number)
            if BUDGET_FLOORS[wanted_kind] < BUDGET_FLOORS[self._kind]:
                self._kind = wanted_kind
            self._changed.notify_all()
            while self._succeeded < number and self._failed < number:
                left = deadline - time.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    break
            return self._succeeded >= number

    def run(self) -> None:
        """Make the reads that are wanted, for ever."""
        while True:
            number, kind = self._begin()
            self._next_poll_at = time.monotonic() + self._poll_read_interval_s()
            if kind == RequestKind.POLL and self._failed_in_a_row >= MAX_FAILED_READS:
                kind = RequestKind.CLAIM  # guards against polls that wait behind claims for as long as these go on
            self._end(number, self._try_read(kind))

    def _begin(self) -> tuple[int, RequestKind]:
        """Wait until a read is wanted and may begin; its number and kind."""
        with self._changed:
            while self._wanted <= self._begun:
                self._changed.wait()
            while self._kind == RequestKind.POLL and (left := self._next_poll_at - time.monotonic()) > 0:
                self._changed.wait(left)
            self._begun += 1
            kind, self._kind = self._kind, RequestKind.POLL
            return self._begun, kind

    def _try_read(self, kind: RequestKind) -> bool:
        try:
            self._read(kind)
        except (NotExecutedError, OutcomeUnknownError) as error:
            log.debug("barrier: %s", error)
            return False
        return True

    def _end(self, number: int, succeeded: bool) -> None:
        self._failed_in_a_row = 0 if succeeded else self._failed_in_a_row + 1
        with self._changed:
            if succeeded:
                self._succeeded = number
            else:
                self._failed = number
            self._changed.notify_all()
