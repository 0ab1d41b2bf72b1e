"""Gangs' tasks meeting at a control service that may be killed between any two of their words."""

import time

import pytest

from tidebend.control.gang_barrier import GangBarriers
from tidebend.messages import GangMemberStatus

PEER_S = 5.0


class Place:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)
        self.done = set()
        self.killed()

    def killed(self):
        """A new process: only what was recorded is left."""
        self.musters = GangBarriers(PEER_S, lambda *key: key in self.done, lambda *key: self.done.add(key))

    def __call__(self, *phases, attempt=1):
        """Each task that has something to say says it once; what follows for each."""
        return [
            self.musters.report_status(GangMemberStatus("req-1", attempt, index, len(phases), phase)).verdict
            for index, phase in enumerate(phases)
            if phase
        ]


@pytest.fixture
def place(monkeypatch):
    return Place(monkeypatch)


def test_they_start_when_all_are_there_and_are_done_when_all_are(place):
    assert place("waiting", None, "waiting") == ["wait", "wait"]
    assert place("waiting", "waiting", "waiting") == ["wait", "start", "start"]  # the first asked before all were there
    assert place("waiting", "running", "running")[0] == "start"
    assert place("running", "running", "finished") == ["wait", "wait", "wait"]
    assert place("finished", "finished", "finished")[-1] == "done"
    assert place.done
    assert place("finished", "finished", "finished") == ["done"] * 3


def test_one_that_stopped_waiting_lets_the_others_wait(place):
    place("waiting", "waiting", None)
    assert place("waiting", "lost", None) == ["wait", "wait"]
    # its replacement has the same attempt
    assert place("waiting", "waiting", "waiting")[2] == "start"


def test_a_mate_that_is_lost_or_silent_ends_them(place):
    place("waiting", "waiting")
    place("running", "running")
    assert place("running", "lost") == ["wait", "wait"]
    assert place("running", None) == ["mates_gone"]
    assert place("waiting", "waiting", attempt=2)[-1] == "start"
    place("running", "running", attempt=2)
    for _ in range(3):
        place.now += 0.4 * PEER_S
        last = place("running", None, attempt=2)
    assert last == ["mates_gone"]


def test_one_that_waits_and_was_silent_for_long_isnt_started_with(place):
    place("waiting", None)
    place.now += 2 * PEER_S
    assert place(None, "waiting") == ["wait"]
    assert place("waiting", "waiting") == ["start", "start"]


def test_killed_between_two_starts_the_rest_starts(place):
    place("waiting", "waiting", "waiting")
    place.killed()
    assert place("running", "waiting", None) == ["wait", "wait"]
    assert place("running", "waiting", "waiting")[2] == "start"
    assert place("running", "waiting", "running")[1] == "start"


def test_killed_between_two_of_the_last_words_all_are_done(place):
    place("running", "running", "running", "running")
    place("finished", "finished", "finished", "finished")
    assert len(place.done) == 1
    place.killed()
    # two have heard it and are cleared; the others ask, one after the other
    assert place("finished", None, None, None) == ["done"]
    assert place(None, "finished", None, None) == ["done"]


def test_killed_before_it_was_recorded_nobody_was_told(place):
    place("finished", "finished", "running")
    place.killed()
    assert place("finished", "finished", "running") == ["wait"] * 3
    assert not place.done
    assert place(None, None, "finished") == ["done"]


def test_killed_together_with_mates_the_rest_doesnt_wait_for_ever(place):
    """Found by the loopback test, seed 101: the control service and one agent killed at the same moment."""
    place("running", "running", "running", "running")
    place.killed()
    assert place("finished", None, None, None) == ["wait"]
    place.now += 0.9 * PEER_S
    assert place("finished", None, None, None) == ["wait"]  # they may come yet
    place.now += 0.2 * PEER_S
    assert place("finished", None, None, None) == ["mates_gone"]


def test_what_nobody_speaks_of_is_forgotten(place):
    place("waiting", None)
    place.now += 30 * PEER_S
    place("waiting", None, attempt=2)
    assert len(place.musters._gangs) == 1
