"""Where something may listen: on this machine, or beyond it with TLS."""

from __future__ import annotations

import ipaddress


class NotLoopbackError(Exception):
    """Refused: beyond this machine the key would travel in the clear."""


def parse_address(text: str) -> tuple[str, int]:
    """`HOST:PORT`; port 0 is any free one. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.removeprefix("[").removesuffix("]"), int(port)


def parse_listen_address(text: str, tls: bool) -> tuple[str, int]:
    """The same, on the loopback interface unless there is TLS. Raises ValueError or NotLoopback."""
    host, port = parse_address(text)
    inside = host == "localhost"
    if any(letter in host for letter in ":0123456789") and not any(letter.isalpha() for letter in host):
        address = ipaddress.ip_address(host)
        if address.version != 4:
            raise ValueError(f"{text}: only IPv4 addresses are served")
        if address.is_unspecified:
            raise ValueError(f"{text}: name one address of this machine, since others are told to call it")
        inside = address.is_loopback
    if not inside and not tls:
        raise NotLoopbackError(
            f"{text}: beyond loopback nothing goes without TLS, since the key would travel in the clear; "
            "use an address in 127.0.0.0/8, or a tls block (`tidebend certs make`)"
        )
    return host, port
