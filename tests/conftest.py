"""Known test failures: the tests listed in KNOWN-RED.txt may fail, and the summary of a run prints them.

Each fails because of a known, recorded fault and has one line, `TEST | CAUSE | ISSUE`; at most three are allowed. An
invalid line, a test that doesn't exist, or a listed test that passes makes the run fail, so that the list shrinks and
hides no other failures.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownRed:
    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the entries of the list. Raises ValueError, which names the line and the expected format."""
    if not path.exists():
        return []
    found = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].lstrip("#").isdigit():
            raise ValueError(
                f"{path.name}:{number}: expected TEST | CAUSE | ISSUE, such as "
                "tests/test_x.py::test_y | what is at fault | 35"
            )
        found.append(KnownRed(*parts))
    if len({entry.test for entry in found}) < len(found):
        raise ValueError(f"{path.name}: a test is listed twice")
    if len(found) > MAX_KNOWN_RED:
        raise ValueError(f"{path.name}: {len(found)} tests, at most {MAX_KNOWN_RED} are allowed")
    return found


def pytest_configure(config):
    try:
        config.known_red = {entry.test: entry for entry in read_known_red(config.rootpath / "KNOWN-RED.txt")}
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(session, config, items):
    for item in items:
        entry = config.known_red.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red, issue {entry.issue}: {entry.cause}"))
    # a run of selected tests can't tell whether the others exist, unless their file is missing
    selection = config.option.keyword or config.option.markexpr or any("::" in arg for arg in config.args)
    collected = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in collected}
    missing = []
    for test in config.known_red.keys() - collected:
        file = test.partition("::")[0]
        if not (config.rootpath / file).exists() or (file in files and not selection):
            missing.append(test)
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(missing)}")


def pytest_terminal_summary(terminalreporter, config):
    for entry in config.known_red.values():
        terminalreporter.write_line(f"KNOWN RED {entry.test}: {entry.cause} (issue {entry.issue})")


@pytest.fixture(scope="session")
def former():
    """The version in production."""
    from simulation.versions import production  # not at the top: this file also runs without the simulation

    found = production()
    if found is None:
        pytest.skip("the version in production isn't in the history at hand")
    return found
