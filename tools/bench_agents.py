"""Benchmark of the control service with many simulated agents: CPU, memory and the latency of a task's start.

    python3 -m tools.bench_agents --dir DIR [--agents 50 100 200 400] [--seconds 20]

Simulated agents use real sockets and the full protocol (reports, commands, fencing tokens) but start no processes: a
task counts as started when its start command arrives. `--real` measures one real agent instead, from the submission to
the first line of the task.
Needs requirements-bench.txt.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import time
import uuid
from pathlib import Path

from hdrh.histogram import HdrHistogram

from tidebend.access import Keyring
from tidebend.client.api_client import ApiClient
from tidebend.client.jobfile import JobBlock, single_job

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = """
keep_idle_s = 900000
machine "light" {
  cpus      = 4
  memory_gb = 8
}
machine "real" {
  cpus      = 4
  memory_gb = 8
  agents    = %d
}
"""
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class SimulatedAgent:
    """Simulated agent that starts no processes."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.name, self.token, self.sequence = "", 0, 0
        self.tasks: dict[str, dict] = {}
        self.address = ""
        self.reader = self.writer = None

    async def call(self, method: str, path: str, body: dict) -> tuple[int, dict]:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.bench.control)
        return await exchange(self.reader, self.writer, method, path, body, self.bench.key)

    async def run(self) -> None:
        server = await asyncio.start_server(self.serve_commands, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        _, joined = await self.call("POST", "/desk/agents", {"nonce": uuid.uuid4().hex, "kind": "light", "label": "l"})
        self.name = joined["machine"]
        while True:
            began = time.monotonic()
            status, answer = await self.call("POST", "/v1/report", self.body())
            self.bench.reports += 1
            if status == 200 and answer["helm"] >= self.token:
                self.token = answer["helm"]
                self.execute(answer["orders"])
            rest = self.bench.report_s * random.uniform(0.75, 1.25) - (time.monotonic() - began)
            await asyncio.sleep(max(0.0, rest))

    def body(self) -> dict:
        self.sequence += 1
        return {
            "vessel": self.name,
            "address": self.address,
            "hull": "light",
            "harbor": "here",
            "driftwood": False,
            "watch": 1,
            "tally": self.sequence,
            "helm": self.token,
            "warningS": None,
            "pieces": list(self.tasks.values()),
        }

    def execute(self, commands: list[dict]) -> None:
        for order in commands:
            task = order["piece"]
            if order["order"] == "start" and task not in self.tasks:
                self.bench.started[task] = time.monotonic()
                # The task ends at once; the next report shows it.
                self.tasks[task] = {"piece": task, "launch": order["launch"], "tide": "ended", "cause": "done"}
            elif order["order"] == "clear":
                self.tasks.pop(task, None)

    async def serve_commands(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, body = await read_message(reader)
            if head is None:
                return
            if body and body["watch"] == 1 and body["helm"] >= self.token:
                self.token = body["helm"]
                self.execute(body["orders"])
            data = json.dumps(self.body()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))


class Bench:
    """State shared by the simulated agents."""

    def __init__(self, control: tuple[str, int], key: str, report_s: float) -> None:
        self.control, self.key, self.report_s = control, key, report_s
        self.started: dict[str, float] = {}
        self.reports = 0


async def read_message(reader: asyncio.StreamReader) -> tuple[str | None, dict | None]:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lengths = [line.partition(":")[2] for line in head.split("\r\n") if line.lower().startswith("content-length")]
        raw = await reader.readexactly(int(lengths[0])) if lengths else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None, None
    return head, json.loads(raw) if raw else None


async def exchange(reader, writer, method: str, path: str, body: dict, key: str) -> tuple[int, dict]:
    data = json.dumps(body).encode()
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n".encode()
        + data
    )
    head, answer = await read_message(reader)
    if head is None:
        raise ConnectionError
    return int(head.split()[1]), answer or {}


def process_usage(pid: int) -> tuple[float, float, int]:
    """Return a process's CPU seconds, resident memory in MB and number of threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    memory = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, memory, int(fields[17])


def start_control_service(directory: Path, real_agents: int) -> tuple[subprocess.Popen, ApiClient]:
    directory.mkdir(parents=True)
    (directory / "control.hcl").write_text(SETTINGS % real_agents)
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join([str(ROOT), *(part for part in sys.path if part)])}
    with open(directory / "log", "wb") as out:
        control = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tidebend",
                "control",
                "--config",
                str(directory / "control.hcl"),
                "--data",
                str(directory),
            ],
            stdout=out,
            stderr=out,
            env=environment,
        )
    while not (directory / "address").exists():
        time.sleep(0.05)
    return control, ApiClient(directory)


async def bench_simulated_agents(directory: Path, agents: int, seconds: float) -> dict[str, float]:
    control, api_client = start_control_service(directory, 0)
    try:
        host, _, port = api_client.address.rpartition(":")
        bench = Bench((host, int(port)), Keyring(directory / "keys.json").bearer_token(), 1.0)
        running = [asyncio.create_task(SimulatedAgent(bench).run()) for _ in range(agents)]
        loop = asyncio.get_running_loop()
        while len(await loop.run_in_executor(None, api_client.agents)) < agents:
            await asyncio.sleep(0.2)
        await asyncio.sleep(3.0)
        reports, before, began = bench.reports, process_usage(control.pid), time.monotonic()
        await asyncio.sleep(seconds)
        after, passed = process_usage(control.pid), time.monotonic() - began
        reports = bench.reports - reports
        histogram = HdrHistogram(1, 60_000_000, 3)
        for _ in range(60):
            submission = single_job(JobBlock(command=["true"]), "bench")
            submitted_at = time.monotonic()
            await loop.run_in_executor(None, api_client.submit, submission)
            task = f"{submission.job}/0"
            while task not in bench.started:
                await asyncio.sleep(0.001)
            histogram.record_value(int((bench.started[task] - submitted_at) * 1e6))
            await asyncio.sleep(0.2)
        for each in running:
            each.cancel()
        return {
            "agents": agents,
            "reports_per_s": round(reports / passed, 1),
            "core": round((after[0] - before[0]) / passed, 3),
            "ms_a_report": round(1000 * (after[0] - before[0]) / max(1, reports), 2),
            "memory_mb": round(after[1]),
            "threads": after[2],
            "start_p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "start_p99_ms": histogram.get_value_at_percentile(99) / 1000,
        }
    finally:
        control.terminate()
        control.wait(20.0)


def bench_real_agent(directory: Path, tasks: int) -> dict[str, float]:
    control, api_client = start_control_service(directory, 1)
    try:
        while not any(row["heard_s_ago"] is not None for row in api_client.agents()):
            time.sleep(0.2)
        time.sleep(2.0)
        histogram = HdrHistogram(1, 60_000_000, 3)
        log = directory / "begun"
        for number in range(tasks):
            submission = single_job(
                JobBlock(command=["sh", "-c", f"cut -d' ' -f1 /proc/uptime; date +%s.%N >> {log}"]), "b"
            )
            submitted_at = time.time()
            api_client.submit(submission)
            while not log.exists() or len(log.read_text().splitlines()) <= number:
                time.sleep(0.002)
            histogram.record_value(int((float(log.read_text().splitlines()[number]) - submitted_at) * 1e6))
            time.sleep(0.8)  # lets the machine become idle again
        return {
            "real agents": 1,
            "starts": tasks,
            "start_p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "start_p99_ms": histogram.get_value_at_percentile(99) / 1000,
        }
    finally:
        control.terminate()
        control.wait(20.0)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--dir", required=True, type=Path)
    parser.add_argument("--agents", type=int, nargs="*", default=[50, 100, 200, 400])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--real", action="store_true")
    arguments = parser.parse_args()
    if arguments.real:
        print(json.dumps(bench_real_agent(arguments.dir / "real", 60)), flush=True)
        return 0
    for agents in arguments.agents:
        print(
            json.dumps(asyncio.run(bench_simulated_agents(arguments.dir / str(agents), agents, arguments.seconds))),
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
