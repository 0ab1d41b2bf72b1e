"""Former versions of the package, laid out from the history for several processes at once."""

import tarfile
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import pytest

from simulation import versions
from simulation.versions import at

WORKERS = 6


@pytest.fixture
def commit(tmp_path, monkeypatch):
    """The commit of this checkout; no version is laid out yet."""
    monkeypatch.setattr(versions, "SOURCES", tmp_path / "sources")
    found = versions._git("rev-parse", "HEAD")
    if found is None:
        pytest.skip("no history at hand")
    return found.decode().strip()


def files_by_path(where):
    return {path: path.stat().st_ino for path in where.rglob("*.py")}


def test_a_version_that_others_import_is_not_laid_out_anew_under_their_feet(commit):
    """Guards against an `ImportError` of another process, which reads a file while it is written again."""
    where = versions._lay_out(commit)
    before = files_by_path(where)
    assert before
    assert versions._lay_out(commit) == where
    assert files_by_path(where) == before


def test_half_written_sources_are_never_found_by_another_process(commit, monkeypatch):
    extract, seen = tarfile.TarFile.extractall, []

    def extract_and_look(archive, *args, **named):
        extract(archive, *args, **named)
        seen.append((versions.SOURCES / commit).exists())

    monkeypatch.setattr(tarfile.TarFile, "extractall", extract_and_look)
    assert versions._lay_out(commit).exists()
    assert seen == [False]
    assert [path.name for path in versions.SOURCES.iterdir()] == [commit]


def test_two_processes_that_lay_out_a_version_at_once_get_the_same_sources(commit, monkeypatch):
    extract, inner = tarfile.TarFile.extractall, []

    def extract_later_than_another(archive, *args, **named):
        monkeypatch.setattr(tarfile.TarFile, "extractall", extract)
        inner.append(files_by_path(versions._lay_out(commit)))
        extract(archive, *args, **named)

    monkeypatch.setattr(tarfile.TarFile, "extractall", extract_later_than_another)
    assert files_by_path(versions._lay_out(commit)) == inner[0]
    assert [path.name for path in versions.SOURCES.iterdir()] == [commit]


def import_version(commit, sources):
    versions.SOURCES = sources
    return versions.version_at(commit).controller.__module__


def test_worker_processes_import_a_version_that_is_not_laid_out_yet_at_once(commit):
    with ProcessPoolExecutor(WORKERS, mp_context=get_context("spawn")) as pool:
        found = [pool.submit(import_version, commit, versions.SOURCES) for _ in range(WORKERS)]
        assert {future.result() for future in found} == {"tidebend.controller.controller"}


def test_a_name_that_is_no_commit_gives_no_version(commit):
    assert at("no-such-commit") is None
