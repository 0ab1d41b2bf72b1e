"""The coordination records in the key-value store: their keys, and their typed forms.

The names of fields as stored are part of the store's format and differ from the attributes here. `pack` returns what is
stored, `unpack` reads it; a record that lacks a field raises KeyError.
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
    """Which controller leads. It is attached to the leader's lease; its revision is the leader's term."""

    node: str
    lease: int

    def pack(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"node": self.node, "lease": self.lease}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> LeaderRecord:
        """Read a stored record."""
        return cls(value["node"], value["lease"])


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """A live controller. It is attached to the controller's lease."""

    lease: int | None  # None if it was written while the controller had no lease
    zone: str
    unreachable_shards: tuple[str, ...]  # the shards of which it reaches no machine

    def pack(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"lease": self.lease, "zone": self.zone, "unheard": list(self.unreachable_shards)}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> NodeRecord:
        """Read a stored record."""
        return cls(value["lease"], value["zone"], tuple(value.get("unheard", ())))


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Which controller holds a shard. It is attached to the holder's lease; its revision is the fencing token."""

    holder: str
    lease: int | None  # None if the holder's node record was written while it had no lease

    def pack(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"holder": self.holder, "lease": self.lease}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> ShardRecord:
        """Read a stored record."""
        return cls(value["holder"], value["lease"])


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """An isolated zone: its own controller has lost contact with the store. It is attached to no lease."""

    node: str
    isolated_at: float  # time of day
    was_holding: bool  # whether that controller had said itself that it holds the zone's shard

    def pack(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"node": self.node, "at": round(self.isolated_at, 3), "held": self.was_holding}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> ZoneRecord:
        """Read a stored record."""
        return cls(value["node"], value["at"], value["held"])


@dataclass(frozen=True, slots=True)
class FormatRecord:
    """The format of records that is in force."""

    version: int

    def pack(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"version": self.version}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> FormatRecord:
        """Read a stored record."""
        return cls(value["version"])


@dataclass(frozen=True, slots=True)
class ReadsRecord:
    """The newest format of records that a controller reads."""

    newest: int

    def pack(self) -> dict[str, Any]:
        """The record as it is stored."""
        return {"newest": self.newest}

    @classmethod
    def unpack(cls, value: Mapping[str, Any]) -> ReadsRecord:
        """Read a stored record."""
        return cls(value["newest"])
