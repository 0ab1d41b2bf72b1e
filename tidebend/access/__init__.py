"""Authentication: keys, servers that require them, clients that send them, and TLS beyond the loopback interface."""

from tidebend.access.addresses import NotLoopbackError, parse_address, parse_listen_address
from tidebend.access.authentication import AuthenticatedServer
from tidebend.access.client import KeyedClient
from tidebend.access.keys import Key, KeyFileError, Keyring, create_keyring, rotate_keyring
from tidebend.access.tls import CertificateError, Tls, certificate_expiry, client_ssl_context, make_certificate

__all__ = [
    "AuthenticatedServer",
    "CertificateError",
    "Key",
    "KeyFileError",
    "KeyedClient",
    "Keyring",
    "NotLoopbackError",
    "Tls",
    "certificate_expiry",
    "client_ssl_context",
    "create_keyring",
    "make_certificate",
    "parse_address",
    "parse_listen_address",
    "rotate_keyring",
]
