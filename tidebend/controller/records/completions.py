"""Former names of the types of completions, until all modules import the present ones."""

from tidebend.controller.records.completion_tracker import CompletionTracker
from tidebend.controller.records.retry_backoff import RetryBackoff
from tidebend.controller.records.unrecorded_completions import TaskKey, UnrecordedCompletions

Key = TaskKey
ProvenCompletions = UnrecordedCompletions

__all__ = ["CompletionTracker", "Key", "ProvenCompletions", "RetryBackoff"]
