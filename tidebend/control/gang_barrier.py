"""Barriers for gangs: the tasks of a gang start together, complete together, and learn when a member is lost.

The state of a gang is rebuilt from the status that its tasks report repeatedly, so it is soon restored after a restart
of the control service. Only the completion of a gang is recorded durably, before the first task is told of it: some
tasks may be removed before the others ask again.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tidebend.messages import GangMemberStatus, GangVerdict, Verdict

# Gangs without a report for this multiple of `gang_peer_s` are discarded.
DISCARD_AFTER = 20.0


@dataclass
class _Gang:
    tasks: int
    first_report_at: float  # monotonic time
    phases: dict[int, str] = field(default_factory=dict)
    reported_at: dict[int, float] = field(default_factory=dict)  # monotonic time of the last report
    started: bool = False
    member_lost: bool = False  # a member was lost after the gang had started


class GangBarriers:
    """Synchronises the start and the completion of the tasks of each gang."""

    def __init__(
        self, gang_peer_s: float, is_done: Callable[[str, int], bool], record_done: Callable[[str, int], None]
    ) -> None:
        """`record_done` returns once the gang's completion is durable, or raises; `is_done` looks it up."""
        self._peer_timeout_s = gang_peer_s
        self._is_done = is_done
        self._record_done = record_done
        self._lock = threading.Lock()
        self._gangs: dict[tuple[str, int], _Gang] = {}

    def report_status(self, status: GangMemberStatus) -> GangVerdict:
        """Take the status of a task and return the verdict for it. Raises what `record_done` and `is_done` raise."""
        key = (status.job, status.attempt)
        now = time.monotonic()
        with self._lock:
            self._discard_stale(now)
            gang = self._gangs.setdefault(key, _Gang(status.tasks, now))
            gang.phases[status.index] = status.phase
            gang.reported_at[status.index] = now
            verdict = self._verdict(gang, status, now)
        if status.phase == "finished":
            # The gang may have completed before this process started, and some of its tasks may have been removed.
            if self._is_done(status.job, status.attempt):
                return GangVerdict("done")
            if verdict == "done":
                self._record_done(status.job, status.attempt)
        return GangVerdict(verdict)

    def _verdict(self, gang: _Gang, status: GangMemberStatus, now: float) -> Verdict:
        phases = list(gang.phases.values())
        if any(phase in ("running", "finished") for phase in phases):
            gang.started = True
        present = [index for index, phase in gang.phases.items() if phase != "lost"]
        # Guards against a task that waits forever because other members were lost together with the control service
        # that knew of them, so that they are never reported.
        missing = len(gang.phases) < gang.tasks and now - gang.first_report_at > self._peer_timeout_s
        if gang.started and (
            missing
            or any(phase == "lost" for phase in phases)
            or any(now - gang.reported_at[index] > self._peer_timeout_s for index in present)
        ):
            gang.member_lost = True
        if gang.member_lost and status.phase != "lost":
            return "mates_gone"
        if len(present) == gang.tasks:
            if all(gang.phases[index] == "finished" for index in present):
                return "done"
            if status.phase == "waiting" and all(
                now - gang.reported_at[index] <= self._peer_timeout_s for index in present
            ):
                return "start"
        return "wait"

    def _discard_stale(self, now: float) -> None:
        for key in [
            key
            for key, gang in self._gangs.items()
            if now - max(gang.reported_at.values(), default=now) > DISCARD_AFTER * self._peer_timeout_s
        ]:
            del self._gangs[key]
