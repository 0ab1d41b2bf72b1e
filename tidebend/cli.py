"""The command line. A controller on the platform imports no module of the control service, agents or clients."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from tidebend import __version__
from tidebend.settings import SettingsError, load_settings

# implemented in `tidebend.client`; each has its own --help
CLIENT_COMMANDS = (
    "up",
    "control",
    "agent",
    "submit",
    "status",
    "list",
    "wait",
    "logs",
    "cancel",
    "agents",
    "top",
    "keys",
    "certs",
)

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for the arguments of a controller on the platform."""
    parser = argparse.ArgumentParser(
        prog="tidebend",
        description="One controller of a tidebend cluster. Without a command it runs until it is killed.",
        epilog="The environment variable LOG_LEVEL (error, info, debug) sets the level of the log on standard error. "
        f"Commands for a cluster on your own machines: {', '.join(CLIENT_COMMANDS)} (see `tidebend up --help`).",
    )
    parser.add_argument(
        "command",
        nargs="?",
        choices=["run", "check-config", "format"],
        default="run",
        help="run the controller (default), only check the settings, or show the schema version of records in use "
        "and the versions that each controller supports",
    )
    parser.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    parser.add_argument("--knobs", metavar="FILE", help="the operators' settings (HCL); defaults apply without it")
    parser.add_argument("--version", action="version", version=f"tidebend {__version__}")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command given by the arguments.

    Returns the exit status: 0, 1 for a failed command, or 2 for invalid arguments or settings.
    """
    argv = sys.argv[1:] if argv is None else argv
    if argv and argv[0] in CLIENT_COMMANDS:
        from tidebend.client import main as client_main

        return client_main(argv)
    arguments = build_parser().parse_args(argv)
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO),
        format="%(levelname)s %(name)s: %(message)s",
    )
    try:
        settings = load_settings(arguments.config, arguments.knobs)
    except SettingsError as error:
        print(f"tidebend: {error}", file=sys.stderr)
        return 2
    if arguments.command == "check-config":
        print(f"{arguments.config}: valid for {settings.name} of {len(settings.peers) + 1} controllers")
        return 0
    if arguments.command == "format":
        from tidebend.coordination.schema_version import print_schema_versions

        return print_schema_versions(settings)
    from tidebend.controller import run  # imported only when needed

    run(settings)
    return 0
