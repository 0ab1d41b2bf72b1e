"""Where a gang's tasks find each other: they start together, are done together, and learn of a mate that is gone.

What is known of a gang is what its tasks told lately, so a control service that was killed knows it again within
moments. Only that a gang is done is recorded, before the first of them hears it: some may be cleared before the others
ask again.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.messages import GangMemberStatus, GangVerdict, Verdict

# gangs that nobody told of for this long, in times of `gang_peer_s`, are forgotten
FORGET_AFTER = 20.0


@dataclass
class _Gang:
    tasks: int
    since: float  # steady time at which we first heard of it
    phases: dict[int, str] = field(default_factory=dict)
    heard: dict[int, float] = field(default_factory=dict)  # steady time
    begun: bool = False
    gone: bool = False  # a mate was lost after it had begun


class GangBarriers:
    """Has the tasks of each gang start together and complete together."""

    def __init__(
        self, gang_peer_s: float, is_done: Callable[[str, int], bool], record_done: Callable[[str, int], None]
    ) -> None:
        """`record_done` returns once it is durable, or raises; `is_done` looks it up."""
        self._peer_s = gang_peer_s
        self._is_done = is_done
        self._record_done = record_done
        self._lock = threading.Lock()
        self._gangs: dict[tuple[str, int], _Gang] = {}

    def report_status(self, told: GangMemberStatus) -> GangVerdict:
        """What a task tells of itself, and what follows for it; raises what `record_done` does."""
        key = (told.job, told.attempt)
        now = time.monotonic()
        with self._lock:
            self._forget(now)
            gang = self._gangs.setdefault(key, _Gang(told.tasks, now))
            gang.phases[told.index] = told.phase
            gang.heard[told.index] = now
            verdict = self._verdict(gang, told, now)
        if told.phase == "finished":
            # it may have been done before we were started, and some of its tasks may be cleared by now
            if self._is_done(told.job, told.attempt):
                return GangVerdict("done")
            if verdict == "done":
                self._record_done(told.job, told.attempt)
        return GangVerdict(verdict)

    def _verdict(self, gang: _Gang, told: GangMemberStatus, now: float) -> Verdict:
        phases = list(gang.phases.values())
        if any(phase in ("running", "finished") for phase in phases):
            gang.begun = True
        there = [index for index, phase in gang.phases.items() if phase != "lost"]
        # Guards against a task that waits for ever: its mates were lost together with the process that knew them, so
        # that nobody tells of them any more.
        missing = len(gang.phases) < gang.tasks and now - gang.since > self._peer_s
        if gang.begun and (
            missing
            or any(phase == "lost" for phase in phases)
            or any(now - gang.heard[index] > self._peer_s for index in there)
        ):
            gang.gone = True
        if gang.gone and told.phase != "lost":
            return "mates_gone"
        if len(there) == gang.tasks:
            if all(gang.phases[index] == "finished" for index in there):
                return "done"
            if told.phase == "waiting" and all(now - gang.heard[index] <= self._peer_s for index in there):
                return "start"
        return "wait"

    def _forget(self, now: float) -> None:
        for key in [
            key
            for key, gang in self._gangs.items()
            if now - max(gang.heard.values(), default=now) > FORGET_AFTER * self._peer_s
        ]:
            del self._gangs[key]
