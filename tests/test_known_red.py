"""Tests of KNOWN-RED.txt, the list of known test failures: which failures it tolerates and which lists are invalid."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
def test_fails():
    assert 1 == 2

def test_passes():
    pass
"""


@pytest.fixture
def run(tmp_path):
    (tmp_path / "tests").mkdir()
    shutil.copy(Path(__file__).parent / "conftest.py", tmp_path / "tests")
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)

    def run(known, *args):
        if known is not None:
            (tmp_path / "KNOWN-RED.txt").write_text(known)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "pytest",
                "-p",
                "no:cacheprovider",
                f"--rootdir={tmp_path}",
                "-q",
                *(args or ["tests"]),
            ],
            cwd=tmp_path,
            capture_output=True,
            text=True,
            timeout=50,
        )
        return done.returncode, done.stdout + done.stderr

    return run


FAILS = "tests/test_it.py::test_fails | the sum is wrong | 35\n"


def test_without_a_list_a_failure_is_a_failure(run):
    assert run(None)[0] == 1


def test_just_what_is_listed_is_passed_over_and_printed_with_its_cause(run):
    status, text = run(FAILS)
    assert status == 0
    assert "KNOWN RED tests/test_it.py::test_fails: the sum is wrong (issue 35)" in text


def test_a_listed_test_that_passes_fails_the_run(run):
    assert run(FAILS + "tests/test_it.py::test_passes | nothing | 35\n")[0] == 1


@pytest.mark.parametrize(
    ("known", "message"),
    [
        ("tests/test_it.py::test_fails | no issue\n", "KNOWN-RED.txt:1: expected TEST | CAUSE | ISSUE"),
        ("tests/test_it.py::test_fails |  | 35\n", "KNOWN-RED.txt:1"),
        ("test_fails | cause | 35\n", "KNOWN-RED.txt:1"),
        ("tests/test_it.py::test_fails | cause | soon\n", "KNOWN-RED.txt:1"),
        (FAILS + FAILS, "listed twice"),
        (FAILS + "tests/test_it.py::test_none | x | 35\n", "no such test: tests/test_it.py::test_none"),
        (FAILS + "tests/test_gone.py::test_none | x | 35\n", "no such test: tests/test_gone.py::test_none"),
        ("".join(f"tests/test_it.py::test_{n} | x | 1\n" for n in range(4)), "4 tests, at most 3 are allowed"),
    ],
)
def test_a_list_that_cannot_be_fails_the_run_and_says_why(run, known, message):
    status, text = run(known)
    assert status not in (0, 5)
    assert message in text


def test_one_test_can_be_run_beside_the_list(run):
    assert run(FAILS, "tests/test_it.py::test_passes")[0] == 0
