"""Processes that end and are started again within a fraction of a second: what of the former one still lives."""

import json
import time

import pytest

from tests.test_guards import started_world
from tests.test_scenarios import JOB


@pytest.fixture
def world():
    yield from started_world()


def restarted(world, node="n0"):
    """The node's next process, before it has read anything; its first read and the machines' types come while it
    waits."""
    world.crash(node, 0.0)
    version = world.versions[node]
    from simulation.links import Link

    controller = version.controller(world.settings(node), Link(world, node, version))
    world.controllers[node] = controller
    version.driver(controller).read_in_place(version.quiet)
    return controller


def ask(controller, method, path, body=b""):
    return controller.route(method, path, lambda: body)


def test_a_submission_that_comes_before_the_first_read_is_answered_after_it(world, monkeypatch):
    """It got 503, and its user came back a second later."""
    controller = restarted(world)
    slept = []

    def sleep(seconds):
        world.monotonic_now += seconds
        slept.append(seconds)
        if len(slept) == 5:
            controller.cache.catch_up(0.0, "claim")
        if len(slept) == 8:
            controller.autoscaler.scale_once()

    monkeypatch.setattr(time, "sleep", sleep)
    world.jobs["req-000001"] = {"id": "req-000001", **JOB}
    reply = ask(controller, "POST", "/api/jobs", json.dumps(world.jobs["req-000001"]).encode())
    assert reply.status == 201
    assert len(slept) >= 8
    assert ask(controller, "GET", "/ready").status == 200


def test_requests_wait_no_longer_than_a_moment_while_nothing_can_be_read(world):
    """An outage of the state service at the start must not hold users' connections."""
    controller = restarted(world)
    began = world.monotonic_now
    assert ask(controller, "GET", "/api/jobs/req-000001").status == 503
    assert world.monotonic_now - began <= 0.2 * controller.settings.controller_lease_s + 0.1
    began = world.monotonic_now
    assert ask(controller, "GET", "/ready").status == 503
    assert world.monotonic_now - began < 0.02  # and only once


def test_a_start_costs_the_state_service_and_the_cloud_a_few_calls(world):
    """Ten starts in ten seconds must not eat the budget of the others."""
    calls = {"state": 0, "cloud": 0}
    for name in calls:
        part = getattr(world, name)

        def counted(node, *args, call=part.call, name=name):
            calls[name] += node == "n0"
            return call(node, *args)

        part.call = counted

    def cost(starts):
        for name in calls:
            calls[name] = 0
        for _ in range(10):
            if starts:
                world.crash("n0", 0.0)
            for _ in range(10):
                world.step()
        return dict(calls)

    at_rest, starting = cost(0), cost(10)
    limits = world.controllers["n0"].settings.store_limits
    assert (starting["state"] - at_rest["state"]) / 10 <= 0.25 * limits.rps
    assert (starting["cloud"] - at_rest["cloud"]) / 10 <= 1.5


def test_a_start_takes_its_blocks_back_at_once_with_a_token_above_the_former_ones(world):
    """The former process's lease still lives; what it sent under the old token can't be executed any more."""
    before = world.controllers["n0"].coordinator.grant("north.0").token
    world.crash("n0", 0.0)
    for _ in range(8):
        world.step()
    grant = world.controllers["n0"].coordinator.grant("north.0")
    assert grant is not None
    assert grant.token > before
    assert world.controllers["n1"].coordinator.grant("north.0") is None
