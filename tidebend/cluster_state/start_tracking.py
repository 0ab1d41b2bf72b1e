"""Which start commands may still be executed by a worker.

A start travels in one of two ways. In the answer to a heartbeat it is executed before the worker sends its next
heartbeat, or never. In a direct command it may be delayed for any time, and may be executed twice; only a higher
fencing token that the worker has confirmed rules that out.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from tidebend.cluster_state.keys import TaskKey


class UncertainStart(NamedTuple):
    """A direct start command without a known outcome."""

    token: int  # the fencing token that it carried
    sent_at: float  # monotonic time in seconds


@dataclass
class StartTracker:
    """The start commands sent to the current session of one worker. Guarded by the machine registry's lock."""

    # starts in answers to heartbeats, with the sequence number of the heartbeat
    answered: dict[TaskKey, int] = field(default_factory=dict)
    # direct starts without a known outcome
    uncertain: dict[TaskKey, UncertainStart] = field(default_factory=dict)
    # the fencing tokens of direct starts, whatever their outcome
    direct_tokens: dict[TaskKey, int] = field(default_factory=dict)

    def begin_session(self) -> None:
        """Forget all starts: a worker's new session executes no command that was sent to an earlier one."""
        self.answered.clear()
        self.uncertain.clear()
        self.direct_tokens.clear()

    def record_answered_start(self, key: TaskKey, report_sequence: int) -> None:
        """A start is put into the answer to the heartbeat with this sequence number."""
        self.answered[key] = report_sequence

    def record_direct_start(self, key: TaskKey, token: int, now: float) -> None:
        """A start is about to be sent directly, with this fencing token."""
        self.uncertain[key] = UncertainStart(token, now)
        self.direct_tokens[key] = token

    def resolve_direct_start(self, key: TaskKey, token: int) -> None:
        """The outcome of the direct start with this fencing token is known: executed, or never to be executed."""
        start = self.uncertain.get(key)
        if start is not None and start.token == token:
            del self.uncertain[key]

    def confirm_token(self, token: int) -> None:
        """The worker has seen this fencing token, and refuses direct starts with a lower one from now on."""
        refused = [key for key, start in self.uncertain.items() if start.token < token]
        for key in refused:
            del self.uncertain[key]

    def may_still_execute(self, key: TaskKey, report_sequence: int) -> bool:
        """Whether a start of a task that the worker doesn't report may still be executed.

        `report_sequence` is the sequence number of the worker's newest heartbeat.
        """
        if key in self.uncertain:
            return True
        answered = self.answered.get(key)
        return answered is not None and report_sequence <= answered

    def may_be_repeated(self, key: TaskKey, confirmed_token: int) -> bool:
        """Whether a direct start that was executed already may be delivered a second time."""
        token = self.direct_tokens.get(key)
        return token is not None and token >= confirmed_token

    def forget_answered_start(self, key: TaskKey) -> None:
        """The worker is told to forget the attempt."""
        self.answered.pop(key, None)

    def retain_direct_starts(self, allocated: Container[TaskKey], reported: Container[TaskKey]) -> None:
        """Forget direct starts of tasks that are neither allocated nor reported any more."""
        settled = [key for key in self.direct_tokens if key not in allocated and key not in reported]
        for key in settled:
            del self.direct_tokens[key]
