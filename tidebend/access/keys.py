"""The keys that agents, the control service and users know each other by.

A key is a secret in a file that only its owner can read. The file holds several while one takes another's place: the
newest is shown, all that haven't run out are accepted, so that nothing stops during a rotation.
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

# a file that changed is read again after this long at the latest
LOOK_S = 0.5


class KeyFileError(Exception):
    """The file of keys can't be used; the text names it and says why."""


class Key(msgspec.Struct, frozen=True):
    """A key, and until when it is in force."""

    name: str
    secret: str
    made: float  # time of day
    until: float | None = None  # time of day; None: in force

    def text(self) -> str:
        """What is shown: name and secret."""
        return f"{self.name}.{self.secret}"


class _File(msgspec.Struct, frozen=True):
    keys: list[Key]


def _fresh() -> Key:
    return Key(secrets.token_hex(4), secrets.token_urlsafe(32), time.time())


def _read(path: Path) -> list[Key]:
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            raw = file.read()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    if mode & 0o077:
        raise KeyFileError(f"{path}: others can read it (mode {mode & 0o777:o}); chmod 600 {path}")
    try:
        keys = msgspec.json.decode(raw, type=_File).keys
    except msgspec.DecodeError as error:
        raise KeyFileError(f"{path}: not a file of keys: {error}") from error
    if not keys:
        raise KeyFileError(f"{path}: holds no key")
    return keys


def _write(path: Path, keys: list[Key]) -> None:
    write_private(path, msgspec.json.format(msgspec.json.encode(_File(keys)), indent=2) + b"\n")


def create_keyring(path: Path) -> Key:
    """The first key; raises BadKeys if the file is there already."""
    if path.exists():
        raise KeyFileError(f"{path}: is there already; `keys rotate` makes another key")
    path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
    key = _fresh()
    _write(path, [key])
    return key


def rotate_keyring(path: Path, overlap_s: float) -> Key:
    """A new key; those before it are accepted for `overlap_s` seconds more, and what has run out is dropped."""
    now = time.time()
    old = [key for key in _read(path) if key.until is None or key.until > now]
    key = _fresh()
    _write(path, [*(k if k.until is not None else msgspec.structs.replace(k, until=now + overlap_s) for k in old), key])
    return key


class Keyring:
    """The file's keys, read again when it changes. A file that becomes unreadable leaves those known in force."""

    def __init__(self, path: Path) -> None:
        """Raises KeyFileError."""
        self.path = path
        self._lock = threading.Lock()
        self._looked = time.monotonic()
        self._stamp = self._stat()
        self._keys = _read(path)

    def _stat(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_ino

    def valid_keys(self) -> list[Key]:
        """Return the keys that are in force, read anew after a moment."""
        now = time.monotonic()
        with self._lock:
            if now - self._looked < LOOK_S:
                return self._keys
            self._looked = now
            before = self._stamp
        stamp = self._stat()  # no I/O under the lock: one thread looks, the others go on with what is known
        if stamp is not None and stamp != before:
            try:
                keys = _read(self.path)
            except KeyFileError:
                return self._keys
            with self._lock:
                self._stamp, self._keys = stamp, keys
        return self._keys

    def bearer_token(self) -> str:
        """The text of the newest key, for a header."""
        return self.valid_keys()[-1].text()

    def verify(self, text: str) -> str | None:
        """The name of the key that was shown, None if it isn't one of ours or has run out.

        Every key is compared, each in constant time, so that the time taken tells nothing.
        """
        now = time.time()
        shown = text.encode("utf-8", "surrogateescape")
        found = None
        for key in self.valid_keys():
            same = hmac.compare_digest(key.text().encode(), shown)
            if same and (key.until is None or key.until > now):
                found = key.name
        return found
