"""Default settings for this machine, written to the data directory at the first start."""

from __future__ import annotations

import os
from pathlib import Path

SETTINGS_FILE = "control.hcl"
DEFAULT_AGENTS = 3

TEMPLATE = """# Created by the first `tidebend up`; edit it as needed. All settings are described in deploy/local.hcl.
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
    """Return the path of the directory's settings file; create it, with this machine's resources, if there is none."""
    path = directory / SETTINGS_FILE
    if not path.exists():
        directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        cpus = max(1.0, (os.cpu_count() or 1) / DEFAULT_AGENTS)
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1024**3
        path.write_text(
            TEMPLATE.format(
                cpus=round(cpus, 2), memory_gb=round(0.8 * memory / DEFAULT_AGENTS, 2), agents=DEFAULT_AGENTS
            )
        )
    return path
