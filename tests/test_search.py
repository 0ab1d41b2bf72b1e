"""Randomised combinations of troubles, checked against the rules for a fixed set of seeds; planted bugs are found."""

import pytest

from simulation.__main__ import main
from simulation.checker import forgotten
from simulation.planted_faults import FAULTS
from simulation.search import play, play_with
from simulation.troubles import REPEAT_COMBINATIONS, TROUBLE_COMBINATIONS
from tidebend.controller.api.job_api import JobApi, unavailable_reply


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_no_meeting_of_troubles_breaks_a_rule(first):
    """Afterwards every controller knows each accepted job, and each job that can complete has completed."""
    for seed in range(first, first + 10):
        result = play(seed)
        assert not result["breaches"], result
        assert not result["unfinished"], result
        assert result["began"] > 0


# For each planted bug, the seed and the troubles that reveal it; without the bug, no rule is broken there.
REVEALING_WORLDS = {
    "staleness": (14, ("unread", "outage")),
    "late_transaction": (0, ("late writes", "crash")),
    "late_report": (416, ()),
    "lost_doubt": (14, ()),
    "done_forgotten_at_once": (4, ("repeats", "silence", "crash")),
    "unread_answer": (1, ("close looks",)),
    "freed_limit": (4, ("cancelled out of reach",)),
    "earlier_session": (43, ("old session",)),
    "beside_room": (6, ("crash",)),
}


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_a_planted_fault_is_found(fault):
    seed, combination = REVEALING_WORLDS[fault]
    assert play_with(fault, seed, combination)["breaches"]
    assert not play(seed, combination)["breaches"]


@pytest.mark.parametrize("meeting", TROUBLE_COMBINATIONS, ids=" + ".join)
def test_each_meeting_of_the_operators_page_keeps_the_rules(meeting):
    for seed in (1, 2):
        result = play(seed, meeting)
        assert not result["breaches"], result


@pytest.mark.parametrize("meeting", REPEAT_COMBINATIONS, ids=" + ".join)
def test_copies_of_commands_minutes_late_keep_the_rules(meeting):
    """Guards against `ran_twice`, `quota` and `ran_cancelled` by a start that was carried out and forgotten before."""
    for seed in (1, 2):
        result = play(seed, meeting)
        assert not result["breaches"], result


def test_the_search_names_a_commit_that_is_not_there(capsys):
    assert main(["search", "--worlds", "1", "--workers", "1", "--from", "nosuch"]) == 2
    assert "no commit nosuch" in capsys.readouterr().err


def test_the_search_tells_by_its_exit_status_whether_a_rule_was_broken(capsys):
    assert main(["search", "--first", "1", "--worlds", "2", "--workers", "2"]) == 0
    assert "a rule broken in 0" in capsys.readouterr().out
    assert (
        main(
            [
                "search",
                "--first",
                str(REVEALING_WORLDS["lost_doubt"][0]),
                "--worlds",
                "1",
                "--workers",
                "1",
                "--fault",
                "lost_doubt",
                "--json",
            ]
        )
        == 1
    )


def test_a_job_about_which_nobody_answers_for_75_s_after_all_troubles_is_forgotten():
    log = [
        (10.0, "told", "submit", "a", 201, "queued"),
        *((float(at), "told", "poll", "a", 503, None) for at in range(20, 200, 5)),
    ]
    assert forgotten(log, 100.0) == [("forgotten", 180.0, "a: no answer for 80 s")]
    assert not forgotten(log, 130.0)
    assert not forgotten(sorted([*log, (151.0, "told", "poll", "a", 200, "queued")]), 100.0)


def test_a_controller_that_answers_nothing_after_the_calm_is_found(monkeypatch):
    """Other controllers answer each poll within 75 s, so that only a check of each controller reveals it."""
    original = JobApi.poll
    monkeypatch.setattr(
        JobApi,
        "poll",
        lambda self, name: unavailable_reply("x") if self.settings.name == "n1" else original(self, name),
    )
    assert any("n1 answers 503" in row[2] for row in play(1)["breaches"])
