"""Which format of records is in force: production's, or the one that came with pipelines.

Format 1 is what the version before pipelines reads and writes. A process of that version drops what it doesn't know,
so until none can come back, everything is written as it would write it. Each process announces the newest format that
it reads, for good; once every configured controller has, the leader raises the format, for good too.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping
from typing import Any

from tidebend.coordination.records import READABLE_VERSION_PREFIX, SCHEMA_VERSION_KEY, FormatRecord, ReadsRecord
from tidebend.kvclient import KeyValueClient, NotExecutedError, OutcomeUnknownError, RequestKind, WatchCache
from tidebend.settings import Settings

__all__ = [
    "NEWEST_VERSION",
    "PIPELINES_VERSION",
    "READABLE_VERSION_PREFIX",
    "SCHEMA_VERSION_KEY",
    "SchemaVersion",
    "print_schema_versions",
]

log = logging.getLogger("schema_version")

FIRST_VERSION = 1
PIPELINES_VERSION = 2
NEWEST_VERSION = PIPELINES_VERSION

SHOW_TIMEOUT_S = 2.0


class SchemaVersion:
    """The format in force, as of the cache, and what is done to raise it."""

    def __init__(self, settings: Settings, client: KeyValueClient, cache: WatchCache) -> None:
        """The controllers whose announcements are waited for are those of the settings."""
        self.settings = settings
        self.client = client
        self.cache = cache
        self._has_logged_version = False

    @property
    def version(self) -> int:
        """The format in force, as far as we have read: it only grows, so that acting on an old reading is safe."""
        value, _ = self.cache.get(SCHEMA_VERSION_KEY)
        return _version_in_force(value)

    @property
    def supports_pipelines(self) -> bool:
        """Whether records may hold what came with pipelines."""
        return self.version >= PIPELINES_VERSION

    def announce(self) -> None:
        """Write the newest format that this process reads, unless that is on record.

        It stays when the process ends, which comes back no older. Raises as the client does.
        """
        if not self._has_logged_version:
            self._has_logged_version = True
            log.info("schema version %d is in force as of revision %d", self.version, self.cache.revision)
        key = READABLE_VERSION_PREFIX + self.settings.name
        value, version = self.cache.get(key)
        if _newest_read(value) < NEWEST_VERSION:
            self._put(key, ReadsRecord(NEWEST_VERSION).pack(), {key: version})
            log.info("announced that this process reads up to schema version %d", NEWEST_VERSION)

    def upgrade_if_all_support(self, leader: Mapping[str, int]) -> None:
        """Raise the format if all controllers read it; `leader` is the condition that we still lead.

        Raises as the client does.
        """
        if self.version >= NEWEST_VERSION:
            return
        conditions = dict(leader)
        for name in _controllers(self.settings):
            value, version = self.cache.get(READABLE_VERSION_PREFIX + name)
            if _newest_read(value) < NEWEST_VERSION:
                return
            conditions[READABLE_VERSION_PREFIX + name] = version
        _, version = self.cache.get(SCHEMA_VERSION_KEY)
        self._put(SCHEMA_VERSION_KEY, FormatRecord(NEWEST_VERSION).pack(), {**conditions, SCHEMA_VERSION_KEY: version})
        log.info("schema version %d is in force from now on; there is no way back below it", NEWEST_VERSION)

    def _put(self, key: str, value: dict[str, Any], conditions: dict[str, int]) -> None:
        self.cache.write(conditions, [(key, value, None)], RequestKind.LEASE)


def print_schema_versions(settings: Settings) -> int:
    """Print for operators what is in force, and whom the next format waits for; returns the exit status."""
    client = KeyValueClient(settings.state, settings.store_limits, settings.controller_count, timeout=SHOW_TIMEOUT_S)
    try:
        value, _ = client.get(SCHEMA_VERSION_KEY)
        print(f"format {_version_in_force(value)} is in force")
        for name in sorted(_controllers(settings)):
            value, _ = client.get(READABLE_VERSION_PREFIX + name)
            print(f"{name} reads up to format {_newest_read(value)}")
    except (NotExecutedError, OutcomeUnknownError) as error:
        print(f"tidebend: the state service can't be read: {error}", file=sys.stderr)
        return 1
    return 0


def _controllers(settings: Settings) -> tuple[str, ...]:
    return settings.name, *(peer.name for peer in settings.peers)


def _version_in_force(value: Any) -> int:
    return FormatRecord.unpack(value).version if value else FIRST_VERSION


def _newest_read(value: Any) -> int:
    return ReadsRecord.unpack(value).newest if value else FIRST_VERSION
