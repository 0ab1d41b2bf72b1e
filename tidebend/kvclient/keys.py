"""Where our keys lie."""

from __future__ import annotations

# Everything of ours is watched; only what is live is read at the start, so that a long past costs nothing.
PREFIX = "tidebend/"
LIVE = PREFIX + "live/"
FINAL = PREFIX + "final/"
