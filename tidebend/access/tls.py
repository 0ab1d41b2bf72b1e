"""TLS beyond loopback: a private certificate authority, its certificates, and contexts for servers and clients.

Servers are authenticated by their certificate, clients by the key in the request header, which is sent only over TLS.
"""

from __future__ import annotations

import datetime
import ipaddress
import os
import ssl
from pathlib import Path
from typing import cast

import msgspec
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from tidebend.access.files import write_private

AUTHORITY, AUTHORITY_KEY = "authority.pem", "authority.key"
CERTIFICATE_DAYS = 825
AUTHORITY_DAYS = 3650


class CertificateError(Exception):
    """A certificate or its private key can't be used; the message names the file and the reason."""


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of the trusted authority's certificate, the own certificate, and its private key."""

    authority: str
    certificate: str
    key: str

    def server_context(self) -> ssl.SSLContext:
        """Return a context for servers. Raises CertificateError."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        for path in (self.certificate, self.key):
            if not os.access(path, os.R_OK):
                raise CertificateError(f"{path}: missing or not readable")
        if os.stat(self.key).st_mode & 0o077:
            raise CertificateError(f"{self.key}: accessible to other users; run chmod 600 {self.key}")
        expiry = certificate_expiry(Path(self.certificate))
        if expiry < datetime.datetime.now(datetime.UTC):
            raise CertificateError(
                f"{self.certificate}: expired on {expiry:%Y-%m-%d}; create a new one with `tidebend certs make`"
            )
        try:
            context.load_cert_chain(self.certificate, self.key)
        except (ssl.SSLError, OSError) as error:
            raise CertificateError(f"{self.certificate}, {self.key}: {error}") from error
        return context

    def client_context(self) -> ssl.SSLContext:
        """Return a context for clients. Raises CertificateError."""
        return client_ssl_context(self.authority)


def client_ssl_context(authority: str) -> ssl.SSLContext:
    """Return a context for clients that trusts servers certified by this authority. Raises CertificateError."""
    try:
        context = ssl.create_default_context(cafile=authority)
    except (ssl.SSLError, OSError) as error:
        raise CertificateError(f"{authority}: {error}") from error
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def certificate_expiry(path: Path) -> datetime.datetime:
    """Return when a certificate expires. Raises CertificateError."""
    try:
        return x509.load_pem_x509_certificate(path.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise CertificateError(f"{path}: {error}") from error


def make_certificate(directory: Path, name: str, hosts: list[str]) -> Tls:
    """Issue a certificate for these host names and addresses.

    It is signed by the authority in `directory`, which is created if there is none.
    """
    directory.mkdir(parents=True, exist_ok=True, mode=0o700)
    if not (directory / AUTHORITY).exists():
        _make_authority(directory)
    authority = x509.load_pem_x509_certificate((directory / AUTHORITY).read_bytes())
    signer = cast(
        "ec.EllipticCurvePrivateKey",
        serialization.load_pem_private_key((directory / AUTHORITY_KEY).read_bytes(), None),
    )
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _certificate_builder(hosts[0], authority.subject, key, CERTIFICATE_DAYS)
    builder = builder.add_extension(
        x509.SubjectAlternativeName([_alternative_name(host) for host in hosts]), critical=False
    )
    builder = builder.add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
    builder = builder.add_extension(x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH]), critical=False)
    builder = builder.add_extension(
        x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
    )
    write_private(directory / f"{name}.key", _private_pem(key))
    write_private(
        directory / f"{name}.pem", builder.sign(signer, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
    )
    return Tls(str(directory / AUTHORITY), str(directory / f"{name}.pem"), str(directory / f"{name}.key"))


def _make_authority(directory: Path) -> None:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "tidebend authority")])
    builder = _certificate_builder("tidebend authority", subject, key, AUTHORITY_DAYS)
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
    builder = builder.add_extension(
        x509.KeyUsage(
            digital_signature=True,
            key_cert_sign=True,
            crl_sign=True,
            content_commitment=False,
            key_encipherment=False,
            data_encipherment=False,
            key_agreement=False,
            encipher_only=False,
            decipher_only=False,
        ),
        critical=True,
    )
    write_private(directory / AUTHORITY_KEY, _private_pem(key))
    write_private(directory / AUTHORITY, builder.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM))


def _certificate_builder(
    name: str, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, days: int
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name[:64])])
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _alternative_name(text: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


def _private_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
