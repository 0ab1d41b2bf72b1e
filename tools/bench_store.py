"""Benchmark of the embedded key-value store: SQLite and LMDB, with and without group commit.

    python3 -m tools.bench_store --dir DIR [--seconds 3] [--keys 10000 100000 1000000]

DIR selects the disk to measure. Needs requirements-bench.txt.
"""

from __future__ import annotations

import argparse
import json
import queue
import random
import shutil
import sys
import threading
import time
from concurrent.futures import Future
from pathlib import Path

import lmdb
from hdrh.histogram import HdrHistogram

from tidebend.kvstore import ConditionFailedError, Engine, Write, commit_queue
from tidebend.kvstore.database import connect

VALUE = json.dumps({"claims": "x" * 280}).encode()


class LmdbStore:
    """Minimal store on LMDB for comparison: a single writer thread that commits queued operations together."""

    def __init__(self, directory: Path, max_operations: int) -> None:
        directory.mkdir(parents=True)
        self._max_batch = max_operations
        self._open(directory)
        self._queue: queue.Queue = queue.Queue()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def _open(self, directory: Path) -> None:
        self._env = lmdb.open(str(directory), map_size=4 << 30, sync=True, metasync=True)
        with self._env.begin() as reading:
            raw = reading.get(b"\0revision")
            self.revision = int.from_bytes(raw or b"", "big")

    def transact(self, conditions: dict[str, int], writes: list[Write]) -> int:
        answer: Future = Future()
        self._queue.put((conditions, writes, answer))
        return answer.result()

    def _write(self) -> None:
        while True:
            batch = [self._queue.get()]
            while len(batch) < self._max_batch and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            if batch[-1] is None:
                return
            outcomes = []
            with self._env.begin(write=True) as writing:
                for conditions, writes, answer in batch:
                    failed = [
                        key
                        for key, version in conditions.items()
                        if int.from_bytes((writing.get(key.encode()) or b"")[:8], "big") != version
                    ]
                    if failed:
                        outcomes.append((answer, ConditionFailedError(failed, self.revision)))
                        continue
                    self.revision += 1
                    for write in writes:
                        writing.put(write.key.encode(), self.revision.to_bytes(8, "big") + write.value)
                    outcomes.append((answer, self.revision))
                writing.put(b"\0revision", self.revision.to_bytes(8, "big"))
            for answer, outcome in outcomes:
                if isinstance(outcome, Exception):
                    answer.set_exception(outcome)
                else:
                    answer.set_result(outcome)

    def close(self) -> None:
        self._queue.put(None)
        self._thread.join(5.0)
        self._env.close()


def run_load(store: Engine | LmdbStore, clients: int, seconds: float) -> dict[str, float]:
    """Run clients that write to their own keys, each write conditional on the key's last revision."""
    histograms = [HdrHistogram(1, 60_000_000, 3) for _ in range(clients)]
    counts = [0] * clients
    end = time.monotonic() + seconds

    def client(number: int) -> None:
        versions: dict[str, int] = {}
        draw = random.Random(number)
        while time.monotonic() < end:
            key = f"load/{number}/{draw.randrange(200)}"
            began = time.perf_counter()
            versions[key] = store.transact(
                {key: versions.get(key, 0)}, [Write(key, VALUE), Write(f"load/{number}/team", VALUE)]
            )
            histograms[number].record_value(int((time.perf_counter() - began) * 1e6))
            counts[number] += 1

    threads = [threading.Thread(target=client, args=(number,)) for number in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for other in histograms[1:]:
        histograms[0].add(other)
    return {
        "tx_per_s": round(sum(counts) / seconds),
        "p50_ms": histograms[0].get_value_at_percentile(50) / 1000,
        "p99_ms": histograms[0].get_value_at_percentile(99) / 1000,
    }


def fill_sqlite(directory: Path, keys: int) -> None:
    Engine(directory).close()
    connection = connect(directory)
    connection.execute("BEGIN")
    connection.executemany(
        "INSERT INTO items VALUES (?, ?, ?, NULL)",
        ((f"final/{number:09}", VALUE, number + 1) for number in range(keys)),
    )
    connection.execute("UPDATE facts SET value = ? WHERE name = 'revision'", (keys,))
    connection.execute("COMMIT")
    connection.close()


def fill_lmdb(directory: Path, keys: int) -> None:
    directory.mkdir(parents=True)
    env = lmdb.open(str(directory), map_size=4 << 30)
    with env.begin(write=True) as writing:
        for number in range(keys):
            writing.put(f"final/{number:09}".encode(), (number + 1).to_bytes(8, "big") + VALUE)
    env.close()


def measure_open(root: Path, keys: int) -> dict[str, float]:
    fill_sqlite(root / "sqlite", keys)
    fill_lmdb(root / "lmdb", keys)
    began = time.perf_counter()
    engine = Engine(root / "sqlite")
    sqlite_s = time.perf_counter() - began
    engine.close()
    began = time.perf_counter()
    env = lmdb.open(str(root / "lmdb"), map_size=4 << 30)
    with env.begin() as reading:
        reading.get(b"final/000000000")
    lmdb_s = time.perf_counter() - began
    env.close()
    size = {name: sum(path.stat().st_size for path in (root / name).iterdir()) / 1e6 for name in ("sqlite", "lmdb")}
    return {
        "keys": keys,
        "sqlite_s": round(sqlite_s, 3),
        "lmdb_s": round(lmdb_s, 3),
        "sqlite_mb": round(size["sqlite"]),
        "lmdb_mb": round(size["lmdb"]),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--dir", required=True, type=Path)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--keys", type=int, nargs="*", default=[10_000, 100_000, 1_000_000])
    arguments = parser.parse_args()
    root = arguments.dir / "bench-store"
    shutil.rmtree(root, ignore_errors=True)
    stores = {
        "sqlite, shared syncs": lambda place: Engine(place),
        "sqlite, one a sync": lambda place: Engine(place),
        "lmdb, shared syncs": lambda place: LmdbStore(place, 256),
        "lmdb, one a sync": lambda place: LmdbStore(place, 1),
    }
    max_operations = commit_queue.MAX_OPERATIONS_PER_COMMIT
    for round_number in range(arguments.rounds):
        for clients in (1, 8, 32):
            for name, make in stores.items():
                commit_queue.MAX_OPERATIONS_PER_COMMIT = 1 if "one" in name else max_operations
                store = make(root / f"{round_number}-{clients}-{name.replace(' ', '')}")
                print(
                    json.dumps({"store": name, "clients": clients, **run_load(store, clients, arguments.seconds)}),
                    flush=True,
                )
                store.close()
    for keys in arguments.keys:
        print(json.dumps(measure_open(root / str(keys), keys)), flush=True)
    shutil.rmtree(root, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
