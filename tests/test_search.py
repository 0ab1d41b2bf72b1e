"""Meetings of troubles at random, judged by the rules: a fixed set of seeds, and that planted faults are found."""

import pytest

from simulation.__main__ import main
from simulation.checker import forgotten
from simulation.search import FAULTS, MEETINGS, play, play_with
from tidebend.controller.api.job_api import JobApi, unavailable_reply


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_no_meeting_of_troubles_breaks_a_rule(first):
    """Afterwards all that was accepted is known to every controller, and what can end has ended."""
    for seed in range(first, first + 10):
        made = play(seed)
        assert not made["breaches"], made
        assert not made["unfinished"], made
        assert made["began"] > 0


# for each fault a seed, and what meets there, that show it; the service as it is keeps the rules there
SHOWN = {
    "staleness": (14, ("unread", "outage")),
    "late_transaction": (0, ("late writes", "crash")),
    "late_report": (197, ()),
    "lost_doubt": (51, ()),
    "unread_answer": (1, ("close looks",)),
    "freed_limit": (4, ("cancelled out of reach",)),
    "earlier_session": (43, ("old session",)),
    "beside_room": (6, ("crash",)),
}


@pytest.mark.parametrize("fault", sorted(FAULTS))
def test_a_planted_fault_is_found(fault):
    seed, meeting = SHOWN[fault]
    assert play_with(fault, seed, meeting)["breaches"]
    assert not play(seed, meeting)["breaches"]


@pytest.mark.parametrize("meeting", MEETINGS, ids=" + ".join)
def test_each_meeting_of_the_operators_page_keeps_the_rules(meeting):
    for seed in (1, 2):
        made = play(seed, meeting)
        assert not made["breaches"], made


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
                str(SHOWN["lost_doubt"][0]),
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
    told = [
        (10.0, "told", "submit", "a", 201, "queued"),
        *((float(at), "told", "poll", "a", 503, None) for at in range(20, 200, 5)),
    ]
    assert forgotten(told, 100.0) == [("forgotten", 180.0, "a: no answer for 80 s")]
    assert not forgotten(told, 130.0)
    assert not forgotten(sorted([*told, (151.0, "told", "poll", "a", 200, "queued")]), 100.0)


def test_a_controller_that_answers_nothing_after_the_calm_is_found(monkeypatch):
    """Others answered each poll within 75 s, so that only asking each controller shows it."""
    honest = JobApi.poll
    monkeypatch.setattr(
        JobApi, "poll", lambda self, name: unavailable_reply("x") if self.settings.name == "n1" else honest(self, name)
    )
    assert any("n1 answers 503" in row[2] for row in play(1)["breaches"])
