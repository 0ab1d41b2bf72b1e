"""The cloud's side of the cloud protocol: rentals, releases, and lists of machines and machine types.

`msgspec` validates requests and names the invalid field. Controllers (`run`) don't import this module.
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
    """A request for machines, as built by `machines.rental_request`."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)] = msgspec.field(name="charter")  # idempotency key
    kind: str = msgspec.field(name="hull")  # machine type
    zone: str = msgspec.field(name="harbor")
    spot: bool = msgspec.field(name="driftwood")
    count: Annotated[int, msgspec.Meta(ge=1, le=50)] = msgspec.field(name="howMany")


class Release(msgspec.Struct, frozen=True):
    """A request to release machines, by name."""

    machines: Annotated[list[str], msgspec.Meta(max_length=100)] = msgspec.field(name="fleet")


def machines_answer(machines: list[str]) -> dict[str, Any]:
    """Return the answer to a rental or a release: the names of the machines rented or released."""
    return {"fleet": machines}


def type_row(
    name: str, cpus: float, gpus: float, memory_gb: float, disk_gb: float, price: float, boot_s: float, zones: list[str]
) -> dict[str, Any]:
    """Return a row of `types_answer`. The spot price equals the regular price; images are fetched at 1 GB/s."""
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
    """Return the list of machine types."""
    return {"hulls": rows}


def machine_row(name: str, address: str | None, kind: str, zone: str, state: str, age_s: float) -> dict[str, Any]:
    """Return a row of `machine_page`; `address` is `HOST:PORT`."""
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
    """Return a page of the list of machines; `more` says whether further pages follow."""
    return {"fleet": rows, "more": more}
