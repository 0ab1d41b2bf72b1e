"""The command line. A controller on the platform imports nothing of the control service, agents or clients."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from tidebend import __version__
from tidebend.settings import SettingsError, load_settings

# for these `tidebend.client` is imported; each has a --help of its own
PRODUCT = (
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

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    """The arguments of a controller on the platform."""
    top = argparse.ArgumentParser(
        prog="tidebend",
        description="One controller of a tidebend cluster. Without a command it runs until it is killed.",
        epilog="LOG_LEVEL in the environment (error, info, debug) says how much is logged to standard error. "
        f"On machines of your own: {', '.join(PRODUCT)} (see `tidebend up --help`).",
    )
    top.add_argument(
        "command",
        nargs="?",
        choices=["run", "check-config", "format"],
        default="run",
        help="run the controller (default), only check the settings, or show the format of records that "
        "is in force and what each controller reads",
    )
    top.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    top.add_argument("--knobs", metavar="FILE", help="the operators' own settings (HCL); the defaults hold without it")
    top.add_argument("--version", action="version", version=f"tidebend {__version__}")
    return top


def main(argv: list[str] | None = None) -> int:
    """Run the command that the arguments name.

    Returns the exit status: 0, 1 for a command that failed, or 2 for arguments or settings that can't be used.
    """
    argv = sys.argv[1:] if argv is None else argv
    if argv and argv[0] in PRODUCT:
        from tidebend.client import main as product

        return product(argv)
    arguments = parser().parse_args(argv)
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO),
        format="%(levelname)s %(name)s: %(message)s",
    )
    try:
        settings = load_settings(arguments.config, arguments.knobs)
    except SettingsError as error:
        print(f"tidebend: {error}", file=sys.stderr)
        return 2
    if arguments.command == "check-config":
        print(f"{arguments.config}: fine for {settings.name} of {len(settings.peers) + 1} controllers")
        return 0
    if arguments.command == "format":
        from tidebend.coordination.schema_version import print_schema_versions

        return print_schema_versions(settings)
    from tidebend.controller import run  # the rest is imported only when it is needed

    run(settings)
    return 0
