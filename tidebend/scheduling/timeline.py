"""Free amounts of one machine over time."""

from __future__ import annotations

import math
from bisect import bisect_right

from tidebend.scheduling.resources import UNLIMITED_TASKS, Amount, count_fitting_tasks, fits, subtract


class Timeline:
    """Free amounts of one machine from a start on, as a step function of time; the last step lasts for ever.

    `times[i]` is the time at which step i begins, in seconds on the caller's clock, and `free[i]` the amount that is
    free during it.
    """

    __slots__ = ("free", "times")

    def __init__(self, start: float, free: Amount) -> None:
        """A machine with this amount free from the start on."""
        self.times = [start]
        self.free = [free]

    def take(self, start: float, end: float, amount: Amount) -> None:
        """Reserve an amount from start to end, which may be infinite. Whether it is free isn't checked."""
        first = self._split(start)
        last = len(self.times) if end == math.inf else self._split(end)
        for index in range(first, last):
            self.free[index] = subtract(self.free[index], amount)

    def room(self, start: float, end: float, need: Amount) -> int:
        """How many tasks of that size fit side by side from start to end."""
        most = UNLIMITED_TASKS
        for index in range(self._index(start), len(self.times)):
            if self.times[index] >= end:
                break
            most = min(most, count_fitting_tasks(self.free[index], need))
            if not most:
                break
        return most

    def earliest(self, after: float, length: float, need: Amount, latest: float) -> float | None:
        """The first start from `after` on at which a task fits for its whole length beside what is placed.

        None if there is no such start up to `latest`.
        """
        start: float | None = None
        for index in range(self._index(after), len(self.times)):
            begin = self.times[index]
            if start is not None and begin >= start + length:
                return start
            if not fits(self.free[index], need):
                start = None
            elif start is None:
                start = max(begin, after)
                if start > latest:
                    return None
        return start

    def gap(self, start: float, end: float, need: Amount) -> tuple[int, float]:
        """The idle gap that a task from start to end falls into.

        Returns the change in the number of idle gaps that the task makes (-1 to 1), and the gap's length in seconds.
        A gap is a time in which a task of that size fits without interruption.
        """
        first = index = self._index(start)
        while first > 0 and fits(self.free[first - 1], need):
            first -= 1
        index += 1
        while index < len(self.times) and fits(self.free[index], need):
            index += 1
        last = self.times[index] if index < len(self.times) else math.inf
        return (start > self.times[first]) + (end < last) - 1, last - self.times[first]

    def _index(self, time: float) -> int:
        """The step that holds at `time`."""
        return max(0, bisect_right(self.times, time) - 1)

    def _split(self, time: float) -> int:
        """The index of the step that begins at `time`, which is made if there is none."""
        for index in range(len(self.times) - 1, -1, -1):
            if self.times[index] <= time:
                if self.times[index] == time:
                    return index
                self.times.insert(index + 1, time)
                self.free.insert(index + 1, self.free[index])
                return index + 1
        return 0
