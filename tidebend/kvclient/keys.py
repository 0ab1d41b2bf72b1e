"""The prefixes of our keys in the store.

Everything of ours is watched; only what is live is read at the start, so that a long past costs nothing.
"""

from __future__ import annotations

PREFIX = "tidebend/"
LIVE = PREFIX + "live/"
FINAL = PREFIX + "final/"
