"""Coordination records in the key-value store: keys and typed forms.

The stored field names are part of the schema and differ from the attribute names here. `pack` returns the stored form
and `unpack` reads it; `unpack` raises KeyError if a field is missing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tidebend.kvclient import LIVE

LEADER_KEY = LIVE + "leader"
NODE_PREFIX = LIVE + "node/"
SHARD_PREFIX = LIVE + "block/"
ZONE_PREFIX = LIVE + "zone/"
SCHEMA_VERSION_KEY = LIVE + "format"
READABLE_VERSION_PREFIX = LIVE + "reads/"


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The leader. The record is attached to the leader's lease; its revision is the leader's term."""

    node: str
    lease: int

    def pack(self) -> dict[str, Any]:
        """Return the record in its stored form."""
        return {"node": self.node, "lease": self.lease}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> LeaderRecord:
        """Return the typed form of a stored record."""
        return cls(value["node"], value["lease"])


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """A live controller. The record is attached to the controller's lease."""

    lease: int | None  # None if the record was written while the controller had no lease
    zone: str
    unreachable_shards: tuple[str, ...]  # shards of which the controller reaches no machine

    def pack(self) -> dict[str, Any]:
        """Return the record in its stored form."""
        return {"lease": self.lease, "zone": self.zone, "unheard": list(self.unreachable_shards)}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> NodeRecord:
        """Return the typed form of a stored record."""
        return cls(value["lease"], value["zone"], tuple(value.get("unheard", ())))


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """The holder of a shard. The record is attached to the holder's lease; its revision is the fencing token."""

    holder: str
    lease: int | None  # None if the holder's node record was written while the holder had no lease

    def pack(self) -> dict[str, Any]:
        """Return the record in its stored form."""
        return {"holder": self.holder, "lease": self.lease}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> ShardRecord:
        """Return the typed form of a stored record."""
        return cls(value["holder"], value["lease"])


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """An isolated zone: its own controller has lost contact with the store. The record is attached to no lease."""

    node: str
    isolated_at: float  # wall-clock time
    was_holding: bool  # whether that controller had reported that it holds the zone's shard

    def pack(self) -> dict[str, Any]:
        """Return the record in its stored form."""
        return {"node": self.node, "at": round(self.isolated_at, 3), "held": self.was_holding}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> ZoneRecord:
        """Return the typed form of a stored record."""
        return cls(value["node"], value["at"], value["held"])


@dataclass(frozen=True, slots=True)
class FormatRecord:
    """The schema version that is in force."""

    version: int

    def pack(self) -> dict[str, Any]:
        """Return the record in its stored form."""
        return {"version": self.version}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> FormatRecord:
        """Return the typed form of a stored record."""
        return cls(value["version"])


@dataclass(frozen=True, slots=True)
class ReadsRecord:
    """The newest schema version that a controller can read."""

    newest: int

    def pack(self) -> dict[str, Any]:
        """Return the record in its stored form."""
        return {"newest": self.newest}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> ReadsRecord:
        """Return the typed form of a stored record."""
        return cls(value["newest"])
