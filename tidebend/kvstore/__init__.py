"""The embedded key-value store: keys, transactions, leases and watches of the protocol, durable in one directory.

`Engine` is the store. Its `CommitQueue` executes operations and makes them durable, its `ReaderPool` serves reads, its
`LeaseTable` tracks when leases expire, and its `WatchFeed` serves watches. `StoreService` answers the protocol's
requests from an engine, and `InProcessClient` calls it without a socket.
"""

from tidebend.kvstore.directory_lock import DirectoryLock
from tidebend.kvstore.engine import Engine
from tidebend.kvstore.errors import (
    ConditionFailedError,
    DataDamagedError,
    DirectoryLockedError,
    LeaseEndedError,
    StoreUnavailableError,
)
from tidebend.kvstore.http_api import StoreService
from tidebend.kvstore.in_process import InProcessClient
from tidebend.kvstore.records import Item, Write

__all__ = [
    "ConditionFailedError",
    "DataDamagedError",
    "DirectoryLock",
    "DirectoryLockedError",
    "Engine",
    "InProcessClient",
    "Item",
    "LeaseEndedError",
    "StoreService",
    "StoreUnavailableError",
    "Write",
]
