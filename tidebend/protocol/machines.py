"""Requests to the cloud and what it answers."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from tidebend.protocol.domain import ListedMachine, MachineType
from tidebend.protocol.fields import Invalid, address, number, text

PATH_TYPES = "/flavors"
PATH_RENT = "/machines"
PATH_RELEASE = "/machines/release"


def parse_types(body: Any) -> dict[str, MachineType]:
    if not isinstance(body, dict) or not isinstance(body.get("hulls"), list):
        raise Invalid("hulls is missing")
    types = {}
    for row in body["hulls"]:
        if not isinstance(row, dict) or not isinstance(row.get("harbors") or [], list):
            raise Invalid("hulls must hold objects")
        name = text(row, "name")
        price = number(row, "price")
        types[name] = MachineType(
            name,
            number(row, "vcpus"),
            number(row, "accelerators", default=0.0),
            number(row, "memoryGb"),
            number(row, "localGb", default=0.0),
            number(row, "fetchGbPerS", default=1.0),
            price,
            number(row, "spotPrice", default=price),
            number(row, "startupS", default=0.0),
            tuple(str(zone) for zone in row.get("harbors") or []),
        )
    return types


def rent(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"charter": name, "hull": machine_type, "harbor": zone, "driftwood": spot, "howMany": count}


def release(names: list[str]) -> dict[str, Any]:
    return {"fleet": names}


def parse_rented(body: Any) -> list[str]:
    rows = body.get("fleet") if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise Invalid("fleet is missing")
    return [name for name in rows if isinstance(name, str)]


def list_path(after: str, limit: int) -> str:
    return f"/machines?from={quote(after)}&page={limit}"


def parse_listed(body: Any) -> tuple[list[ListedMachine], bool]:
    rows = body.get("fleet") if isinstance(body, dict) else None
    if not isinstance(rows, list):
        raise Invalid("fleet is missing")
    listed = []
    for row in rows:
        if not isinstance(row, dict):
            raise Invalid("fleet must hold objects")
        state = {"starting": "booting"}.get(row.get("tide"), row.get("tide"))
        listed.append(
            ListedMachine(
                text(row, "id"),
                address(row.get("address")),
                text(row, "hull"),
                text(row, "harbor"),
                row.get("driftwood") is True,
                str(state),
                number(row, "heldS", default=0.0),
            )
        )
    return listed, body.get("more") is True
