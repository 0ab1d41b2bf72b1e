"""Loads versions of the package from the repository's history, to run several in one process."""

from __future__ import annotations

import importlib
import importlib.util
import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

from simulation.drivers import ControllerDriver
from simulation.former_driver import FormerControllerDriver, former_controller, former_failures

ROOT = Path(__file__).resolve().parents[1]
SOURCES = ROOT / "target" / "version-sources"  # a directory for each commit


@dataclass(frozen=True)
class Version:
    """The classes and functions that the simulation uses from one version of the package."""

    controller: Any
    settings: Any
    knobs: Any
    unreachable: type[Exception]
    no_answer: type[Exception]
    quiet: tuple[type[Exception], ...]  # errors that a controller's own loops catch
    reply: Any
    driver: type[ControllerDriver]  # runs controllers of this version


def _loaded() -> dict[str, Any]:
    return {name: module for name, module in sys.modules.items() if name.partition(".")[0] == "tidebend"}


def current() -> Version:
    """Return the version on the import path, with either the current names or those of the version in production."""
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
    """Return the version in production; None if its commit isn't in the local history."""
    with open(ROOT / "deploy" / "service.toml", "rb") as source:
        return at(tomllib.load(source)["production"])


class VersionNotFoundError(Exception):
    """A commit isn't in the local history."""


def version_at(commit: str) -> Version:
    """Return the package as it was at a commit. Raises VersionNotFoundError."""
    version = at(commit)
    if version is None:
        raise VersionNotFoundError(f"no commit {commit} in the local history")
    return version


@cache
def at(commit: str) -> Version | None:
    """Return the package as it was at a commit; None if the local history doesn't have it."""
    full = _git("rev-parse", "--verify", "--quiet", f"{commit}^{{commit}}")
    if full is None:
        return None
    where = _lay_out(full.decode().strip())
    return None if where is None else _import_from(where)


def _git(*arguments: str) -> bytes | None:
    """Return what a git command prints; None if it fails."""
    done = subprocess.run(["git", "-C", str(ROOT), *arguments], capture_output=True, check=False)
    return None if done.returncode else done.stdout


def _lay_out(commit: str) -> Path | None:
    """Return the directory with the package as it was at a commit; None if the local history doesn't have it.

    `commit`: the full hash. A directory is complete once it exists and doesn't change afterwards, since other processes
    may lay out the same commit or import from it at the same time.
    """
    where = SOURCES / commit
    if where.exists():
        return where
    archived = _git("archive", commit, "tidebend")
    if archived is None:
        return None
    SOURCES.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=SOURCES, prefix="incomplete-") as incomplete:
        extracted = Path(incomplete) / commit
        with tarfile.open(fileobj=io.BytesIO(archived)) as archive:
            archive.extractall(extracted, filter="data")
        try:
            extracted.rename(where)
        except OSError:
            if not where.exists():  # otherwise another process was faster
                raise
    return where


def _import_from(where: Path) -> Version:
    """Import the package from a directory without replacing the modules that are imported already."""
    ours = _loaded()
    for name in ours:
        del sys.modules[name]
    sys.path.insert(0, str(where))
    importlib.invalidate_caches()
    try:
        return current()
    finally:
        sys.path.remove(str(where))
        for name in _loaded():
            del sys.modules[name]
        sys.modules.update(ours)
