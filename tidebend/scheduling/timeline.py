"""The free capacity of one machine over time."""

from __future__ import annotations

import math
from bisect import bisect_right

from tidebend.scheduling.resources import UNLIMITED_TASKS, Amount, count_fitting_tasks, fits, subtract


class Timeline:
    """The free capacity of one machine as a step function of time; the last step has no end.

    `times[i]` is the start of step i, in seconds on the caller's clock, and `free[i]` the free amount during it.
    """

    __slots__ = ("free", "times")

    def __init__(self, start: float, free: Amount) -> None:
        """Create the timeline of a machine that has this amount free from `start` on."""
        self.times = [start]
        self.free = [free]

    def reserve(self, start: float, end: float, amount: Amount) -> None:
        """Reserve an amount from `start` to `end`, which may be infinite, without checking that it is free."""
        first = self._split_step(start)
        last = len(self.times) if end == math.inf else self._split_step(end)
        for index in range(first, last):
            self.free[index] = subtract(self.free[index], amount)

    def count_fitting(self, start: float, end: float, need: Amount) -> int:
        """Return how many tasks with this need can run concurrently from `start` to `end`."""
        count = UNLIMITED_TASKS
        for index in range(self._step_index(start), len(self.times)):
            if self.times[index] >= end:
                break
            count = min(count, count_fitting_tasks(self.free[index], need))
            if not count:
                break
        return count

    def earliest_start(self, after: float, duration: float, need: Amount, latest_start: float) -> float | None:
        """Return the first time from `after` on at which a task fits for its whole duration.

        None if there is no such time up to `latest_start`.
        """
        start: float | None = None
        for index in range(self._step_index(after), len(self.times)):
            begin = self.times[index]
            if start is not None and begin >= start + duration:
                return start
            if not fits(self.free[index], need):
                start = None
            elif start is None:
                start = max(begin, after)
                if start > latest_start:
                    return None
        return start

    def idle_gap(self, start: float, end: float, need: Amount) -> tuple[int, float]:
        """Describe the idle gap in which a task from `start` to `end` would run.

        Returns by how much the task changes the number of idle gaps (-1 to 1), and the gap's duration in seconds. A gap
        is a maximal interval in which a task with this need fits throughout.
        """
        first = index = self._step_index(start)
        while first > 0 and fits(self.free[first - 1], need):
            first -= 1
        index += 1
        while index < len(self.times) and fits(self.free[index], need):
            index += 1
        last = self.times[index] if index < len(self.times) else math.inf
        return (start > self.times[first]) + (end < last) - 1, last - self.times[first]

    def _step_index(self, time: float) -> int:
        """Return the index of the step that contains `time`."""
        return max(0, bisect_right(self.times, time) - 1)

    def _split_step(self, time: float) -> int:
        """Return the index of the step that starts at `time`, splitting a step if necessary."""
        for index in range(len(self.times) - 1, -1, -1):
            if self.times[index] <= time:
                if self.times[index] == time:
                    return index
                self.times.insert(index + 1, time)
                self.free.insert(index + 1, self.free[index])
                return index + 1
        return 0
