"""The cloud's side of its messages: rentals, releases, types of machines and lists of them.

`msgspec` checks requests and names the field that is wrong. Not imported by `run`, which has the other side.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from tidebend.protocol.machines import PATH_RELEASE, PATH_RENT, PATH_TYPES, WIRE_MACHINE_STATES

__all__ = [
    "PATH_RELEASE",
    "PATH_RENT",
    "PATH_TYPES",
    "Release",
    "Rental",
    "machine_page",
    "machine_row",
    "machines_answer",
    "type_row",
    "types_answer",
]


class Rental(msgspec.Struct, frozen=True):
    """A request for machines, as `machines.rental_request` builds it."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)] = msgspec.field(name="charter")  # idempotency key
    kind: str = msgspec.field(name="hull")  # name of the machines' type
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    count: Annotated[int, msgspec.Meta(ge=1, le=50)] = msgspec.field(name="howMany")


class Release(msgspec.Struct, frozen=True):
    """A request to take machines back, by their names."""

    machines: Annotated[list[str], msgspec.Meta(max_length=100)] = msgspec.field(name="fleet")


def machines_answer(machines: list[str]) -> dict[str, Any]:
    """The answer to a rental or a release: the machines that it concerns."""
    return {"fleet": machines}


def type_row(
    name: str, cpus: float, gpus: float, memory_gb: float, disk_gb: float, price: float, boot_s: float, zones: list[str]
) -> dict[str, Any]:
    """A type of machine in `types_answer`. Spot machines cost the same; images are fetched at 1 GB a second."""
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


def types_answer(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """The answer that lists the types of machines."""
    return {"hulls": rows}


def machine_row(name: str, address: str | None, kind: str, zone: str, state: str, age_s: float) -> dict[str, Any]:
    """A machine as `machine_page` lists it; `address` is `HOST:PORT`."""
    return {
        "id": name,
        "address": address,
        "hull": kind,
        "harbor": zone,
        "driftwood": False,
        "tide": WIRE_MACHINE_STATES.get(state, state),
        "heldS": age_s,
    }


def machine_page(rows: list[dict[str, Any]], more: bool) -> dict[str, Any]:
    """A page of the list of machines, and whether there are more after it."""
    return {"fleet": rows, "more": more}
