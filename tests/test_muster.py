"""Gang barriers of a control service that may be killed between any two requests of a gang's tasks."""

import time

import pytest

from tidebend.control.gang_barrier import GangBarriers
from tidebend.messages import GangMemberStatus

PEER_S = 5.0


class ControlService:
    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)
        self.done = set()
        self.restart()

    def restart(self):
        """Restart the control service: only recorded state is left."""
        self.barriers = GangBarriers(PEER_S, lambda *key: key in self.done, lambda *key: self.done.add(key))

    def __call__(self, *phases, attempt=1):
        """Send the status of each task whose phase is given; return the verdicts."""
        return [
            self.barriers.report_status(GangMemberStatus("req-1", attempt, index, len(phases), phase)).verdict
            for index, phase in enumerate(phases)
            if phase
        ]


@pytest.fixture
def service(monkeypatch):
    return ControlService(monkeypatch)


def test_they_start_when_all_are_there_and_are_done_when_all_are(service):
    assert service("waiting", None, "waiting") == ["wait", "wait"]
    # the first one asks before all are waiting
    assert service("waiting", "waiting", "waiting") == ["wait", "start", "start"]
    assert service("waiting", "running", "running")[0] == "start"
    assert service("running", "running", "finished") == ["wait", "wait", "wait"]
    assert service("finished", "finished", "finished")[-1] == "done"
    assert service.done
    assert service("finished", "finished", "finished") == ["done"] * 3


def test_one_that_stopped_waiting_lets_the_others_wait(service):
    service("waiting", "waiting", None)
    assert service("waiting", "lost", None) == ["wait", "wait"]
    # its replacement has the same attempt
    assert service("waiting", "waiting", "waiting")[2] == "start"


def test_a_mate_that_is_lost_or_silent_ends_them(service):
    service("waiting", "waiting")
    service("running", "running")
    assert service("running", "lost") == ["wait", "wait"]
    assert service("running", None) == ["mates_gone"]
    assert service("waiting", "waiting", attempt=2)[-1] == "start"
    service("running", "running", attempt=2)
    for _ in range(3):
        service.now += 0.4 * PEER_S
        last = service("running", None, attempt=2)
    assert last == ["mates_gone"]


def test_one_that_waits_and_was_silent_for_long_isnt_started_with(service):
    service("waiting", None)
    service.now += 2 * PEER_S
    assert service(None, "waiting") == ["wait"]
    assert service("waiting", "waiting") == ["start", "start"]


def test_killed_between_two_starts_the_rest_starts(service):
    service("waiting", "waiting", "waiting")
    service.restart()
    assert service("running", "waiting", None) == ["wait", "wait"]
    assert service("running", "waiting", "waiting")[2] == "start"
    assert service("running", "waiting", "running")[1] == "start"


def test_killed_between_two_of_the_last_words_all_are_done(service):
    service("running", "running", "running", "running")
    service("finished", "finished", "finished", "finished")
    assert len(service.done) == 1
    service.restart()
    # two tasks have got the verdict and are forgotten; the others ask one after the other
    assert service("finished", None, None, None) == ["done"]
    assert service(None, "finished", None, None) == ["done"]


def test_killed_before_it_was_recorded_nobody_was_told(service):
    service("finished", "finished", "running")
    service.restart()
    assert service("finished", "finished", "running") == ["wait"] * 3
    assert not service.done
    assert service(None, None, "finished") == ["done"]


def test_killed_together_with_mates_the_rest_doesnt_wait_for_ever(service):
    """The control service and one agent are killed at the same moment, as in the loopback test with seed 101."""
    service("running", "running", "running", "running")
    service.restart()
    assert service("finished", None, None, None) == ["wait"]
    service.now += 0.9 * PEER_S
    assert service("finished", None, None, None) == ["wait"]  # the others may still report
    service.now += 0.2 * PEER_S
    assert service("finished", None, None, None) == ["mates_gone"]


def test_what_nobody_speaks_of_is_forgotten(service):
    service("waiting", None)
    service.now += 30 * PEER_S
    service("waiting", None, attempt=2)
    assert len(service.barriers._gangs) == 1
