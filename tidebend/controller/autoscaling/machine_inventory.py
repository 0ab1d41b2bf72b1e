"""The cloud's list of machines, read page by page as calls are to be had."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tidebend import protocol
from tidebend.protocol import ListedMachine

# the most that the protocol allows
PAGE = 500
# A list that is late by seconds isn't asked for each second: the calls are needed for rentals. So it is read once in
# this share of its lag, and however many pages it has, they take no more than this share of the calls.
LAG_SHARE = 0.25
CALLS_SHARE = 0.25
# what must be left of a second's calls after a page is read; a list that is overdue is read all the same
FLOOR = 0.2
OVERDUE = 2.0


class MachineInventory:
    """Keeps its place in a list of several pages.

    Guards against a fleet of one machine more than a page holds: where calls are few its second page was refused each
    time, the first was thrown away with it, and without a list nothing was rented. Pages of one list may be read
    seconds apart: each machine stands in one of them, and the whole is as old as the first.
    """

    def __init__(self, call: Callable[..., tuple[int, Any] | None], lag_s: float, calls_per_s: float) -> None:
        self._call = call
        self._least_pause_s = LAG_SHARE * lag_s
        self._calls_per_s = calls_per_s
        self.reset()

    def reset(self) -> None:
        self.whole: dict[str, ListedMachine] | None = None  # the last list that was read to its end
        self.as_of = -1e9  # steady time at which its reading began
        self._pages = 1
        self._found: dict[str, ListedMachine] = {}
        self._after = ""
        self._read = 0
        self._began = -1e9

    def _overdue(self, now: float, times: float) -> bool:
        return now - self.as_of >= times * max(self._least_pause_s, self._pages / (CALLS_SHARE * self._calls_per_s))

    def read(self, now: float) -> None:
        """Go on reading, from where calls ran out last time; raises Invalid for an answer that can't be read."""
        while self._read or self._overdue(now, 1.0):
            floor = 0.0 if self.whole is None or self._overdue(now, OVERDUE) else FLOOR
            answer = self._call("GET", protocol.list_path(self._after, PAGE), None, floor)
            if answer is None or answer[0] != 200:
                return
            rows, more = protocol.parse_listed(answer[1])
            if not self._read:
                self._began = now
            self._read += 1
            self._found.update((row.name, row) for row in rows)
            if more and rows:
                self._after = rows[-1].name
                continue
            self.whole, self.as_of, self._pages = self._found, self._began, self._read
            self._found, self._after, self._read = {}, "", 0
            return
