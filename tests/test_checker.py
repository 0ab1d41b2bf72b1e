"""Each invariant check detects a log that violates it."""

import pytest

from simulation.checker import breaches, contradicted
from tests.test_scenarios import JOB

TEAMS = [{"name": "team", "cpus_max": 10.0}]
JOBS = {
    "req-a": {"id": "req-a", **JOB, "pieces": 4, "driftwood": False, "spread": True},
    "req-c": {"id": "req-c", **JOB, "awaits": ["req-a"]},
    "req-d": {"id": "req-d", **JOB, "awaits": ["req-c"]},
}
SUBMITTED = (0.0, "asked", "submit", "req-a", {})
ACCEPTED = (0.1, "told", "submit", "req-a", 201, "queued")


def on(at, task, machine="m1", zone="north", spot=False):
    return (at, "on", f"req-a/{task}", 1, machine, zone, "box", spot)


VIOLATIONS = {
    "ran_twice": [SUBMITTED, ACCEPTED, on(1.0, 0), on(2.0, 0, "m2")],
    "quota": [SUBMITTED, ACCEPTED, on(1.0, 0), on(1.0, 1), on(1.0, 2, "m3", "south")],
    "wrong_place": [SUBMITTED, ACCEPTED, on(1.0, 0, spot=True)],
    "ran_cancelled": [
        SUBMITTED,
        ACCEPTED,
        on(1.0, 0),
        (2.0, "asked", "cancel", "req-a", None),
        (2.1, "told", "cancel", "req-a", 200, "withdrawn"),
        (40.0, "told", "poll", "req-b", 404, None),
    ],
    "forgotten": [SUBMITTED, ACCEPTED, on(1.0, 0), (2.0, "told", "poll", "req-a", 404, None)],
    "invented": [SUBMITTED, ACCEPTED, on(1.0, 0), (2.0, "told", "poll", "req-b", 200, "queued")],
    "not_done": [SUBMITTED, ACCEPTED, on(1.0, 0), (2.0, "told", "poll", "req-a", 200, "done")],
    "went_back": [
        SUBMITTED,
        ACCEPTED,
        on(1.0, 0),
        (2.0, "asked", "cancel", "req-a", None),
        (2.1, "told", "cancel", "req-a", 200, "withdrawn"),
        (3.0, "told", "poll", "req-a", 200, "running"),
    ],
    "too_early": [SUBMITTED, ACCEPTED, (2.0, "on", "req-c/0", 1, "m1", "north", "box", False)],
    "orphaned": [
        SUBMITTED,
        ACCEPTED,
        (1.0, "asked", "cancel", "req-a", None),
        (1.1, "told", "cancel", "req-a", 200, "withdrawn"),
        (37.0, "told", "poll", "req-d", 200, "queued"),
    ],
    "nothing_ran": [SUBMITTED, ACCEPTED],
}


@pytest.mark.parametrize("rule", VIOLATIONS)
def test_planted_breach_is_caught(rule):
    assert rule in [found[0] for found in breaches(VIOLATIONS[rule], JOBS, TEAMS, 35.0, {})]


def test_a_clean_log_is_clean():
    log = [
        SUBMITTED,
        ACCEPTED,
        on(1.0, 0),
        on(1.0, 1, "m2", "south"),
        (9.0, "off", "req-a/0", 1, "m1", "north", "box", False),
    ]
    assert breaches(log, JOBS, TEAMS, 35.0, {}) == []


def told(at, state, began, is_new):
    return (at, "told", "poll", "req-a", 200, state, began, "n0", is_new)


def test_a_final_answer_that_is_contradicted_later_is_found():
    """An answer to a request sent before the final answer was given may still be non-final."""
    assert contradicted([told(1.0, "withdrawn", 0, True), told(2.0, "done", 1, False)]) == {"req-a"}
    assert contradicted([told(1.0, "withdrawn", 0, False), told(2.0, "running", 1, True)]) == {"req-a"}
    assert not contradicted([told(1.0, "withdrawn", 0, True), told(2.0, "running", 0, True)])
    assert not contradicted([told(1.0, "running", 0, True), told(2.0, "done", 1, True), told(3.0, "done", 2, True)])
    former_then_new = [told(1.0, "withdrawn", 0, False), told(2.0, "done", 1, True)]
    assert contradicted(former_then_new) == {"req-a"}
    assert not contradicted(former_then_new, by_new_only=True)
    assert contradicted([*former_then_new, told(3.0, "withdrawn", 2, False)], by_new_only=True) == {"req-a"}
