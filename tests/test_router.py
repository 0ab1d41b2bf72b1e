"""Which requests reach a handler, and how often the log tells of refusals."""

from __future__ import annotations

import logging

import pytest

from tests.test_guards import started_world
from tidebend.controller.api.replies import RateLimitedLog


@pytest.fixture(scope="module")
def controller():
    for world in started_world():
        yield world.controllers["n0"]


@pytest.mark.parametrize(
    ("method", "path", "status", "error"),
    [
        ("GET", "/ready", 200, None),
        ("HEAD", "/ready?probe", 200, None),
        ("POST", "/ready", 405, "use GET"),
        ("GET", "/ready/", 404, "no such path"),
        ("GET", "/v1/report", 405, "use POST"),
        ("GET", "/api/jobs", 405, "use POST"),
        ("GET", "/api/jobs/", 404, "no such job"),
        ("GET", "/api/jobs/req-none?x=1", 404, "no such job"),
        ("POST", "/api/jobs/req-none", 405, "use GET"),
        ("GET", "/api/jobs/req-none/cancel", 405, "use POST"),
        ("POST", "/api/jobs/req-none/", 404, "no such path"),
        ("POST", "/api/jobs/req-none/cancel/", 404, "no such path"),
        ("GET", "/api/jobsx", 404, "no such path"),
        ("GET", "", 404, "no such path"),
    ],
)
def test_a_request_without_a_body_is_answered_by_method_and_path(controller, method, path, status, error):
    def unread() -> bytes:
        raise AssertionError("the body was read")

    reply = controller.route(method, path, unread)
    assert reply.status == status
    assert error is None or reply.body == {"error": error}
    assert reply.close_if_crowded == path.startswith("/v1/report")


def test_the_body_of_a_cancellation_is_read_once_though_it_has_no_meaning(controller):
    reads = []
    reply = controller.route("POST", "/api/jobs/req-none/cancel", lambda: reads.append(1) or b"x")
    assert (reply.status, reads) == (404, [1])


def test_a_rate_limited_log_tells_each_message_once_in_an_interval(caplog, monkeypatch):
    now = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    limited = RateLimitedLog(logging.getLogger("api"), 10.0)
    with caplog.at_level(logging.INFO, "api"):
        for at, message in ((100.0, "a"), (105.0, "a"), (105.0, "b"), (110.0, "a"), (110.5, "a")):
            now[0] = at
            limited.info(message)
    assert caplog.messages == ["a", "b", "a"]
