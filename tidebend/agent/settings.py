"""An agent's own settings, from an HCL file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from tidebend.access import NotLoopbackError, Tls, parse_listen_address
from tidebend.hcl import HclFile
from tidebend.messages.agents import Name


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An agent's settings, as its file has them."""

    control: str  # HOST:PORT of the control service
    key_file: str
    data: str  # the agent's own directory
    kind: Name  # one of the control service's machine types
    label: Annotated[str, msgspec.Meta(max_length=100)] = ""
    listen: str = "127.0.0.1:0"
    # ends itself after so many leases in which it heard nothing of the control service; 0: never
    alone_leases: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    tls: Tls | None = None

    def place(self) -> Path:
        """Return the agent's own directory."""
        return Path(self.data)


def load_agent_settings(path: str) -> AgentSettings:
    """Raises HclFileError, which names line, field and what was expected."""
    file = HclFile(path)
    values = dict(file.values)
    if "tls" in values:
        values["tls"] = file.block("tls", Tls)
    settings = file.check(values, AgentSettings)
    for field in ("control", "listen"):
        try:
            parse_listen_address(getattr(settings, field), settings.tls is not None)
        except (ValueError, NotLoopbackError) as error:
            raise file.error((field,), str(error)) from error
    return settings
