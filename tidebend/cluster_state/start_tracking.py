"""Tracking of start commands that a worker may still execute.

A start command is sent in one of two ways. In the answer to a heartbeat, it is executed before the worker sends its
next heartbeat, or never. As a direct command, it may be delayed for any time and may be executed twice; only a higher
fencing token that the worker has confirmed rules this out.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from tidebend.cluster_state.keys import TaskKey


class UncertainStart(NamedTuple):
    """A direct start command whose outcome is unknown."""

    token: int  # the fencing token that it carried
    sent_at: float  # monotonic time in seconds


@dataclass
class StartTracker:
    """The start commands sent to the current session of one worker. Guarded by the machine registry's lock."""

    # starts sent in answers to heartbeats -> sequence number of the heartbeat
    in_answers: dict[TaskKey, int] = field(default_factory=dict)
    # direct starts whose outcome is unknown
    uncertain: dict[TaskKey, UncertainStart] = field(default_factory=dict)
    # direct starts of any outcome -> fencing token
    direct_tokens: dict[TaskKey, int] = field(default_factory=dict)

    def begin_session(self) -> None:
        """Forget all starts: in a new session the worker executes no command that was sent to an earlier one."""
        self.in_answers.clear()
        self.uncertain.clear()
        self.direct_tokens.clear()

    def record_start_in_answer(self, key: TaskKey, report_sequence: int) -> None:
        """Track a start that is sent in the answer to the heartbeat with this sequence number."""
        self.in_answers[key] = report_sequence

    def record_direct_start(self, key: TaskKey, token: int, now: float) -> None:
        """Track a start that is about to be sent directly, with this fencing token."""
        self.uncertain[key] = UncertainStart(token, now)
        self.direct_tokens[key] = token

    def resolve_direct_start(self, key: TaskKey, token: int) -> None:
        """Mark the outcome of the direct start with this fencing token as known: executed, or never to be executed."""
        start = self.uncertain.get(key)
        if start is not None and start.token == token:
            del self.uncertain[key]

    def confirm_token(self, token: int) -> None:
        """Drop uncertain direct starts with a lower token: the worker has confirmed this one and refuses them."""
        refused = [key for key, start in self.uncertain.items() if start.token < token]
        for key in refused:
            del self.uncertain[key]

    def may_still_execute(self, key: TaskKey, report_sequence: int) -> bool:
        """Whether a start of a task that the worker doesn't report may still be executed.

        `report_sequence` is the sequence number of the worker's newest heartbeat.
        """
        if key in self.uncertain:
            return True
        answered_sequence = self.in_answers.get(key)
        return answered_sequence is not None and report_sequence <= answered_sequence

    def may_be_repeated(self, key: TaskKey, confirmed_token: int) -> bool:
        """Whether a direct start that was executed already may be delivered a second time."""
        token = self.direct_tokens.get(key)
        return token is not None and token >= confirmed_token

    def forget_start_in_answer(self, key: TaskKey) -> None:
        """Drop a start in an answer: the worker is told to forget the attempt."""
        self.in_answers.pop(key, None)

    def retain_direct_starts(self, allocated: Container[TaskKey], reported: Container[TaskKey]) -> None:
        """Drop direct starts of tasks that are neither allocated nor reported any more."""
        obsolete = [key for key in self.direct_tokens if key not in allocated and key not in reported]
        for key in obsolete:
            del self.direct_tokens[key]
