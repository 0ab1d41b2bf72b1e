"""Answers of the key-value store that reach the watch cache out of order."""

import json
import threading

import pytest

from tests.test_guards import started_world
from tests.test_scenarios import JOB
from tests.test_starts import ask, restart
from tidebend.kvclient import FINAL, LIVE, WatchCache
from tidebend.kvclient.results import Changes, Page, VersionedValue
from tidebend.kvclient.snapshot import Snapshot

DELETED = f"{LIVE}job/deleted"  # written at revision 4, deleted at revision 7
KEPT = f"{LIVE}job/kept"  # written at revision 3
OLD_PAGE = Page([(DELETED, {}, 4), (KEPT, {}, 3)], False, 5)
NEW_PAGE = Page([(KEPT, {}, 3)], False, 8)


@pytest.fixture
def world():
    yield from started_world()


class OvertakenStore:
    """A store of which the first answer of a series is overtaken by a second read of the same cache.

    `answers` are those of the first and of the second read; None is the status 410.
    """

    timeout = 1.0

    def __init__(self, loaded_at=None):
        self.answers = []
        self.changes_seen = []
        self.cache = WatchCache(self, lambda *row: self.changes_seen.append(row), threading.RLock(), 1.0, 1.0)
        if loaded_at is not None:
            self.answers = [Page([(KEPT, {}, 3)], False, loaded_at)]
            self.cache.catch_up(0.0, "claim")

    def read(self, first, second):
        """Read twice; the second read begins and ends while the first waits for its answer."""
        self.answers = [first, second]
        self.cache.catch_up(0.0, "claim")
        assert not self.answers

    def _answer(self):
        answer = self.answers.pop(0)
        if self.answers:
            self.cache.catch_up(0.0, "claim")
        return answer

    def items(self, prefix, after):
        return self._answer()

    def changes(self, prefix, revision, wait_s, kind):
        if isinstance(self.answers[0], Page):
            return None
        return self._answer()


@pytest.mark.parametrize("loaded_at", [None, 3], ids=["first load", "after 410"])
def test_a_snapshot_that_arrives_after_a_newer_one_brings_no_deleted_key_back(loaded_at):
    """Guards against `went_back`: the watch and a read barrier loaded the cache at once, and the older load, which was
    applied last, brought back jobs that had been cancelled between the two."""
    store = OvertakenStore(loaded_at)
    store.read(OLD_PAGE, NEW_PAGE)
    assert set(store.cache.get_by_prefix(LIVE)) == {KEPT}
    assert store.cache.revision == NEW_PAGE.revision


def test_changes_that_arrive_after_a_newer_snapshot_bring_no_deleted_key_back():
    """Guards against `went_back`: an answer with changes was overtaken by a full read after a 410."""
    store = OvertakenStore(loaded_at=3)
    store.read(Changes([(DELETED, {}, 4)], 5), NEW_PAGE)
    assert set(store.cache.get_by_prefix(LIVE)) == {KEPT}
    assert store.cache.revision == NEW_PAGE.revision


def test_a_newer_snapshot_is_applied_after_an_older_one():
    """Guards against a cache that keeps its first load when another one follows."""
    store = OvertakenStore()
    store.read(NEW_PAGE, OLD_PAGE)
    assert set(store.cache.get_by_prefix(LIVE)) == {KEPT}


def test_final_states_are_taken_from_a_snapshot_that_arrives_late(monkeypatch):
    """They never change, and no snapshot has those that were written before it."""
    store = OvertakenStore(loaded_at=8)
    final = (FINAL + "deleted", "done", 5)
    late = Snapshot(5, {DELETED: VersionedValue({}, 4)}, [final])
    monkeypatch.setattr("tidebend.kvclient.watch_cache.read_snapshot", lambda client: late)
    store.cache._load()
    assert store.changes_seen[-1] == final
    assert set(store.cache.get_by_prefix(LIVE)) == {KEPT}


def test_a_returning_controller_doesnt_call_cancelled_jobs_queued(world, monkeypatch):
    """Guards against `went_back`: it answered `queued` for jobs that others had called withdrawn, for ever."""
    for number in range(3):
        job = {"id": f"req-{number:06d}", **JOB, "vcpus": 8.0, "harbor": "north"}
        world.jobs[job["id"]] = job
        assert ask(world.controllers["n1"], "POST", "/api/jobs", json.dumps(job).encode()).status == 201
    controller = restart(world)
    original = controller.state.items
    pages = []

    def late_items(prefix, after):
        page = original(prefix, after)
        pages.append(page)
        if len(pages) == 1:
            reply = ask(world.controllers["n1"], "POST", "/api/jobs/req-000002/cancel")
            assert reply.body["tide"] == "withdrawn"
            controller.cache.catch_up(0.0, "claim")
        return page

    monkeypatch.setattr(controller.state, "items", late_items)
    controller.cache.catch_up(0.0, "claim")
    assert len(pages) == 2
    assert ask(controller, "GET", "/api/jobs/req-000002").body["tide"] == "withdrawn"
