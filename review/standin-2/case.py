"""What the scripts of all cases share: the record's place, the exit status, and whether the trouble is set off."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from cluster import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case didn't get as far as its disruption."""


def run(check: Callable[[Record], bool]) -> None:
    """Run a case and exit: `check` returns whether the rule held."""
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    # so that a script that is ended early ends its processes
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        held = check(record)
    except Exception as error:
        record(f"the case couldn't run: {error!r}")
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    record("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)


def expect(condition: bool, text: str) -> None:
    """End the case as one that couldn't run unless a condition holds."""
    if not condition:
        raise CouldNotRunError(text)
