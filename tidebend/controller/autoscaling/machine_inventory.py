"""The cloud's list of machines, read page by page as the call budget allows."""

from __future__ import annotations

import math
from collections.abc import Callable

from tidebend import protocol
from tidebend.controller.autoscaling.cloud_client import CloudResponse
from tidebend.protocol import ListedMachine

# machines on a page; the most that the protocol allows
PAGE_SIZE = 500
# A list that lags by seconds isn't read each second: the calls are needed for scaling out. So it is read once in this
# share of its lag, and however many pages it has, they take no more than this share of the calls.
LAG_SHARE = 0.25
CALLS_SHARE = 0.25
# The share of a second's calls that must be left after a page is read. A list that is this many times as old as it
# should be is read all the same.
CALL_RESERVE = 0.2
OVERDUE_FACTOR = 2.0


class MachineInventory:
    """Reads the list of machines, and resumes where the call budget ran out.

    Without resuming, a fleet of one machine more than a page holds could not be read where calls are few: the second
    page was refused each time, the first was thrown away with it, and without a list no machine was provisioned. Pages
    of one list may be read seconds apart: each machine is on one of them, and the list is as old as its first page.
    """

    def __init__(self, call: Callable[..., CloudResponse | None], lag_s: float, calls_per_s: float) -> None:
        """`call` is `CloudClient.call`; `lag_s` is how late the list may be at the cloud."""
        self._call = call
        self._min_interval_s = LAG_SHARE * lag_s
        self._calls_per_s = calls_per_s
        self.reset()

    def reset(self) -> None:
        """Forget all that was read."""
        self.machines: dict[str, ListedMachine] | None = None  # the last list that was read to its end
        self.as_of = -math.inf  # steady time at which its reading began
        self._page_count = 1
        self._start_list()

    def _start_list(self) -> None:
        self._partial: dict[str, ListedMachine] = {}
        self._last_name = ""
        self._pages_read = 0
        self._began_at = -math.inf

    def _is_due(self, now: float, factor: float) -> bool:
        interval_s = max(self._min_interval_s, self._page_count / (CALLS_SHARE * self._calls_per_s))
        return now - self.as_of >= factor * interval_s

    def read(self, now: float) -> None:
        """Read on while the call budget allows; raises InvalidMessageError for a response that can't be read.

        Nothing is read while the last list is recent enough.
        """
        while self._pages_read or self._is_due(now, 1.0):
            if not self._read_page(now):
                return

    def _read_page(self, now: float) -> bool:
        """Whether a page was read and others follow it."""
        is_urgent = self.machines is None or self._is_due(now, OVERDUE_FACTOR)
        reserve = 0.0 if is_urgent else CALL_RESERVE
        response = self._call("GET", protocol.list_path(self._last_name, PAGE_SIZE), None, reserve)
        if response is None or not response.ok:
            return False
        rows, has_more = protocol.parse_machine_page(response.body)
        if not self._pages_read:
            self._began_at = now
        self._pages_read += 1
        self._partial.update((row.name, row) for row in rows)
        if has_more and rows:
            self._last_name = rows[-1].name
            return True
        self.machines, self.as_of, self._page_count = self._partial, self._began_at, self._pages_read
        self._start_list()
        return False
