"""Tracking of start commands that a worker may still execute.

A start command is sent in one of two ways. In the answer to a heartbeat, it is executed before the worker sends its
next heartbeat, or never. As a direct command, it may be delayed for any time and may be executed twice; only a higher
fencing token that the worker has confirmed rules this out.

The same start may be under way in several direct requests at a time. That one of them was certainly not executed says
nothing about the others.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from tidebend.cluster_state.keys import TaskKey


@dataclass
class UncertainStarts:
    """The direct requests with the start of one task and one fencing token whose outcome is unknown."""

    first_sent_at: float  # monotonic time in seconds
    requests: int = 0  # number of requests that were executed, may be executed later, or never will be


@dataclass
class StartTracker:
    """The start commands sent to one session of a worker. Guarded by the machine registry's lock."""

    # starts sent in answers to heartbeats -> sequence number of the heartbeat
    in_answers: dict[TaskKey, int] = field(default_factory=dict)
    # direct starts whose outcome is unknown, by fencing token
    uncertain: dict[TaskKey, dict[int, UncertainStarts]] = field(default_factory=dict)
    # direct starts of any outcome -> fencing token
    direct_tokens: dict[TaskKey, int] = field(default_factory=dict)

    def record_start_in_answer(self, key: TaskKey, report_sequence: int) -> None:
        """Track a start that is sent in the answer to the heartbeat with this sequence number."""
        self.in_answers[key] = report_sequence

    def record_direct_start(self, key: TaskKey, token: int, now: float) -> None:
        """Track a start that is about to be sent in a direct request with this fencing token."""
        starts = self.uncertain.setdefault(key, {}).setdefault(token, UncertainStarts(now))
        starts.requests += 1
        self.direct_tokens[key] = max(token, self.direct_tokens.get(key, 0))

    def withdraw_direct_start(self, key: TaskKey, token: int) -> None:
        """Drop one direct request with this start and fencing token, which certainly wasn't and won't be executed."""
        by_token = self.uncertain.get(key, {})
        starts = by_token.get(token)
        if starts is None:
            return  # the outcome became known in another way
        starts.requests -= 1
        if not starts.requests:
            del by_token[token]
        if not by_token:
            del self.uncertain[key]

    def resolve_direct_starts(self, key: TaskKey) -> None:
        """Drop all direct requests with this start: the worker knows the attempt, so that another start has no effect.

        That holds until the worker is told to forget the attempt, see `may_be_repeated`.
        """
        self.uncertain.pop(key, None)

    def confirm_token(self, token: int) -> None:
        """Drop uncertain direct starts with a lower token: the worker has confirmed this one and refuses them."""
        for key, by_token in list(self.uncertain.items()):
            refused = [sent_token for sent_token in by_token if sent_token < token]
            for sent_token in refused:
                del by_token[sent_token]
            if not by_token:
                del self.uncertain[key]

    def has_uncertain_start(self, lowest_token: int, sent_before: float) -> bool:
        """Whether a direct start sent before a monotonic time, with at least this token, has an unknown outcome."""
        return any(
            token >= lowest_token and starts.first_sent_at < sent_before
            for by_token in self.uncertain.values()
            for token, starts in by_token.items()
        )

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
