"""The schema version of the stored records, and its upgrade during a rolling upgrade of the controllers.

Version 1 is read and written by the release before pipelines, version 2 adds pipelines. A process of the older release
drops fields that it doesn't know, so records are written in version 1 until no such process can return. Each process
permanently announces the newest version that it reads; once every configured controller has announced the new one, the
leader puts it into force. This can't be undone.
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

READ_TIMEOUT_S = 2.0


class SchemaVersion:
    """The schema version in force according to the cache, and the steps that upgrade it."""

    def __init__(self, settings: Settings, client: KeyValueClient, cache: WatchCache) -> None:
        """An upgrade waits for the announcements of all controllers in the settings."""
        self.settings = settings
        self.client = client
        self.cache = cache
        self._has_logged_version = False

    @property
    def version(self) -> int:
        """The schema version in force according to the cache; it only grows, so a stale value is safe."""
        value, _ = self.cache.get(SCHEMA_VERSION_KEY)
        return _version_in_force(value)

    @property
    def supports_pipelines(self) -> bool:
        """Whether records may contain the fields that were added with pipelines."""
        return self.version >= PIPELINES_VERSION

    def announce(self) -> None:
        """Record the newest schema version that this process reads, unless it is already recorded.

        The record outlives the process, which is never restarted with an older release. Raises the errors of
        `WatchCache.write`.
        """
        if not self._has_logged_version:
            self._has_logged_version = True
            log.info("schema version %d is in force as of revision %d", self.version, self.cache.revision)
        key = READABLE_VERSION_PREFIX + self.settings.name
        value, version = self.cache.get(key)
        if _newest_readable(value) < NEWEST_VERSION:
            self._put(key, ReadsRecord(NEWEST_VERSION).pack(), {key: version})
            log.info("announced that this process reads up to schema version %d", NEWEST_VERSION)

    def upgrade_if_all_support(self, leader: Mapping[str, int]) -> None:
        """Put the newest schema version into force if all controllers have announced that they read it.

        `leader` is the transaction condition that this controller still leads. Raises the errors of
        `WatchCache.write`.
        """
        if self.version >= NEWEST_VERSION:
            return
        conditions = dict(leader)
        for name in _controller_names(self.settings):
            value, version = self.cache.get(READABLE_VERSION_PREFIX + name)
            if _newest_readable(value) < NEWEST_VERSION:
                return
            conditions[READABLE_VERSION_PREFIX + name] = version
        _, version = self.cache.get(SCHEMA_VERSION_KEY)
        self._put(SCHEMA_VERSION_KEY, FormatRecord(NEWEST_VERSION).pack(), {**conditions, SCHEMA_VERSION_KEY: version})
        log.info("upgraded to schema version %d; a downgrade is not possible", NEWEST_VERSION)

    def _put(self, key: str, value: dict[str, Any], conditions: dict[str, int]) -> None:
        self.cache.write(conditions, [(key, value, None)], RequestKind.LEASE)


def print_schema_versions(settings: Settings) -> int:
    """Print the schema version in force and the newest one that each controller reads; return the exit status."""
    client = KeyValueClient(settings.state, settings.store_limits, settings.controller_count, timeout=READ_TIMEOUT_S)
    try:
        value, _ = client.get(SCHEMA_VERSION_KEY)
        print(f"schema version {_version_in_force(value)} is in force")
        for name in sorted(_controller_names(settings)):
            value, _ = client.get(READABLE_VERSION_PREFIX + name)
            print(f"{name} reads up to schema version {_newest_readable(value)}")
    except (NotExecutedError, OutcomeUnknownError) as error:
        print(f"tidebend: can't read the key-value store: {error}", file=sys.stderr)
        return 1
    return 0


def _controller_names(settings: Settings) -> tuple[str, ...]:
    return settings.name, *(peer.name for peer in settings.peers)


def _version_in_force(value: Any) -> int:
    return FormatRecord.unpack(value).version if value else FIRST_VERSION


def _newest_readable(value: Any) -> int:
    return ReadsRecord.unpack(value).newest if value else FIRST_VERSION
