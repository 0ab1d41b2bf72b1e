"""Entry point of `python -m tidebend`."""

import sys

from tidebend.cli import main

sys.exit(main())
