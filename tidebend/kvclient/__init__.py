"""The state service's client, and a cache of its keys that knows how old it is."""

from tidebend.kvclient.client import KeyValueClient
from tidebend.kvclient.errors import ConflictError, LeaseNotFoundError, NotExecutedError, OutcomeUnknownError, Refused
from tidebend.kvclient.keys import FINAL, LIVE, PREFIX
from tidebend.kvclient.watch_cache import WatchCache

__all__ = [
    "FINAL",
    "LIVE",
    "PREFIX",
    "ConflictError",
    "WatchCache",
    "LeaseNotFoundError",
    "Refused",
    "KeyValueClient",
    "NotExecutedError",
    "OutcomeUnknownError",
]
