"""Addresses to listen on: loopback only, unless TLS is configured."""

from __future__ import annotations

import ipaddress


class NotLoopbackError(Exception):
    """An address beyond loopback without TLS, where the key would be sent in clear text."""


def parse_address(text: str) -> tuple[str, int]:
    """Parse `HOST:PORT`; port 0 means any free port. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.removeprefix("[").removesuffix("]"), int(port)


def parse_listen_address(text: str, tls: bool) -> tuple[str, int]:
    """Parse `HOST:PORT`, which must be on the loopback interface unless TLS is used.

    Raises ValueError or NotLoopbackError.
    """
    host, port = parse_address(text)
    loopback = host == "localhost"
    if any(letter in host for letter in ":0123456789") and not any(letter.isalpha() for letter in host):
        address = ipaddress.ip_address(host)
        if address.version != 4:
            raise ValueError(f"{text}: only IPv4 addresses are supported")
        if address.is_unspecified:
            raise ValueError(f"{text}: name one address of this machine, since peers connect to the address given here")
        loopback = address.is_loopback
    if not loopback and not tls:
        raise NotLoopbackError(
            f"{text}: beyond loopback the key would be sent in clear text without TLS; "
            "use an address in 127.0.0.0/8, or add a tls block (`tidebend certs make`)"
        )
    return host, port
