"""A read barrier: reads on demand, each shared by all threads that wait for one."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from tidebend.kvclient.errors import NotExecutedError, OutcomeUnknownError
from tidebend.kvclient.monotonic_time import NEVER
from tidebend.kvclient.request_kinds import BUDGET_FLOORS, RequestKind

log = logging.getLogger("kvclient")

# After this number of consecutive failed reads, reads for polls are made with the kind CLAIM.
MAX_FAILED_READS = 3


class ReadBarrier:
    """Makes one read at a time, for all threads that wait when it begins.

    A read that only polls wait for begins no sooner than an interval after the last read began, and serves all polls
    that arrive until then. With a read for each poll, frequent polls would use up the store's rate limit, which leases,
    claims and submissions need.
    """

    def __init__(self, read: Callable[[RequestKind], None], poll_read_interval_s: Callable[[], float]) -> None:
        """`read` makes one read and raises the errors of the client.

        `poll_read_interval_s` returns the interval between reads that serve only polls.
        """
        self._read = read
        self._poll_read_interval_s = poll_read_interval_s
        self._changed = threading.Condition()
        # Sequence numbers of reads, guarded by the condition's lock: the last one that was requested, begun, completed
        # successfully, and failed.
        self._requested = self._begun = self._succeeded = self._failed = 0
        self._kind = RequestKind.POLL  # kind with the highest priority among those waiting for the next read
        # The following are used only by the reading thread.
        self._next_poll_at = NEVER  # monotonic time from which a read for polls only may begin
        self._consecutive_failures = 0

    def wait(self, timeout: float, kind: str = RequestKind.POLL) -> bool:
        """Wait for a read that begins after this call; return False if it fails or after `timeout` seconds."""
        deadline = time.monotonic() + timeout
        requested_kind = RequestKind(kind)
        with self._changed:
            number = self._begun + 1
            self._requested = max(self._requested, number)
            if BUDGET_FLOORS[requested_kind] < BUDGET_FLOORS[self._kind]:
                self._kind = requested_kind
            self._changed.notify_all()
            while self._succeeded < number and self._failed < number:
                left = deadline - time.monotonic()
                if left <= 0 or not self._changed.wait(left):
                    break
            return self._succeeded >= number

    def run(self) -> None:
        """Make the requested reads in an endless loop."""
        while True:
            number, kind = self._begin()
            self._next_poll_at = time.monotonic() + self._poll_read_interval_s()
            if kind == RequestKind.POLL and self._consecutive_failures >= MAX_FAILED_READS:
                kind = RequestKind.CLAIM  # otherwise polls could starve behind a steady load of claims
            self._finish(number, self._try_read(kind))

    def _begin(self) -> tuple[int, RequestKind]:
        """Wait until a read is requested and may begin; return its sequence number and kind."""
        with self._changed:
            while self._requested <= self._begun:
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
            log.debug("read for a barrier failed: %s", error)
            return False
        return True

    def _finish(self, number: int, succeeded: bool) -> None:
        self._consecutive_failures = 0 if succeeded else self._consecutive_failures + 1
        with self._changed:
            if succeeded:
                self._succeeded = number
            else:
                self._failed = number
            self._changed.notify_all()
