"""Starts tidebend: everything else is in the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from tidebend.cli import main

if __name__ == "__main__":
    sys.exit(main())
