"""Reading the cloud's list of machines, page by page within the call budget."""

from __future__ import annotations

import math
from collections.abc import Callable

from tidebend import protocol
from tidebend.controller.autoscaling.cloud_client import CloudResponse
from tidebend.protocol import ListedMachine

# machines per page; the protocol's maximum
PAGE_SIZE = 500
# The list lags by seconds, so it isn't read every second: the calls are needed for scaling out. It is read once per
# this share of its lag, and its pages, however many, take no more than this share of the calls.
LAG_SHARE = 0.25
CALLS_SHARE = 0.25
# The share of one second's calls that must remain after a page is read. A list older than this multiple of its read
# interval is read without a reserve.
CALL_RESERVE = 0.2
OVERDUE_FACTOR = 2.0


class MachineInventory:
    """Reads the list of machines, and resumes where the call budget ran out.

    Without resuming, a list of two pages could not be read with a small call budget: the second page was refused each
    time, the first was discarded with it, and without a list no machine was provisioned. Pages of one list may be read
    seconds apart: each machine is on one of them, and the list is as old as its first page.
    """

    def __init__(self, call: Callable[..., CloudResponse | None], lag_s: float, calls_per_s: float) -> None:
        """`call` is `CloudClient.call`; `lag_s` is the maximum lag of the cloud's list, in seconds."""
        self._call = call
        self._min_interval_s = LAG_SHARE * lag_s
        self._calls_per_s = calls_per_s
        self.reset()

    def reset(self) -> None:
        """Discard all that was read."""
        self.machines: dict[str, ListedMachine] | None = None  # the last list that was read completely
        self.as_of = -math.inf  # monotonic time at which reading it began
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
        """Read the next pages as far as the call budget allows, unless the last list is recent enough.

        Raises InvalidMessageError for an invalid response.
        """
        while self._pages_read or self._is_due(now, 1.0):
            if not self._read_page(now):
                return

    def _read_page(self, now: float) -> bool:
        """Read the next page; return whether that succeeded and more pages follow."""
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
