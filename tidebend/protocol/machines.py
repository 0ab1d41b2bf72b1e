"""The controller's side of the cloud protocol: builds requests and parses answers."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from tidebend.protocol.domain import MACHINE_BOOTING, ListedMachine, MachineType
from tidebend.protocol.fields import InvalidMessageError, number_field, parse_address, text_field

PATH_TYPES = "/flavors"
PATH_RENT = "/machines"
PATH_RELEASE = "/machines/release"

# Machine states whose name on the wire differs from the domain's: domain -> wire.
WIRE_MACHINE_STATES = {MACHINE_BOOTING: "starting"}
_STATE_BY_WIRE_NAME = {wire_name: state for state, wire_name in WIRE_MACHINE_STATES.items()}


def _machine_type(row: dict[str, Any]) -> MachineType:
    name = text_field(row, "name")
    price = number_field(row, "price")
    return MachineType(
        name=name,
        cpus=number_field(row, "vcpus"),
        gpus=number_field(row, "accelerators", default=0.0),
        memory_gb=number_field(row, "memoryGb"),
        cache_gb=number_field(row, "localGb", default=0.0),
        fetch_gb_per_s=number_field(row, "fetchGbPerS", default=1.0),
        price=price,
        spot_price=number_field(row, "spotPrice", default=price),
        boot_s=number_field(row, "startupS", default=0.0),
        zones=tuple(str(zone) for zone in row.get("harbors") or []),
    )


def parse_types(body: Any) -> dict[str, MachineType]:
    """Return the machine types that the cloud offers, by name. Raises InvalidMessageError."""
    if not isinstance(body, dict) or not isinstance(body.get("hulls"), list):
        raise InvalidMessageError("hulls must be a list")
    types = {}
    for row in body["hulls"]:
        if not isinstance(row, dict) or not isinstance(row.get("harbors") or [], list):
            raise InvalidMessageError("hulls must be a list of objects whose harbors are lists")
        machine_type = _machine_type(row)
        types[machine_type.name] = machine_type
    return types


def rental_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Return the body of a request for `count` machines.

    `name` is its idempotency key: a request that has rented any machines rents no more when it is repeated.
    """
    return {"charter": name, "hull": machine_type, "harbor": zone, "driftwood": spot, "howMany": count}


def release_request(names: list[str]) -> dict[str, Any]:
    """Return the body of a request that releases machines."""
    return {"fleet": names}


def _rows(body: Any) -> list[Any]:
    rows = body.get("fleet") if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise InvalidMessageError("fleet must be a list")
    return rows


def parse_rented(body: Any) -> list[str]:
    """Return the names of the rented machines. Raises InvalidMessageError."""
    return [name for name in _rows(body) if isinstance(name, str)]


def list_path(after: str, limit: int) -> str:
    """Return the path of a page of the list of machines: at most `limit`, starting after the name `after`."""
    return f"/machines?from={quote(after)}&page={limit}"


def _listed_machine(row: Any) -> ListedMachine:
    if not isinstance(row, dict):
        raise InvalidMessageError("fleet must be a list of objects")
    wire_state: Any = row.get("tide")
    state = _STATE_BY_WIRE_NAME.get(wire_state, wire_state)
    return ListedMachine(
        name=text_field(row, "id"),
        address=parse_address(row.get("address")),
        type=text_field(row, "hull"),
        zone=text_field(row, "harbor"),
        spot=row.get("driftwood") is True,
        state=str(state),
        age_s=number_field(row, "heldS", default=0.0),
    )


def parse_machine_page(body: Any) -> tuple[list[ListedMachine], bool]:
    """Return the machines of a page, and whether further pages follow. Raises InvalidMessageError."""
    return [_listed_machine(row) for row in _rows(body)], body.get("more") is True
