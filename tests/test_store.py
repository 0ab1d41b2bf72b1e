"""The embedded key-value store: the protocol's answers, and the data that is left after each kind of failure."""

import json
import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from tidebend.kvstore import (
    ConditionFailedError,
    DataDamagedError,
    DirectoryLockedError,
    Engine,
    LeaseEndedError,
    StoreService,
    StoreUnavailableError,
    Write,
)
from tidebend.kvstore.database import DATABASE_FILE
from tidebend.settings import StoreLimits

LIMITS = StoreLimits(1e6, 1e6, 1024, 4)
# A data directory written by the code of commit b21e54f, with the content that this code read from it. It was copied
# while the store was open, so its last change is in the write-ahead log only.
SAMPLE = Path(__file__).parent / "samples" / "kvstore-b21e54f"


@pytest.fixture
def engine(tmp_path):
    engine = Engine(tmp_path / "s")
    yield engine
    engine.close()


def reopen(engine, tmp_path):
    engine.close()
    return Engine(tmp_path / "s")


REQUESTS = """
POST /multi {"if":[{"k":"a/b","stamp":0}],"writes":[{"put":"a/b","v":{"x":1}}]} -> 200 {"logline":1}
POST /multi {"if":[{"k":"a/b","stamp":0}],"writes":[{"put":"a/c","v":1}]} -> 409 {"logline":1,"failed":["a/b"]}
POST /multi {"if":[{"k":"a/b","stamp":1}]} -> 200 {"logline":1}
POST /multi {"writes":[{"put":"a/c","v":null},{"delete":"a/b"}]} -> 200 {"logline":2}
GET /kv/a/b -> 404 {"logline":2}
GET /kv/a/c -> 200 {"k":"a/c","v":null,"stamp":2}
GET /kv?under=a/&page=1 -> 200 {"rows":[{"k":"a/c","v":null,"stamp":2}],"more":false,"logline":2}
GET /changes?under=a%2F&from=1 -> 200 {"logline":2,"log":[{"put":"a/c","v":null,"stamp":2},{"delete":"a/b","stamp":2}]}
GET /changes?under=b%2F&from=0 -> 200 {"logline":2,"log":[]}
GET /changes?under=a%2F -> 400
GET /changes?under=a%2F&from=x -> 400
POST /multi {"writes":[{"put":"a b","v":1}]} -> 400
POST /multi {"writes":[{"put":"x","delete":"y"}]} -> 400
POST /multi {"writes":[{"delete":"x"},{"delete":"y"},{"delete":"z"},{"delete":"w"},{"delete":"u"}]} -> 400
POST /multi {"writes":[{"put":"x","v":1,"mooring":99}]} -> 400 {"error":"no such lease"}
POST /multi [] -> 400
POST /grants {"lifeMs":99} -> 400
POST /grants {"lifeMs":600000} -> 200 {"mooring":1}
POST /grants/1/extend -> 200 {}
DELETE /grants/1 -> 200 {}
POST /grants/1/extend -> 404
POST /grants/x/extend -> 400
GET /nothing -> 404
"""


def test_answers_are_the_protocols(engine):
    service = StoreService(engine, LIMITS)
    for line in REQUESTS.strip().splitlines():
        request, _, expected = line.partition(" -> ")
        method, path, *body = request.split(" ", 2)
        status, answer = service.handle(method, path, json.loads(body[0]) if body else None)
        wanted, _, text = expected.partition(" ")
        assert status == int(wanted), (line, answer)
        if text:
            assert answer == json.loads(text), line


def test_a_value_and_a_transaction_have_their_limits(engine):
    service = StoreService(engine, StoreLimits(1e6, 1e6, 60 * 1024, 4))
    big = "x" * (60 * 1024 - 2)
    assert service.handle("POST", "/multi", {"writes": [{"put": "a", "v": big}]})[0] == 200
    assert service.handle("POST", "/multi", {"writes": [{"put": "a", "v": big + "x"}]})[0] == 400
    assert service.handle("POST", "/multi", {"writes": [{"put": "a", "v": big}, {"put": "b", "v": big}]})[0] == 400


def test_more_than_the_rates_is_refused_and_not_executed(engine):
    service = StoreService(engine, StoreLimits(1e6, 5.0, 1024, 4))
    statuses = [service.handle("POST", "/multi", {"writes": [{"put": f"k{n}", "v": 1}]})[0] for n in range(8)]
    assert statuses.count(200) in (5, 6)
    assert engine.count("k") == statuses.count(200)


def test_keys_go_with_their_lease_and_only_then(engine):
    lease = engine.grant_lease(300)
    engine.transact({}, [Write("mine", b"1", lease), Write("kept", b"1", lease)])
    engine.transact({}, [Write("kept", b"2")])  # detaches it from the lease
    for _ in range(4):
        time.sleep(0.1)
        assert engine.leases.extend(lease)
    assert engine.get("mine")[0] is not None
    deadline = time.monotonic() + 3.0
    while engine.get("mine")[0] is not None and time.monotonic() < deadline:
        time.sleep(0.02)
    assert engine.get("mine")[0] is None
    assert engine.get("kept")[0] is not None
    assert not engine.leases.extend(lease)
    with pytest.raises(LeaseEndedError):
        engine.transact({"nothing": 7}, [Write("mine", b"1", lease)])


def test_a_restart_keeps_all_and_gives_leases_their_full_time(engine, tmp_path):
    lease = engine.grant_lease(1000)
    engine.transact({}, [Write("mine", b"1", lease), Write("other", b"2")])
    revision = engine.transact({}, [Write("gone", b"1")])
    engine.transact({"gone": revision}, [Write("gone", None)])
    time.sleep(0.6)
    again = reopen(engine, tmp_path)
    try:
        assert again.feed.revision == revision + 1
        assert again.get("gone")[0] is None
        time.sleep(0.6)  # the sum of both pauses exceeds the lifetime, the time since the restart does not
        assert again.get("mine")[0].value == 1
        assert again.leases.extend(lease)
        assert again.grant_lease(1000) > lease  # lease IDs are never reused
        assert again.transact({}, [Write("x", b"1")]) > revision + 1
        # a watch continues from its revision, or is told to read its keys again
        service = StoreService(again, LIMITS)
        assert service.handle("GET", f"/changes?under=&from={revision}", None)[0] == 410
        assert service.handle("GET", f"/changes?under=&from={revision + 1}", None)[1]["log"][0]["put"] == "x"
    finally:
        again.close()


def test_after_a_standstill_leases_have_their_full_time(engine, monkeypatch):
    lease = engine.grant_lease(5000)
    real_clock, offset = time.monotonic, 0.0
    monkeypatch.setattr(time, "monotonic", lambda: real_clock() + offset)
    offset = 60.0  # as if the process had been paused
    time.sleep(0.3)
    assert engine.leases.extend(lease)


@pytest.mark.parametrize("step", [-86_400.0, 86_400.0])
def test_a_clock_that_is_set_changes_nothing(engine, monkeypatch, step):
    lease = engine.grant_lease(1000)
    engine.transact({}, [Write("mine", b"1", lease)])
    real_clock = time.time
    monkeypatch.setattr(time, "time", lambda: real_clock() + step)
    time.sleep(0.5)
    assert engine.get("mine")[0] is not None
    assert engine.leases.extend(lease)
    time.sleep(0.7)  # longer than its lifetime without the extension
    assert engine.get("mine")[0] is not None
    time.sleep(0.6)
    assert engine.get("mine")[0] is None
    assert not engine.leases.extend(lease)


def test_a_second_service_on_the_directory_is_refused(engine, tmp_path):
    with pytest.raises(DirectoryLockedError):
        Engine(tmp_path / "s")
    engine.transact({}, [Write("a", b"1")])


@pytest.mark.parametrize("how", ["newer", "foreign", "overwritten", "cut"])
def test_a_file_that_cant_be_used_is_told_and_not_touched(tmp_path, how):
    engine = Engine(tmp_path / "s")
    for number in range(200):
        engine.transact({}, [Write(f"k/{number}", b'"' + b"x" * 500 + b'"')])
    engine.close()
    path = tmp_path / "s" / DATABASE_FILE
    if how == "newer":
        with sqlite3.connect(path) as db:
            db.execute("PRAGMA user_version = 99")
    elif how == "foreign":
        with sqlite3.connect(path) as db:
            db.execute("PRAGMA application_id = 12345")
    elif how == "overwritten":
        with open(path, "r+b") as file:
            file.seek(3 * 4096)
            file.write(b"\xff" * 8192)
    else:
        os.truncate(path, path.stat().st_size - 20_000)
    before = path.read_bytes()
    with pytest.raises(DataDamagedError, match=DATABASE_FILE):
        Engine(tmp_path / "s")
    assert path.read_bytes() == before


def test_a_torn_last_page_costs_only_what_nobody_was_told(tmp_path):
    engine = Engine(tmp_path / "s")
    engine.transact({}, [Write("first", b"1")])
    log = tmp_path / "s" / f"{DATABASE_FILE}-wal"
    length = log.stat().st_size
    engine.transact({}, [Write("second", b"1")])
    files = {name: (tmp_path / "s" / name).read_bytes() for name in (DATABASE_FILE, f"{DATABASE_FILE}-wal")}
    engine.close()
    # a power loss before the second sync: only a part of the second change is on disk
    torn = tmp_path / "torn"
    torn.mkdir()
    (torn / DATABASE_FILE).write_bytes(files[DATABASE_FILE])
    (torn / f"{DATABASE_FILE}-wal").write_bytes(files[f"{DATABASE_FILE}-wal"][: length + 100] + b"\0" * 3000)
    again = Engine(torn)
    assert again.get("first")[0] is not None
    assert again.get("second")[0] is None
    assert again.feed.revision == 1
    again.close()


def test_a_full_disk_refuses_changes_and_recovers_by_itself(engine):
    engine.transact({}, [Write("before", b"1")])
    pages = engine._connection.execute("PRAGMA page_count").fetchone()[0]
    engine._connection.execute(f"PRAGMA max_page_count = {pages}")
    big = b'"' + b"x" * 20_000 + b'"'
    with pytest.raises(StoreUnavailableError, match="full"):
        engine.transact({}, [Write("big", big)])
    with pytest.raises(StoreUnavailableError):
        engine.transact({}, [Write("big2", big)])
    assert (
        StoreService(engine, StoreLimits(1e6, 1e6, 32768, 4)).handle(
            "POST", "/multi", {"writes": [{"put": "big", "v": "x" * 20_000}]}
        )[0]
        == 503
    )
    assert engine.get("before")[0].value == 1
    assert engine.get("big")[0] is None
    revision = engine.feed.revision
    engine._connection.execute("PRAGMA max_page_count = 1000000")
    assert engine.transact({}, [Write("big", big)]) == revision + 1
    assert engine.write_error is None


def test_changes_of_many_share_their_syncs(engine):
    def client(number):
        for round_number in range(20):
            engine.transact({}, [Write(f"k/{number}/{round_number}", b"1")])

    before = engine.syncs
    threads = [threading.Thread(target=client, args=(number,)) for number in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert engine.count("k/") == 320
    assert engine.syncs - before < 320


def test_of_two_that_want_the_same_one_gets_it(engine):
    won = []

    def client(number):
        for round_number in range(30):
            try:
                engine.transact({f"k/{round_number}": 0}, [Write(f"k/{round_number}", b"%d" % number)])
                won.append((round_number, number))
            except ConditionFailedError:
                continue

    threads = [threading.Thread(target=client, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(won) == 30
    assert all(engine.get(f"k/{round_number}")[0].value == number for round_number, number in won)


WRITER_SCRIPT = """
import sys
from pathlib import Path
from tidebend.kvstore import Engine, Write
engine = Engine(Path(sys.argv[1]))
for number in range(100):
    engine.transact({}, [Write(f"k/{number:03}", b"1")])
    print(number, flush=True)
"""


@pytest.mark.parametrize("fault", ["store.before-commit:20", "store.after-commit:20"])
def test_killed_in_a_sync_what_was_answered_is_there(tmp_path, fault):
    process = subprocess.run(
        [sys.executable, "-c", WRITER_SCRIPT, str(tmp_path / "s")],
        capture_output=True,
        text=True,
        env={**os.environ, "TIDEBEND_FAULT": fault},
    )
    assert process.returncode == -signal.SIGKILL
    answered = len(process.stdout.split())
    assert answered == 19
    engine = Engine(tmp_path / "s")
    # a change that was not answered is there completely or not at all
    assert engine.count("k/") == answered + (fault.startswith("store.after"))
    assert engine.feed.revision == engine.count("k/")
    engine.close()


def copy_sample(tmp_path):
    for name in (DATABASE_FILE, f"{DATABASE_FILE}-wal"):
        shutil.copy(SAMPLE / name, tmp_path / name)
    return json.loads((SAMPLE / "expected.json").read_text())


def test_a_data_directory_of_an_earlier_version_is_read_as_it_was(tmp_path):
    expected = copy_sample(tmp_path)
    engine = Engine(tmp_path)
    try:
        rows, more, revision = engine.items("", "", 1000, 1 << 20)
        assert [[row.key, row.value, row.version, row.lease] for row in rows] == expected["items"]
        assert not more
        assert revision == engine.feed.revision == expected["revision"]
        lifetimes = dict(engine._connection.execute("SELECT id, life_ms FROM leases"))
        assert {str(number): lifetime for number, lifetime in lifetimes.items()} == expected["leases"]
        numbers = range(1, expected["last_lease"] + 1)
        assert [str(number) for number in numbers if engine.leases.extend(number)] == [*expected["leases"]]
        # new leases and revisions continue from the stored ones
        assert engine.grant_lease(1000) == expected["last_lease"] + 1
        assert engine.transact({"job/req-a": 1}, [Write("job/req-a", b"2")]) == revision + 1
        assert engine.end_lease(1)
        assert [row.key for row in engine.all_items("")] == ["job/req-a", "job/req-ü", "text"]
    finally:
        engine.close()


def stored_format(directory):
    with sqlite3.connect(directory / DATABASE_FILE) as db:
        tables = db.execute("SELECT type, name, sql FROM sqlite_master ORDER BY type, name").fetchall()
        pragmas = ("application_id", "user_version", "journal_mode", "page_size", "encoding")
        return tables, [db.execute(f"PRAGMA {name}").fetchone()[0] for name in pragmas]


def test_a_new_data_directory_has_the_stored_form_of_an_earlier_version(tmp_path):
    Engine(tmp_path / "new").close()
    (tmp_path / "old").mkdir()
    copy_sample(tmp_path / "old")
    assert stored_format(tmp_path / "new") == stored_format(tmp_path / "old")
