"""Authentication by keys, key rotation, TLS, and clients that occupy connections without a key."""

import os
import socket
import threading
import time

import pytest

from tidebend.access import (
    AuthenticatedServer,
    CertificateError,
    KeyedClient,
    KeyFileError,
    Keyring,
    NotLoopbackError,
    create_keyring,
    make_certificate,
    parse_listen_address,
    rotate_keyring,
)
from tidebend.transport import HttpClient, NoAnswerError, Reply, UnreachableError


@pytest.fixture
def server(tmp_path):
    create_keyring(tmp_path / "keys")
    ring = Keyring(tmp_path / "keys")
    served = []

    def route(method, path, body):
        served.append((method, path, body()))
        return Reply(200, {"n": len(served)})

    server = AuthenticatedServer(
        ("127.0.0.1", 0), route, ring, idle_timeout_s=20.0, body_timeout_s=1.0, max_connections=40
    )
    threading.Thread(target=server.serve_forever, daemon=True).start()
    server.served = served
    yield server
    server.shutdown()
    server.server_close()


def client(server, bearer_token=None):
    return KeyedClient(server.server_address[:2], bearer_token or server.keyring.bearer_token)


def send_raw(server, text):
    stream = socket.create_connection(server.server_address[:2], timeout=10.0)
    stream.sendall(text.encode())
    return stream


def test_the_right_key_gets_in_and_nothing_else(server, caplog):
    assert client(server).request("POST", "/x", {"a": 1}) == (200, {"n": 1})
    right = server.keyring.bearer_token()
    for wrong in ("", "x", right[:-1], right + "x", right.partition(".")[2], right.partition(".")[0] + ".", "\xe9"):
        assert client(server, lambda wrong=wrong: wrong).request("POST", "/x", {"a": 1})[0] == 401
    assert HttpClient(server.server_address[:2]).request("POST", "/x", {"a": 1})[0] == 401
    assert len(server.served) == 1
    assert "rejected request" in caplog.text
    assert right not in caplog.text


def test_a_rotation_stops_nothing(server):
    path = server.keyring.path
    old = server.keyring.bearer_token()
    rotate_keyring(path, overlap_s=1.5)
    deadline = time.monotonic() + 5.0
    while server.keyring.bearer_token() == old and time.monotonic() < deadline:
        time.sleep(0.05)
    assert client(server).request("GET", "/new")[0] == 200
    assert client(server, lambda: old).request("GET", "/old")[0] == 200
    time.sleep(1.6)
    assert client(server, lambda: old).request("GET", "/old")[0] == 401
    assert client(server).request("GET", "/new")[0] == 200


def test_a_file_that_others_can_read_is_refused(tmp_path):
    create_keyring(tmp_path / "keys")
    assert os.stat(tmp_path / "keys").st_mode & 0o777 == 0o600
    with pytest.raises(KeyFileError, match="already exists"):
        create_keyring(tmp_path / "keys")
    os.chmod(tmp_path / "keys", 0o644)
    with pytest.raises(KeyFileError, match="accessible to other users"):
        Keyring(tmp_path / "keys")


def test_a_file_that_breaks_leaves_the_known_keys_in_force(server):
    server.keyring.path.write_text("{")
    time.sleep(0.6)
    assert client(server).request("GET", "/x")[0] == 200


def test_connections_that_say_nothing_keep_nobody_out(server):
    silent = [send_raw(server, "") for _ in range(1000)]
    try:
        assert client(server).request("GET", "/x")[0] == 200
    finally:
        for stream in silent:
            stream.close()


def test_a_body_that_comes_byte_by_byte_is_cut_off(server):
    head = f"POST /x HTTP/1.1\r\nAuthorization: Bearer {server.keyring.bearer_token()}\r\nContent-Length: 1000\r\n\r\n"
    slow = send_raw(server, head)
    began = time.monotonic()

    def send_slowly():
        for _ in range(200):
            slow.sendall(b"x")
            time.sleep(0.05)

    with pytest.raises(ConnectionError):
        send_slowly()
    # each byte arrived in time, but the whole body didn't
    assert time.monotonic() - began < 8.0
    assert client(server).request("GET", "/x")[0] == 200


def test_a_body_without_a_key_isnt_read(server):
    stream = send_raw(server, "POST /x HTTP/1.1\r\nContent-Length: 1000\r\n\r\n")
    assert b"401" in stream.recv(1000)
    assert not server.served


@pytest.mark.parametrize("text", ["192.168.1.1:80", "10.0.0.1:0", "example.org:80"])
def test_beyond_loopback_nothing_listens(text):
    with pytest.raises(NotLoopbackError, match="without TLS"):
        parse_listen_address(text, tls=False)


@pytest.mark.parametrize(
    "text", ["127.0.0.1", ":80", "127.0.0.1:x", "127.0.0.1:70000", "0.0.0.0:1", "[::1]:80", "1.2:80"]
)
def test_what_is_no_address_is_told(text):
    with pytest.raises(ValueError, match=r"HOST:PORT|IPv4|one address of this machine"):
        parse_listen_address(text, tls=True)


def test_inside_tls_both_sides_are_checked(tmp_path):
    tls = make_certificate(tmp_path / "ours", "server", ["127.0.0.1"])
    elsewhere = make_certificate(tmp_path / "ours", "other", ["10.0.0.1"])
    foreign = make_certificate(tmp_path / "foreign", "server", ["127.0.0.1"])
    create_keyring(tmp_path / "keys")
    ring = Keyring(tmp_path / "keys")
    servers = {}
    for name, certificate in (("right", tls), ("elsewhere", elsewhere)):
        servers[name] = AuthenticatedServer(
            ("127.0.0.1", 0), lambda *_: Reply(200, {}), ring, 20.0, 1.0, 40, certificate.server_context()
        )
        threading.Thread(target=servers[name].serve_forever, daemon=True).start()
    try:

        def ask(name, key, trusted):
            address = servers[name].server_address[:2]
            return KeyedClient(address, lambda: key, tls=trusted and trusted.client_context()).request("GET", "/x")[0]

        assert ask("right", ring.bearer_token(), tls) == 200
        assert ask("right", "wrong", tls) == 401
        for name, trusted in (("right", foreign), ("right", None), ("elsewhere", tls)):
            with pytest.raises((UnreachableError, NoAnswerError)):
                ask(name, ring.bearer_token(), trusted)
        silent = [send_raw(servers["right"], "") for _ in range(100)]  # no handshake: counted as unauthenticated, too
        assert ask("right", ring.bearer_token(), tls) == 200
        for stream in silent:
            stream.close()
    finally:
        for server in servers.values():
            server.shutdown()
            server.server_close()
    os.chmod(tls.key, 0o644)
    with pytest.raises(CertificateError, match="accessible to other users"):
        tls.server_context()
