"""Connections outnumber threads: idle ones are watched by one thread, and each gets a thread for its next request."""

import re
import resource
import socket
import threading
import time
from types import SimpleNamespace

import msgspec
import pytest

from tidebend.access import AuthenticatedServer, KeyedClient, Keyring, create_keyring, make_certificate
from tidebend.control.api import DESCRIPTION_PREFIX, RAN_ON_PREFIX, ControlApi
from tidebend.control.main import AUXILIARY_THREADS, MAX_AUXILIARY_SERVERS, Control
from tidebend.control.settings import load_control_settings
from tidebend.controller import connection_limits
from tidebend.kvstore import Engine, StoreService, Write
from tidebend.kvstore.errors import RevisionTooOldError
from tidebend.kvstore.reads import PAGE_ITEMS
from tidebend.kvstore.records import Change
from tidebend.kvstore.watch_feed import MAX_CHANGES, WatchFeed
from tidebend.messages import paths
from tidebend.protocol import store as wire
from tidebend.provider import AgentProcesses, MachineTypeSettings, Provider
from tidebend.settings import StoreLimits
from tidebend.transport import Reply, Server
from tidebend.transport.connection_threads import ConnectionThreads
from tidebend.transport.idle_connections import Connection, IdleConnections

FLEET = 4500
THREADS = 40
# left to whatever else the process has open
OTHER_FILES = 200
ANSWER_S = 20.0
HEAD = re.compile(rb"Content-Length: (\d+)\r\n(?:[^\r]+\r\n)*\r\n")


def as_many_as_can_be(wanted):
    """Pairs of sockets that this process may have: both ends are ours."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, (soft - OTHER_FILES) // 2)


def echo(method, path, body):
    return Reply(200, {"path": path, "body": body().decode()})


class Served:
    """A server in a thread of its own, and raw connections to it."""

    def __init__(self, server):
        self.server = server
        self.streams = []
        threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def connect(self):
        stream = socket.create_connection(self.server.server_address[:2], timeout=ANSWER_S)
        self.streams.append(stream)
        return stream

    def close(self):
        for stream in self.streams:
            stream.close()
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def serve():
    begun = []

    def begin(route=echo, idle_timeout_s=30.0, most=FLEET + 100, max_threads=THREADS):
        begun.append(
            Served(
                Server(
                    ("127.0.0.1", 0),
                    route,
                    idle_timeout_s=idle_timeout_s,
                    body_timeout_s=5.0,
                    max_connections=most,
                    max_threads=max_threads,
                )
            )
        )
        return begun[-1]

    yield begin
    for served in begun:
        served.close()


def ask(stream, path):
    stream.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


def answers(stream, number):
    """The bodies of so many answers; fewer if the stream ends."""
    data, found = b"", []
    while len(found) < number:
        head = HEAD.search(data)
        if head and len(data) >= head.end() + int(head[1]):
            found.append(data[head.end() : head.end() + int(head[1])])
            data = data[head.end() + int(head[1]) :]
            continue
        more = stream.recv(65536)
        if not more:
            return found
        data += more
    assert not data
    return found


def until(condition, seconds=10.0):
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)
    return condition()


def test_a_fleet_of_idle_connections_is_served_by_few_threads(serve):
    served = serve()
    number = as_many_as_can_be(FLEET)
    assert number >= 400
    before = threading.active_count()
    most = 0
    for turn in range(2):  # each connection is idle for as long as all others take, then asks again
        for index in range(number):
            stream = served.connect() if turn == 0 else served.streams[index]
            ask(stream, f"/{turn}/{index}")
            assert answers(stream, 1) == [b'{"path":"/%d/%d","body":""}' % (turn, index)]
            most = max(most, threading.active_count() - before)
    assert most <= THREADS
    assert served.server.open_connections == number


def test_a_fleet_that_asks_at_once_is_answered_in_turn(serve):
    """Connections that have no thread wait in a queue; none is refused or forgotten."""
    served = serve(max_threads=8)
    number = as_many_as_can_be(1000)
    streams = [served.connect() for _ in range(number)]
    before = threading.active_count()
    for _ in range(2):
        for stream in streams:
            ask(stream, "/x")
        assert all(len(answers(stream, 1)) == 1 for stream in streams)
    assert threading.active_count() - before <= 8


def test_connections_that_say_nothing_take_no_thread_from_the_others(serve):
    served = serve(max_threads=8)
    for _ in range(100):
        served.connect()
    assert until(lambda: served.server.open_connections == 100)
    last = served.connect()
    ask(last, "/x")
    assert len(answers(last, 1)) == 1


def test_a_parked_connection_is_closed_when_it_was_idle_for_too_long(serve):
    served = serve(idle_timeout_s=1.5, max_threads=1)
    stream = served.connect()
    silent = served.connect()
    for _ in range(2):  # each request begins the time anew
        time.sleep(0.9)
        ask(stream, "/x")
        assert len(answers(stream, 1)) == 1
    began = time.monotonic()
    assert silent.recv(1) == b""
    assert stream.recv(1) == b""
    assert 1.0 < time.monotonic() - began < 6.0
    assert until(lambda: served.server.open_connections == 0)


def test_pipelined_requests_are_all_answered(serve):
    """The second one is read ahead with the first, where no selector sees it."""
    served = serve(max_threads=1)
    for _ in range(20):
        stream = served.connect()
        post = b"POST /second HTTP/1.1\r\nContent-Length: 4\r\n\r\n"
        stream.sendall(b"GET /first HTTP/1.1\r\n\r\n" + post + b"body")
        assert answers(stream, 2) == [b'{"path":"/first","body":""}', b'{"path":"/second","body":"body"}']
        ask(stream, "/third")
        assert len(answers(stream, 1)) == 1


def test_connections_beyond_the_most_are_refused_and_yielding_answers_end_theirs(serve):
    def route(method, path, body):
        return Reply(200, {}, close_if_crowded=True)

    served = serve(route, most=20, max_threads=4)
    kept = [served.connect() for _ in range(18)]
    assert until(lambda: served.server.open_connections == 18)
    more = [served.connect() for _ in range(2)]
    assert until(lambda: served.server.open_connections == 20)
    assert served.connect().recv(1) == b""
    ask(kept[0], "/x")
    assert len(answers(kept[0], 1)) == 1
    assert kept[0].recv(1) == b""
    assert until(lambda: served.server.open_connections == 19)
    ask(more[0], "/x")
    assert len(answers(more[0], 1)) == 1


def test_a_server_that_is_closed_closes_parked_connections(serve):
    served = serve(max_threads=1)
    streams = [served.connect() for _ in range(10)]
    for stream in streams:
        ask(stream, "/x")
        answers(stream, 1)
    served.server.shutdown()
    served.server.server_close()
    assert all(stream.recv(1) == b"" for stream in streams)
    assert until(lambda: served.server.open_connections == 0)


def test_with_a_thread_for_each_connection_nothing_is_parked(serve):
    served = serve(most=8, max_threads=None)
    before = threading.active_count()
    for _ in range(8):
        stream = served.connect()
        ask(stream, "/x")
        assert len(answers(stream, 1)) == 1
    assert threading.active_count() - before == 8
    assert served.server._idle is None


def test_a_parked_connection_inside_tls_is_served_again(tmp_path):
    tls = make_certificate(tmp_path / "tls", "server", ["127.0.0.1"])
    create_keyring(tmp_path / "keys")
    ring = Keyring(tmp_path / "keys")
    gate = AuthenticatedServer(("127.0.0.1", 0), echo, ring, 20.0, 5.0, 100, tls.server_context(), max_threads=2)
    threading.Thread(target=gate.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    before = threading.active_count()
    clients = [KeyedClient(gate.server_address[:2], ring.bearer_token, tls=tls.client_context()) for _ in range(12)]
    try:
        for _ in range(3):
            for client in clients:
                assert client.request("POST", "/x", {"a": 1}, 10.0)[0] == 200
        assert threading.active_count() - before <= 2
        assert gate.open_connections == 12
        assert all(len(client._idle) == 1 for client in clients)
    finally:
        gate.shutdown()
        gate.server_close()


def test_requests_that_come_in_one_record_of_tls_are_all_answered(tmp_path):
    """The second one is decrypted with the first, and nothing is left in the socket."""
    tls = make_certificate(tmp_path / "tls", "server", ["127.0.0.1"])
    create_keyring(tmp_path / "keys")
    ring = Keyring(tmp_path / "keys")
    gate = AuthenticatedServer(("127.0.0.1", 0), echo, ring, 20.0, 5.0, 100, tls.server_context(), max_threads=1)
    threading.Thread(target=gate.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    plain = socket.create_connection(gate.server_address[:2], timeout=ANSWER_S)
    try:
        # the first is as long as what is read ahead at a time
        with tls.client_context().wrap_socket(plain, server_hostname="127.0.0.1") as stream:
            head = f"POST /x HTTP/1.1\r\nAuthorization: Bearer {ring.bearer_token()}\r\nContent-Length: "
            first = (head + "0008000\r\n\r\n").encode()
            size = 8192 - len(first)
            first = (head + f"{size:07d}\r\n\r\n").encode() + b"y" * size
            assert len(first) == 8192
            stream.sendall(first + (head + "2\r\n\r\n").encode() + b"zz")
            assert [len(body) for body in answers(stream, 2)][1] == len(b'{"path":"/x","body":"zz"}')
    finally:
        gate.shutdown()
        gate.server_close()


def test_the_queue_and_the_threads_are_bounded():
    go, served = threading.Event(), []

    def serve(connection):
        go.wait(10.0)
        served.append(connection)

    workers = ConnectionThreads(max_threads=2, scarce_from=1, max_waiting=3, serve=serve)
    connections = [Connection(None, number) for number in range(6)]
    assert [workers.submit(connection) for connection in connections] == [True] * 5 + [False]
    assert workers.running == 2
    assert workers.scarce
    go.set()
    assert until(lambda: len(served) == 5)
    assert {connection.address for connection in served} == {*range(5)}
    assert until(lambda: workers.running == 0)  # those that are done end after a while
    assert workers.close() == []
    assert not workers.submit(connections[0])


def test_each_parked_connection_is_handed_on_once():
    ready, expired = [], []
    idle = IdleConnections(0.3, ready.append, expired.append)
    pairs = [socket.socketpair() for _ in range(30)]
    for number, (ours, _) in enumerate(pairs):
        assert idle.park(Connection(ours, number))
    for _, theirs in pairs[:10]:
        theirs.sendall(b"x")
    for _, theirs in pairs[10:20]:
        theirs.close()
    assert until(lambda: len(expired) == 10)
    assert sorted(connection.address for connection in ready) == [*range(20)]
    assert [connection.address for connection in expired] == [*range(20, 30)]
    assert idle.park(Connection(pairs[20][0], 20))
    idle.close()
    assert until(lambda: len(expired) == 11)
    assert not idle.park(Connection(pairs[21][0], 21))
    for pair in pairs:
        for stream in pair:
            stream.close()


# Limits that stood below 4,000 machines


def control_settings(tmp_path, connections):
    path = tmp_path / "control.hcl"
    path.write_text(f'connections = {connections}\nmachine "m" {{\n  cpus = 1\n  memory_gb = 1\n}}\n')
    return load_control_settings(str(path))


@pytest.mark.parametrize("connections", [1000, 4500, 10_000, 20_000])
def test_the_settings_take_connections_for_a_fleet_and_threads_stay_within_the_platforms(tmp_path, connections):
    settings = control_settings(tmp_path, connections)
    assert settings.connections == connections
    inner = settings.controller_settings(1, "127.0.0.1")
    assert connection_limits.max_incoming_connections(inner) >= 0.8 * connections  # bounded by the sockets only
    assert connection_limits.connection_threads(inner) > 1000
    assert connection_limits.connection_threads(inner) + connection_limits.unresponsive_threads(inner) <= 1900


def test_a_server_of_the_control_service_is_given_its_threads(tmp_path, monkeypatch, caplog):
    settings = control_settings(tmp_path, 4500)
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1024, 1024))
    control = Control(settings, tmp_path / "data")
    try:
        inner = settings.controller_settings(1, "127.0.0.1")
        threads = connection_limits.connection_threads(inner) + connection_limits.unresponsive_threads(inner)
        assert control.server.max_connections == 4500
        assert control.server.request_queue_size == 4500 // 16
        assert "may open 1024 files" in caplog.text
        assert control.server._idle is not None
        assert (
            control.server._threads._max_threads
            + (threads - connection_limits.connection_threads(inner))
            + MAX_AUXILIARY_SERVERS * AUXILIARY_THREADS
            <= 1900
        )
    finally:
        for gate in control.servers:
            gate.server_close()
        control.engine.close()


# Lists: pages that are continued


class NoProcesses(AgentProcesses):
    def __init__(self):
        pass


@pytest.fixture
def engine(tmp_path):
    engine = Engine(tmp_path / "state")
    yield engine
    engine.close()


def provider_of(engine, number):
    kind = MachineTypeSettings(1, 1, agents=number)
    provider = Provider(engine, "here", {"m": kind}, NoProcesses(), None, lambda name: None)
    provider._create_machines("m", True, number, "", None, None)
    return provider


def desk_of(engine, provider, connect=None):
    """A desk whose controller has heard of no machine but by an address."""
    fleet = SimpleNamespace(lock=threading.Lock(), machines={})
    controller = SimpleNamespace(
        machine_registry=fleet, job_api=SimpleNamespace(poll=lambda job: Reply(200, {"harbor": "done"}))
    )
    return ControlApi(engine, controller, provider, lambda kind: None, connect, 5.0)


def test_lists_of_a_fleet_are_whole(engine):
    """Over the cloud's interface by pages, at the desk in one answer, and as a restart reads the records."""
    provider = provider_of(engine, FLEET)
    for known in (
        provider,
        Provider(engine, "here", {"m": MachineTypeSettings(1, 1)}, NoProcesses(), None, lambda name: None),
    ):
        assert len(known.machines()) == FLEET
        names, more = [], True
        while more:
            page = known.request("GET", f"/machines?from={names[-1] if names else ''}&page=500")[1]
            names += [row["id"] for row in page["fleet"]]
            more = page["more"]
        assert names == [f"vm-{number + 1:06d}" for number in range(FLEET)]
    reply = desk_of(engine, provider).route("GET", paths.AGENTS, bytes)
    assert [row["machine"] for row in reply.body["agents"]] == names


def test_the_output_of_a_job_is_found_on_any_of_its_machines(engine):
    """Only the first 1,000 by name were asked."""
    machines = [f"vm-{number:06d}" for number in range(1200)]
    engine.transact({}, [Write(f"{RAN_ON_PREFIX}job/{machine}", b"1") for machine in machines])
    asked = []

    class Agent:
        def request(self, *_):
            asked.append(1)
            return (200, {"attempt": 1, "data": ""}) if len(asked) == len(machines) else (404, {})

    desk = desk_of(engine, None, lambda address: Agent())
    desk.address_of = lambda machine: ("127.0.0.1", 1)
    reply = desk.route("GET", f"{paths.OUTPUT}/job/0", bytes)
    assert reply.status == 200
    assert reply.body["machine"] == machines[-1]


@pytest.mark.parametrize("number", [0, 1, PAGE_ITEMS, PAGE_ITEMS + 1, FLEET])
def test_items_are_read_to_the_end(engine, number):
    if number:
        engine.transact({}, [Write(f"k/{key:06d}", b"1") for key in range(number)])
    engine.transact({}, [Write("l/other", b"1")])
    assert [row.key for row in engine.all_items("k/")] == [f"k/{key:06d}" for key in range(number)]


def test_items_of_the_state_service_go_on_after_each_page(engine):
    engine.transact({}, [Write(f"k/{key:06d}", b"1") for key in range(FLEET)])
    service = StoreService(engine, StoreLimits(1000.0, 1000.0, 4096, 64))
    keys, more = [], True
    while more:
        after = keys[-1] if keys else ""
        status, page = service.handle("GET", f"{wire.PATH_ITEMS}?under=k/&from={after}&page=5000", None)
        assert status == 200
        keys += [row["k"] for row in page["rows"]]
        more = page["more"]
    assert keys == [f"k/{key:06d}" for key in range(FLEET)]


def test_a_list_of_jobs_goes_on_after_each_page(engine):
    value = msgspec.json.encode({"command": ["x"]})
    engine.transact({}, [Write(f"{DESCRIPTION_PREFIX}job-{number:06d}", value) for number in range(450)])
    desk = desk_of(engine, None)
    found, after, more = [], "", True
    while more:
        body = desk.route("GET", f"{paths.JOBS}?after={after}", bytes).body
        found += [row["job"] for row in body["jobs"]]
        more, after = body["more"], body["last"]
    assert found == [f"job-{number:06d}" for number in range(450)]


def test_whoever_is_behind_more_changes_than_are_kept_is_told_to_read_again():
    feed = WatchFeed(0)
    feed.publish([Change(f"k/{number}", b"1", number + 1) for number in range(MAX_CHANGES + 1)], MAX_CHANGES + 1)
    with pytest.raises(RevisionTooOldError):
        feed.changes_since("k/", 0, 0.0)
    assert len(feed.changes_since("k/", 1, 0.0)[0]) == MAX_CHANGES
