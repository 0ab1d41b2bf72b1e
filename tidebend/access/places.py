"""Where something may listen: on this machine only, as long as there is no TLS."""

from __future__ import annotations

import ipaddress


class NotLoopback(Exception):
    """Refused: beyond this machine the key would travel in the clear."""


def loopback(text: str) -> tuple[str, int]:
    """`HOST:PORT` on the loopback interface; port 0 is any free one. Raises ValueError or NotLoopback."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    try:
        inside = ipaddress.ip_address(host).is_loopback
    except ValueError:
        inside = host == "localhost"
    if not inside:
        raise NotLoopback(f"{text}: beyond loopback nothing listens without TLS, which this version doesn't have yet; "
                          "use an address in 127.0.0.0/8")
    return host, int(port)
