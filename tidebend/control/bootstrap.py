"""The first start: settings for this machine, written where the user finds them."""

from __future__ import annotations

import os
from pathlib import Path

FILE = "control.hcl"
AGENTS = 3

TEXT = """# Made at the first `tidebend up`; yours to change. Every setting is explained in deploy/local.hcl.
listen = "127.0.0.1:0"

machine "local" {{
  cpus      = {cpus:g}
  memory_gb = {memory_gb:g}
  agents    = {agents}
}}

team "everyone" {{
}}
"""


def ensure_settings_file(directory: Path) -> Path:
    """The directory's settings; made from what this machine has if there are none yet."""
    path = directory / FILE
    if not path.exists():
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        cpus = max(1.0, (os.cpu_count() or 1) / AGENTS)
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1024**3
        path.write_text(TEXT.format(cpus=round(cpus, 2), memory_gb=round(0.8 * memory / AGENTS, 2), agents=AGENTS))
    return path
