"""Versions of the package from the repository's history, to run beside each other."""

from __future__ import annotations

import importlib
import importlib.util
import io
import subprocess
import sys
import tarfile
import tomllib
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

from simulation.drivers import ControllerDriver
from simulation.former_driver import FormerControllerDriver, former_controller, former_failures

ROOT = Path(__file__).resolve().parents[1]


@dataclass(frozen=True)
class Version:
    """What the simulated world needs of a version of the package."""

    controller: Any
    settings: Any
    knobs: Any
    unreachable: type[Exception]
    no_answer: type[Exception]
    quiet: tuple[type[Exception], ...]
    reply: Any
    driver: type[ControllerDriver]  # what steps a controller of this version


def _loaded() -> dict[str, Any]:
    return {name: module for name, module in sys.modules.items() if name.partition(".")[0] == "tidebend"}


def current() -> Version:
    """The version that can be imported now, whichever names it has: today's or those of the version in production."""
    parts = {name: importlib.import_module(f"tidebend.{name}") for name in ("settings", "transport", "protocol")}
    if importlib.util.find_spec("tidebend.controller") is not None:
        driver: type[ControllerDriver] = ControllerDriver
        controller = importlib.import_module("tidebend.controller")
        kvclient = importlib.import_module("tidebend.kvclient")
        failures = (kvclient.NotExecutedError, kvclient.OutcomeUnknownError)
        unreachable, no_answer = parts["transport"].UnreachableError, parts["transport"].NoAnswerError
        invalid = parts["protocol"].InvalidMessageError
    else:
        driver = FormerControllerDriver
        controller, failures = former_controller(), former_failures()
        unreachable, no_answer = parts["transport"].Unreachable, parts["transport"].NoAnswer
        invalid = parts["protocol"].Invalid
    return Version(
        controller.Controller,
        parts["settings"].read_settings,
        parts["settings"].Knobs,
        unreachable,
        no_answer,
        (*failures, invalid),
        parts["transport"].Reply,
        driver,
    )


def production() -> Version | None:
    """None without the history that it is read from."""
    with open(ROOT / "deploy" / "service.toml", "rb") as source:
        return at(tomllib.load(source)["production"])


class VersionNotFoundError(Exception):
    """A commit isn't in the history at hand."""


def version_at(commit: str) -> Version:
    """The package as it was at a commit. Raises VersionNotFoundError."""
    version = at(commit)
    if version is None:
        raise VersionNotFoundError(f"no commit {commit} in the history at hand")
    return version


@cache
def at(commit: str) -> Version | None:
    """The package as it was at a commit; None where the history at hand doesn't have it."""
    done = subprocess.run(["git", "-C", str(ROOT), "archive", commit, "tidebend"], capture_output=True, check=False)
    if done.returncode:
        return None
    where = ROOT / "target" / "versions" / commit
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(where, filter="data")
    ours = _loaded()
    for name in ours:
        del sys.modules[name]
    sys.path.insert(0, str(where))
    try:
        return current()
    finally:
        sys.path.remove(str(where))
        for name in _loaded():
            del sys.modules[name]
        sys.modules.update(ours)
