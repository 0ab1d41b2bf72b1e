"""The gang barrier of the control service, which may be killed between any two status reports of a gang's tasks."""

import time

import pytest

from tidebend.control.gang_barrier import GangBarriers
from tidebend.messages import GangMemberStatus

PEER_S = 5.0


class BarrierHarness:
    """A gang barrier on a fake clock, with completion records that outlive its process."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)
        self.done = set()
        self.restart()

    def restart(self):
        """Replace the process; only the recorded completions are left."""
        self.gang_barriers = GangBarriers(PEER_S, lambda *key: key in self.done, lambda *key: self.done.add(key))

    def __call__(self, *phases, attempt=1):
        """Report one phase per task, None for a task that doesn't report, and return the verdicts."""
        return [
            self.gang_barriers.report_status(GangMemberStatus("req-1", attempt, index, len(phases), phase)).verdict
            for index, phase in enumerate(phases)
            if phase
        ]


@pytest.fixture
def barrier(monkeypatch):
    return BarrierHarness(monkeypatch)


def test_they_start_when_all_are_there_and_are_done_when_all_are(barrier):
    assert barrier("waiting", None, "waiting") == ["wait", "wait"]
    # the first reported before all others had
    assert barrier("waiting", "waiting", "waiting") == ["wait", "start", "start"]
    assert barrier("waiting", "running", "running")[0] == "start"
    assert barrier("running", "running", "finished") == ["wait", "wait", "wait"]
    assert barrier("finished", "finished", "finished")[-1] == "done"
    assert barrier.done
    assert barrier("finished", "finished", "finished") == ["done"] * 3


def test_one_that_stopped_waiting_lets_the_others_wait(barrier):
    barrier("waiting", "waiting", None)
    assert barrier("waiting", "lost", None) == ["wait", "wait"]
    # its replacement reports with the same attempt
    assert barrier("waiting", "waiting", "waiting")[2] == "start"


def test_a_mate_that_is_lost_or_silent_ends_them(barrier):
    barrier("waiting", "waiting")
    barrier("running", "running")
    assert barrier("running", "lost") == ["wait", "wait"]
    assert barrier("running", None) == ["mates_gone"]
    assert barrier("waiting", "waiting", attempt=2)[-1] == "start"
    barrier("running", "running", attempt=2)
    for _ in range(3):
        barrier.now += 0.4 * PEER_S
        last = barrier("running", None, attempt=2)
    assert last == ["mates_gone"]


def test_one_that_waits_and_was_silent_for_long_isnt_started_with(barrier):
    barrier("waiting", None)
    barrier.now += 2 * PEER_S
    assert barrier(None, "waiting") == ["wait"]
    assert barrier("waiting", "waiting") == ["start", "start"]


def test_killed_between_two_starts_the_rest_starts(barrier):
    barrier("waiting", "waiting", "waiting")
    barrier.restart()
    assert barrier("running", "waiting", None) == ["wait", "wait"]
    assert barrier("running", "waiting", "waiting")[2] == "start"
    assert barrier("running", "waiting", "running")[1] == "start"


def test_killed_between_two_of_the_last_words_all_are_done(barrier):
    barrier("running", "running", "running", "running")
    barrier("finished", "finished", "finished", "finished")
    assert len(barrier.done) == 1
    barrier.restart()
    # two tasks got the verdict and were forgotten; the other two report one after the other
    assert barrier("finished", None, None, None) == ["done"]
    assert barrier(None, "finished", None, None) == ["done"]


def test_killed_before_it_was_recorded_nobody_was_told(barrier):
    barrier("finished", "finished", "running")
    barrier.restart()
    assert barrier("finished", "finished", "running") == ["wait"] * 3
    assert not barrier.done
    assert barrier(None, None, "finished") == ["done"]


def test_killed_together_with_mates_the_rest_doesnt_wait_for_ever(barrier):
    """The control service and one agent are killed at the same moment, as in the loopback test with seed 101."""
    barrier("running", "running", "running", "running")
    barrier.restart()
    assert barrier("finished", None, None, None) == ["wait"]
    barrier.now += 0.9 * PEER_S
    assert barrier("finished", None, None, None) == ["wait"]  # the others may still report
    barrier.now += 0.2 * PEER_S
    assert barrier("finished", None, None, None) == ["mates_gone"]


def test_what_nobody_speaks_of_is_forgotten(barrier):
    barrier("waiting", None)
    barrier.now += 30 * PEER_S
    barrier("waiting", None, attempt=2)
    assert len(barrier.gang_barriers._gangs) == 1
