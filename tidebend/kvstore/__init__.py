"""The embedded state service: the protocol's keys, transactions, leases and changes, durable in one directory.

`Engine` is the store. Its `CommitQueue` executes operations and makes them durable, its `ReaderPool` reads, its
`LeaseClock` tells when leases expire, and its `WatchFeed` tells watches of changes. `StoreService` answers the
protocol's requests from an engine, and `InProcessClient` asks it without a socket.
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
