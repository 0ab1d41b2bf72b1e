"""The client of the key-value store, and a watch cache of the live keys that tracks its staleness."""

from tidebend.kvclient.client import KeyValueClient
from tidebend.kvclient.errors import (
    ConflictError,
    KeyValueError,
    LeaseNotFoundError,
    NotExecutedError,
    OutcomeUnknownError,
    OverBudgetError,
    TransactionTooLargeError,
)
from tidebend.kvclient.keys import FINAL, LIVE, PREFIX
from tidebend.kvclient.monotonic_time import NEVER
from tidebend.kvclient.request_kinds import RequestKind
from tidebend.kvclient.results import ABSENT, VersionedValue
from tidebend.kvclient.watch_cache import WatchCache

__all__ = [
    "ABSENT",
    "FINAL",
    "LIVE",
    "NEVER",
    "PREFIX",
    "ConflictError",
    "KeyValueClient",
    "KeyValueError",
    "LeaseNotFoundError",
    "NotExecutedError",
    "OutcomeUnknownError",
    "OverBudgetError",
    "RequestKind",
    "TransactionTooLargeError",
    "VersionedValue",
    "WatchCache",
]
