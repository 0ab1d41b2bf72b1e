"""Who may come in: keys, the servers that ask for them, the clients that show them, and TLS beyond loopback."""

from tidebend.access.addresses import NotLoopback, place, safe_place
from tidebend.access.authentication import Gate
from tidebend.access.client import KeyedClient
from tidebend.access.keys import BadKeys, Key, Keyring, make_ring, rotate_ring
from tidebend.access.tls import BadCertificate, Tls, expires, make_certificate, trusting

__all__ = [
    "BadCertificate",
    "BadKeys",
    "Gate",
    "Key",
    "KeyedClient",
    "Keyring",
    "NotLoopback",
    "Tls",
    "expires",
    "make_certificate",
    "make_ring",
    "place",
    "rotate_ring",
    "safe_place",
    "trusting",
]
