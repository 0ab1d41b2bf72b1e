"""The cloud's side of its messages: rentals, releases, types of machines and lists of them."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from tidebend.protocol import PATH_RELEASE, PATH_RENT, PATH_TYPES

__all__ = [
    "PATH_RELEASE",
    "PATH_RENT",
    "PATH_TYPES",
    "Release",
    "Rental",
    "listed",
    "listing",
    "machine_type",
    "names",
    "types",
]


class Rental(msgspec.Struct, frozen=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)] = msgspec.field(name="charter")
    kind: str = msgspec.field(name="hull")
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    count: Annotated[int, msgspec.Meta(ge=1, le=50)] = msgspec.field(name="howMany")


class Release(msgspec.Struct, frozen=True):
    machines: Annotated[list[str], msgspec.Meta(max_length=100)] = msgspec.field(name="fleet")


def names(machines: list[str]) -> dict[str, Any]:
    return {"fleet": machines}


def machine_type(
    name: str, cpus: float, gpus: float, memory_gb: float, disk_gb: float, price: float, boot_s: float, zones: list[str]
) -> dict[str, Any]:
    return {
        "name": name,
        "vcpus": cpus,
        "accelerators": gpus,
        "memoryGb": memory_gb,
        "localGb": disk_gb,
        "fetchGbPerS": 1.0,
        "price": price,
        "spotPrice": price,
        "startupS": boot_s,
        "harbors": zones,
    }


def types(rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {"hulls": rows}


def listed(name: str, address: str | None, kind: str, zone: str, state: str, age_s: float) -> dict[str, Any]:
    state = {"booting": "starting"}.get(state, state)
    return {
        "id": name,
        "address": address,
        "hull": kind,
        "harbor": zone,
        "driftwood": False,
        "tide": state,
        "heldS": age_s,
    }


def listing(rows: list[dict[str, Any]], more: bool) -> dict[str, Any]:
    return {"fleet": rows, "more": more}
