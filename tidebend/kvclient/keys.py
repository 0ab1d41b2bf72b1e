"""Key prefixes in the store.

All keys under PREFIX are watched. Only keys under LIVE are read at startup, so that startup time doesn't depend on the
number of final states.
"""

from __future__ import annotations

PREFIX = "tidebend/"
LIVE = PREFIX + "live/"
FINAL = PREFIX + "final/"
