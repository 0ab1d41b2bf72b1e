"""Settings of an agent, read from an HCL file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from tidebend.access import NotLoopbackError, Tls, parse_listen_address
from tidebend.hcl import HclFile
from tidebend.messages.agents import Name


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent."""

    control: str  # HOST:PORT of the control service
    key_file: str
    data: str  # data directory
    kind: Name  # one of the control service's machine types
    label: Annotated[str, msgspec.Meta(max_length=100)] = ""
    listen: str = "127.0.0.1:0"
    # The agent ends itself after this time without an answer from the control service, in leases; 0: never.
    alone_leases: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    tls: Tls | None = None

    def data_directory(self) -> Path:
        """Return the data directory."""
        return Path(self.data)


def load_agent_settings(path: str) -> AgentSettings:
    """Read the settings. Raises HclFileError, which names the line, the field and what was expected."""
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
