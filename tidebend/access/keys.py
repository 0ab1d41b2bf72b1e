"""Shared keys with which agents, the control service and users authenticate to each other.

Keys are kept in a file that only its owner can read. During a rotation the file holds several: clients send the newest,
servers accept all that haven't expired, so that a rotation interrupts nothing.
"""

from __future__ import annotations

import hmac
import os
import secrets
import threading
import time
from pathlib import Path

import msgspec

from tidebend.access.files import write_private

# A changed key file is read again after this time at the latest.
CHECK_INTERVAL_S = 0.5


class KeyFileError(Exception):
    """The key file can't be used; the message names the file and the reason."""


class Key(msgspec.Struct, frozen=True):
    """A key and when it expires."""

    name: str
    secret: str
    made: float  # wall-clock time of creation
    until: float | None = None  # wall-clock time of expiry; None: doesn't expire

    def credential(self) -> str:
        """Return the text that clients send: name and secret."""
        return f"{self.name}.{self.secret}"


class _File(msgspec.Struct, frozen=True):
    keys: list[Key]


def _generate_key() -> Key:
    return Key(secrets.token_hex(4), secrets.token_urlsafe(32), time.time())


def _read_keys(path: Path) -> list[Key]:
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            raw = file.read()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    if mode & 0o077:
        raise KeyFileError(f"{path}: accessible to other users (mode {mode & 0o777:o}); run chmod 600 {path}")
    try:
        keys = msgspec.json.decode(raw, type=_File).keys
    except msgspec.DecodeError as error:
        raise KeyFileError(f"{path}: not a key file: {error}") from error
    if not keys:
        raise KeyFileError(f"{path}: contains no key")
    return keys


def _write_keys(path: Path, keys: list[Key]) -> None:
    write_private(path, msgspec.json.format(msgspec.json.encode(_File(keys)), indent=2) + b"\n")


def create_keyring(path: Path) -> Key:
    """Create the key file and return its first key. Raises KeyFileError if the file exists."""
    if path.exists():
        raise KeyFileError(f"{path}: already exists; use `keys rotate` to add a key")
    path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
    key = _generate_key()
    _write_keys(path, [key])
    return key


def rotate_keyring(path: Path, overlap_s: float) -> Key:
    """Add a new key and return it; earlier keys expire after `overlap_s` seconds, expired ones are removed."""
    now = time.time()
    old = [key for key in _read_keys(path) if key.until is None or key.until > now]
    key = _generate_key()
    _write_keys(
        path, [*(k if k.until is not None else msgspec.structs.replace(k, until=now + overlap_s) for k in old), key]
    )
    return key


class Keyring:
    """The keys of a file, read again when it changes. If the file becomes unreadable, the loaded keys stay valid."""

    def __init__(self, path: Path) -> None:
        """Raises KeyFileError."""
        self.path = path
        self._lock = threading.Lock()
        self._checked_at = time.monotonic()
        self._loaded_version = self._file_version()
        self._keys = _read_keys(path)

    def _file_version(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_ino

    def valid_keys(self) -> list[Key]:
        """Return the keys of the file, read again if it has changed since the last check."""
        now = time.monotonic()
        with self._lock:
            if now - self._checked_at < CHECK_INTERVAL_S:
                return self._keys
            self._checked_at = now
            loaded = self._loaded_version
        version = (
            self._file_version()
        )  # no I/O under the lock: one thread checks the file while others use the loaded keys
        if version is not None and version != loaded:
            try:
                keys = _read_keys(self.path)
            except KeyFileError:
                return self._keys
            with self._lock:
                self._loaded_version, self._keys = version, keys
        return self._keys

    def bearer_token(self) -> str:
        """Return the newest key as sent in the Authorization header."""
        return self.valid_keys()[-1].credential()

    def verify(self, credential: str) -> str | None:
        """Return the name of the key that was sent, None if it is unknown or has expired.

        Every key is compared in constant time, so that response times reveal nothing about the keys.
        """
        now = time.time()
        encoded = credential.encode("utf-8", "surrogateescape")
        key_name = None
        for key in self.valid_keys():
            matches = hmac.compare_digest(key.credential().encode(), encoded)
            if matches and (key.until is None or key.until > now):
                key_name = key.name
        return key_name
