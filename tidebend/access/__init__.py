"""Who may come in: keys, the servers that ask for them, and the clients that show them."""

from tidebend.access.client import KeyedClient
from tidebend.access.gate import Gate
from tidebend.access.keys import BadKeys, Key, Keyring, make_ring, rotate_ring
from tidebend.access.places import NotLoopback, loopback

__all__ = ["Gate", "Key", "BadKeys", "KeyedClient", "Keyring", "NotLoopback", "loopback", "make_ring", "rotate_ring"]
