"""Which format of records is in force: production's, or the one that came with pipelines.

Format 1 is what the version before pipelines reads and writes. A process of that version drops what it doesn't know,
so until none can come back, everything is written as it would write it. Each process announces the newest format that
it reads, for good; once every configured controller has, the leader raises the format, for good too.
"""

from __future__ import annotations

import logging
import sys

from tidebend.kvclient import LIVE, KeyValueClient, NotExecutedError, OutcomeUnknownError, WatchCache
from tidebend.settings import Settings

log = logging.getLogger("formats")

FORMAT = LIVE + "format"
READS = LIVE + "reads/"
PIPELINES = 2
NEWEST = PIPELINES


class SchemaVersion:
    def __init__(self, settings: Settings, state: KeyValueClient, cache: WatchCache) -> None:
        self.settings = settings
        self.state = state
        self.cache = cache

    @property
    def version(self) -> int:
        """The format in force, as far as we have read: it only grows, so that acting on an old reading is safe."""
        value, _ = self.cache.get(FORMAT)
        return value["version"] if value else 1

    @property
    def pipelines(self) -> bool:
        return self.version >= PIPELINES

    def announce(self) -> None:
        """Tell what this process reads. It stays when the process ends, which comes back no older."""
        key = READS + self.settings.name
        value, version = self.cache.get(key)
        if value is None or value["newest"] < NEWEST:
            self._put(key, {"newest": NEWEST}, {key: version})

    def raise_if_all_read(self, leader: dict[str, int]) -> None:
        """The leader raises the format; `leader` is the condition that it still leads."""
        if self.version >= NEWEST:
            return
        conditions = dict(leader)
        for name in (self.settings.name, *(peer.name for peer in self.settings.peers)):
            value, version = self.cache.get(READS + name)
            if value is None or value["newest"] < NEWEST:
                return
            conditions[READS + name] = version
        _, version = self.cache.get(FORMAT)
        self._put(FORMAT, {"version": NEWEST}, {**conditions, FORMAT: version})
        log.info("format %d is in force from now on; there is no way back below it", NEWEST)

    def _put(self, key: str, value: dict[str, int], conditions: dict[str, int]) -> None:
        self.cache.write(conditions, [(key, value, None)], "lease")


def show(settings: Settings) -> int:
    """For operators: what is in force, and whom the next format waits for."""
    state = KeyValueClient(settings.state, settings.state_limits, settings.controllers, timeout=2.0)
    try:
        value, _ = state.get(FORMAT)
        print(f"format {value['version'] if value else 1} is in force")
        for name in sorted((settings.name, *(peer.name for peer in settings.peers))):
            value, _ = state.get(READS + name)
            print(f"{name} reads up to format {value['newest'] if value else 1}")
    except (NotExecutedError, OutcomeUnknownError) as error:
        print(f"tidebend: the state service can't be read: {error}", file=sys.stderr)
        return 1
    return 0
