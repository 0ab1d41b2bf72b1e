"""The state service's client, and a cache of its keys that knows how old it is."""

from tidebend.storage.client import StateClient
from tidebend.storage.failures import Conflict, NoSuchLease, Refused, Unavailable, Unknown
from tidebend.storage.keys import FINAL, LIVE, PREFIX
from tidebend.storage.mirror import Mirror

__all__ = ["FINAL", "LIVE", "PREFIX", "Conflict", "Mirror", "NoSuchLease", "Refused", "StateClient", "Unavailable",
           "Unknown"]
