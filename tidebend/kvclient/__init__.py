"""The state service's client, and a cache of its keys that knows how old it is."""

from tidebend.kvclient.client import StateClient
from tidebend.kvclient.errors import Conflict, NoSuchLease, Refused, Unavailable, Unknown
from tidebend.kvclient.keys import FINAL, LIVE, PREFIX
from tidebend.kvclient.watch_cache import Mirror

__all__ = [
    "FINAL",
    "LIVE",
    "PREFIX",
    "Conflict",
    "Mirror",
    "NoSuchLease",
    "Refused",
    "StateClient",
    "Unavailable",
    "Unknown",
]
