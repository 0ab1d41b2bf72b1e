"""Which controller's process sent the commands that workers executed, and wrote the records in the key-value store."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

HEARTBEAT_ANSWER, DIRECT, LATE_DIRECT, LATE_COPY = "answer to a heartbeat", "direct", "direct, late", "late copy"


@dataclass(frozen=True)
class Process:
    """A controller's process, identified by the version that it runs; its restarts aren't told apart."""

    node: str
    is_current: bool  # whether it runs the current version and not a former one


@dataclass(frozen=True)
class Source:
    """A message of a controller that a worker or the key-value store carries out."""

    process: Process
    sent_at: float  # virtual time in seconds
    way: str = DIRECT  # how a command reached the worker


@dataclass(frozen=True)
class Start:
    """A start that a worker has executed."""

    at: float
    token: int
    source: Source | None


@dataclass(frozen=True)
class Forgotten:
    """An ended attempt that a worker was told to forget."""

    at: float
    machine: str
    task: str
    attempt: int
    source: Source | None


@dataclass(frozen=True)
class Write:
    """A change that the key-value store has made."""

    at: float
    key: str
    value: Any  # None if the key was deleted
    source: Source | None


@dataclass
class Provenance:
    """The sources of what happened in a world; None stands for what no controller sent, such as a test's own write."""

    source: Source | None = None  # of the message that is being carried out
    starts: dict[tuple[str, str, int], list[Start]] = field(default_factory=dict)  # by machine, task and attempt
    forgotten: list[Forgotten] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    upgraded_at: dict[str, float] = field(default_factory=dict)  # controller -> when its former process ended

    @contextlib.contextmanager
    def carrying_out(self, source: Source | None) -> Iterator[None]:
        """Attribute what happens within the context to a message."""
        before, self.source = self.source, source
        try:
            yield
        finally:
            self.source = before

    def late(self, way: str) -> Source | None:
        """Return the message that is being carried out as one that is carried out late, or once more."""
        return None if self.source is None else replace(self.source, way=way)

    def note_start(self, at: float, machine: str, task: str, attempt: int, token: int) -> None:
        """Note that a worker has executed a start under a token; more than once if it had forgotten the attempt."""
        self.starts.setdefault((machine, task, attempt), []).append(Start(at, token, self.source))

    def note_forgotten(self, at: float, machine: str, task: str, attempt: int) -> None:
        """Note that a worker has forgotten an ended attempt."""
        self.forgotten.append(Forgotten(at, machine, task, attempt, self.source))

    def note_write(self, at: float, key: str, value: Any) -> None:
        """Note a change in the key-value store."""
        self.writes.append(Write(at, key, value, self.source))
