"""What must go on holding when a fleet outgrows the numbers that its files name."""

import contextlib
import itertools
import threading
import time
from dataclasses import replace

import cbor2
import pytest

from tests.test_guards import started_world
from tidebend import protocol
from tidebend.cluster_state.machine import Machine
from tidebend.cluster_state.machine_registry import MachineRegistry
from tidebend.controller import connection_limits
from tidebend.controller.autoscaling import scale_in
from tidebend.controller.autoscaling.cloud_client import CloudResponse
from tidebend.controller.autoscaling.machine_inventory import CALLS_SHARE, PAGE_SIZE, MachineInventory
from tidebend.controller.workers.command_dispatcher import CommandTarget
from tidebend.kvclient import LIVE, WatchCache
from tidebend.protocol import Report
from tidebend.transport import HttpClient, NoAnswerError, Reply, Server, TokenBucket, UnreachableError
from tidebend.transport.frames import MAX_FRAME


@pytest.fixture
def world():
    yield from started_world()


class Clock:
    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


def pages_of(fleet, budget, log):
    """A cloud that lists so many machines and takes so many calls a second."""
    names = [f"vm-{number:06d}" for number in range(fleet)]

    def call(method, path, body, floor=0.0):
        if not budget.take(1.0, floor):
            return None
        after = path.partition("from=")[2].partition("&")[0]
        left = [name for name in names if name > after]
        log.append(len(left))
        rows = [
            {
                "id": name,
                "address": None,
                "hull": "box",
                "harbor": "north",
                "driftwood": False,
                "tide": "starting",
                "heldS": 1.0,
            }
            for name in left[:PAGE_SIZE]
        ]
        return CloudResponse(200, {"fleet": rows, "more": len(left) > PAGE_SIZE})

    return call


@pytest.mark.parametrize("fleet", [PAGE_SIZE - 1, PAGE_SIZE + 1, 2 * PAGE_SIZE, 4 * PAGE_SIZE + 1])
def test_a_list_of_any_length_is_read_with_few_calls_and_leaves_most_of_them(fleet, monkeypatch):
    """With two calls a second the second page of a list never got one, and without a list nothing was rented."""
    clock = Clock(monkeypatch)
    calls_per_s, log, others, wholes = 2.0, [], 0, []
    budget = TokenBucket(calls_per_s, 2.0)
    listing = MachineInventory(pages_of(fleet, budget, log), 10.0, calls_per_s)
    for _ in range(120):
        listing.read(clock.now)
        if listing.machines is not None and listing.as_of not in wholes:
            wholes.append(listing.as_of)
            assert len(listing.machines) == fleet
        while budget.take(1.0):  # rentals take all that is left, each second
            others += 1
        clock.now += 1.0
    ages = [later - earlier for earlier, later in itertools.pairwise(wholes)]
    pages = -(-fleet // PAGE_SIZE)
    assert len(wholes) > 5
    assert max(ages) <= 2.5 * max(2.5, pages / (CALLS_SHARE * calls_per_s)) + pages
    assert others >= 0.7 * 120 * calls_per_s


def test_a_list_that_is_cut_short_is_read_on_from_where_it_stopped(monkeypatch):
    Clock(monkeypatch)
    asked = []

    def call(method, path, body, floor=0.0):
        asked.append(path)
        if len(asked) == 2:
            return None  # no call is to be had
        row = {"id": f"vm-{len(asked):06d}", "address": None, "hull": "box", "harbor": "north", "tide": "running"}
        return CloudResponse(200, {"fleet": [row], "more": len(asked) < 3})

    listing = MachineInventory(call, 10.0, 2.0)
    listing.read(1000.0)
    assert listing.machines is None
    listing.read(1001.0)
    assert sorted(listing.machines) == ["vm-000001", "vm-000003"]
    assert listing.as_of == 1000.0
    assert asked == [protocol.list_path("", PAGE_SIZE), *[protocol.list_path("vm-000001", PAGE_SIZE)] * 2]


def test_idle_machines_are_gathered_and_given_back_in_few_calls(world):
    """A call a second for each holder's idle machines left none for rentals."""
    autoscaler = world.controllers["n0"].autoscaler
    settings = world.controllers["n0"].settings
    calls = []
    autoscaler.releaser.release = lambda names: not calls.append(names)
    now = time.monotonic()
    for tick in range(60):  # one becomes idle each second
        surplus = [Machine(f"m-{tick}-{shard}", "box", shard, False) for shard in ("north", "south")]
        autoscaler.scale_in.release(surplus, now + tick)
    pause_s = settings.controller_count / (scale_in.CALLS_SHARE * settings.cloud_rps)
    assert 0.5 * 60 / pause_s <= len(calls) <= 60 / pause_s + 1
    assert all(len(names) == 2 for names in calls)


def test_more_workers_than_connections_all_get_their_turn_and_users_keep_theirs():
    """Whoever had come first kept its connection, and the others lost their leases."""

    def route(method, path, body):
        return Reply(200, {"path": path}, close_if_crowded=path == "/worker")

    server = Server(("127.0.0.1", 0), route, idle_timeout_s=20.0, body_timeout_s=1.0, max_connections=20)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        address = server.server_address[:2]
        user, workers = HttpClient(address), [HttpClient(address) for _ in range(60)]
        assert user.request("GET", "/user")[0] == 200
        users_own = user._idle[0]
        missing, tries = {*range(60)}, 0
        while missing and tries < 200:  # each tries again and again, and keeps its connection if it may
            tries += 1
            for number in sorted(missing):
                with contextlib.suppress(NoAnswerError, UnreachableError):
                    assert workers[number].request("GET", "/worker")[0] == 200
                    missing.discard(number)
        assert not missing
        assert server.open_connections <= 20
        assert user.request("GET", "/user")[0] == 200
        assert user._idle == [users_own]
    finally:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize("most", [16, 600, 1015, 2044, 9000, 200_000])
def test_sockets_are_shared_out_by_the_settings(world, most):
    settings = replace(world.controllers["n0"].settings, max_sockets=most)
    ours = (
        connection_limits.max_idle_worker_connections(settings)
        + connection_limits.unresponsive_threads(settings)
        + connection_limits.listen_backlog(settings)
        + 4 * len(settings.peers)
    )
    assert connection_limits.connection_threads(settings) + connection_limits.unresponsive_threads(settings) <= 2000
    assert connection_limits.connection_threads(settings) > 1600  # however many sockets there are
    assert connection_limits.max_incoming_connections(settings) >= most // 2
    if most >= 600:
        assert connection_limits.max_incoming_connections(settings) + ours < most


def test_direct_commands_keep_no_more_connections_than_their_share(world):
    command_dispatcher = world.controllers["n0"].command_dispatcher
    closed = []

    class Client:
        def __init__(self, address, max_idle):
            self.address = address

        def request(self, *args):
            raise UnreachableError("nobody")

        def close(self):
            closed.append(self.address)

    command_dispatcher._connect = Client
    command_dispatcher._clients.clear()
    for number in range(500):
        target = CommandTarget(f"vm-{number}", "north", ("10.0.0.1", number), 1)
        command_dispatcher._put(target, command_dispatcher._unresponsive)
    assert command_dispatcher._unresponsive.qsize() == 500  # none is left out
    while command_dispatcher.send_next():
        pass
    kept = connection_limits.max_idle_worker_connections(world.controllers["n0"].settings)
    assert len(command_dispatcher._clients) == kept
    assert len(closed) == 500 - kept


LARGE_FLEET = 4500


def test_late_reports_of_a_whole_large_fleet_that_was_released_at_once_are_no_news():
    """Beyond 2,000 released machines the first were forgotten: their late reports made them known again."""
    fleet = MachineRegistry()
    names = [f"vm-{number:06d}" for number in range(LARGE_FLEET)]
    reports = [Report(name, None, "box", "north", False, 1, 1, 0, None, ()) for name in names]
    for report in reports:
        fleet.record_heartbeat(report)
    fleet.mark_released(names)
    assert all(fleet.record_heartbeat(replace(report, sequence=2)) is None for report in reports)
    assert not fleet.machines


def test_what_was_released_is_forgotten_after_its_time_unless_it_is_needed(monkeypatch):
    clock = Clock(monkeypatch)
    fleet = MachineRegistry()
    fleet.mark_released(["old", "holds-a-claim"])
    clock.now += 100.0
    fleet.mark_released(["new"])
    fleet.forget_released(clock.now - 50.0, needed={"holds-a-claim"})
    assert set(fleet.released_at) == {"holds-a-claim", "new"}


def test_an_old_answer_brings_none_of_a_large_fleets_deleted_records_back():
    """Beyond 2,000 deletions the first tombstones were forgotten while a read begun before them was under way."""
    rows = [(f"{LIVE}job/{number}", {"at": number}, number + 1) for number in range(LARGE_FLEET)]
    deletions = [(key, None, version + LARGE_FLEET) for key, _, version in rows]

    class Overtaken:
        """A first whole read whose answer is overtaken by the watch, which tells of deletions."""

        timeout = 1.0

        def items(self, prefix, after):
            cache.apply(deletions)
            return rows, False, LARGE_FLEET

    cache = WatchCache(Overtaken(), lambda *row: None, threading.RLock(), 1.0, 1.0)
    cache.catch_up(0.0, "claim")
    assert not cache.get_by_prefix(LIVE)
    cache.apply([(f"{LIVE}job/x", None, 3 * LARGE_FLEET)])
    assert len(cache._tombstones) == 0  # no request is under way that could undo them


def test_the_frames_between_controllers_hold_a_large_fleet_and_all_that_was_released():
    row = ["vm-000000001", "calcolo-gpu", "palermo-centro", 1, 0, "10.255.255.255", 65535, 1_000_000]
    released = ["vm-000000001", "", "", 0, 1, "", 0, 0]
    frame = {"machines": [row] * LARGE_FLEET + [released] * LARGE_FLEET}
    assert len(cbor2.dumps(frame)) < MAX_FRAME
