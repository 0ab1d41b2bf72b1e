"""Loopback test: kill real control service and agent processes at random times and check what tasks and users saw.

    python3 -m tools.loopback --seconds 1200 --seed 7 --dir DIR

Jobs of all kinds are submitted continuously. Meanwhile the control service and the agents are killed, stopped and
continued, separately and together, according to a printed seed. Finally every job must reach a final state. The checker
reads three independent sources: the log written by the tasks (each holds a file lock while it runs, which reveals
concurrent attempts), the agents' event logs, and all answers to users.
"""

from __future__ import annotations

import argparse
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from tidebend.client.api_client import ApiClient, ControlServiceUnreachableError, RequestRejectedError
from tidebend.client.jobfile import JobBlock, JobSubmission, new_job_id
from tidebend.provider.agents import AgentProcesses

ROOT = Path(__file__).resolve().parent.parent
STORE_POINTS = ("store.before-commit", "store.after-commit")
AGENT_POINTS = ("agent.written-down", "agent.begun", "agent.identified", "agent.session-noted")
REPORT_S, LEASE_S, CANCEL_S = 0.3, 3.0, 8.0

SETTINGS = f"""
listen = "127.0.0.1:0"
agents_alone_leases = 100
times {{
  report_s    = {REPORT_S}
  lease_s     = {LEASE_S}
  cancel_s    = {CANCEL_S}
  gang_wait_s = 10
  gang_peer_s = 2
}}
machine "small" {{
  cpus      = 4
  memory_gb = 4
  agents    = 3
}}
machine "far" {{
  cpus      = 4
  memory_gb = 4
}}
"""

# Holds a file lock until the task and all its child processes have ended, which a concurrent attempt finds taken.
TASK = """
exec 9>>"$E/locks/$TIDEBEND_JOB.$TIDEBEND_TASK"
flock -n 9 || echo "twice $TIDEBEND_JOB/$TIDEBEND_TASK $TIDEBEND_ATTEMPT 0" >> "$E/log"
echo "begin $TIDEBEND_JOB/$TIDEBEND_TASK $TIDEBEND_ATTEMPT $(cut -d' ' -f1 /proc/uptime)" >> "$E/log"
{trap}
{child}
sleep {seconds} & wait $!
echo "end $TIDEBEND_JOB/$TIDEBEND_TASK $TIDEBEND_ATTEMPT $(cut -d' ' -f1 /proc/uptime)" >> "$E/log"
"""


@dataclass
class SubmittedJob:
    ready: JobSubmission
    accepted: bool = False
    cancel_at: float | None = None  # monotonic time at which the user cancels it
    cancelled_at: float | None = None  # uptime at which the user received the answer "cancelled"
    answers: list[tuple[float, str]] = field(default_factory=list)


class Loopback:
    def __init__(self, directory: Path, seed: int, say=print) -> None:
        self.directory = directory
        self.random = random.Random(seed)
        self.say = say
        self.evidence = directory / "evidence"
        (self.evidence / "locks").mkdir(parents=True)
        self.settings = directory / "control.hcl"
        self.settings.write_text(SETTINGS)
        self.data = directory / "data"
        self.environment = {
            **os.environ,
            "LOG_LEVEL": "info",
            "PYTHONPATH": os.pathsep.join([str(ROOT), *(part for part in sys.path if part)]),
        }
        self.control: subprocess.Popen | None = None
        self.far: subprocess.Popen | None = None
        self.control_back_at = 0.0
        self.far_back_at = 0.0
        self.stopped: dict[int, float] = {}  # pid -> time at which it is continued
        self.jobs: dict[str, SubmittedJob] = {}
        self.counts: Counter[str] = Counter()
        self.api_client: ApiClient | None = None
        self.breaches: list[str] = []

    # Control service and agents

    def _spawn(self, *words: str, **more: str) -> subprocess.Popen:
        with open(self.directory / f"{words[0]}.log", "ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", "tidebend", *words],
                env={**self.environment, **more},
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    def start_control(self, fault: str = "", agent_fault: str = "") -> None:
        """Start the control service.

        `fault`: fault point at which it is killed; `agent_fault`: the same for the first agent that it starts.
        """
        self.control = self._spawn(
            "control",
            "--config",
            str(self.settings),
            "--data",
            str(self.data),
            TIDEBEND_FAULT=fault,
            TIDEBEND_AGENT_FAULT=agent_fault,
        )

    def _random_faults(self) -> tuple[str, str]:
        draw = self.random
        fault = f"{draw.choice(STORE_POINTS)}:{draw.randint(1, 60)}" if draw.random() < 0.4 else ""
        agent_fault = f"{draw.choice(AGENT_POINTS)}:{draw.randint(1, 6)}" if draw.random() < 0.4 else ""
        self.counts["faults armed"] += bool(fault) + bool(agent_fault)
        return fault, agent_fault

    def start_far(self) -> None:
        place = self.directory / "far"
        place.mkdir(exist_ok=True)
        path = place / "agent.hcl"
        path.write_text(
            f'control = "{(self.data / "address").read_text().strip()}"\n'
            f'key_file = "{self.data / "keys.json"}"\ndata = "{place}"\nkind = "far"\n'
        )
        self.far = self._spawn("agent", "--config", str(path))

    def _agent_pids(self) -> list[int]:
        """Return the pids of the agents that the control service started."""
        found = []
        for place in (self.data / "agents").glob("vm-*"):
            done = subprocess.run(["pgrep", "-f", f"agent --config {place}/agent.hcl"], capture_output=True, text=True)
            found += [int(pid) for pid in done.stdout.split()]
        return found

    def _send_signal(self, pid: int, number: int) -> None:
        try:
            os.kill(pid, number)
        except ProcessLookupError:
            return

    # Injected failures

    def inject_failure(self) -> None:
        now = time.monotonic()
        agents = self._agent_pids()
        kind = self.random.choice(
            [
                "control",
                "control",
                "agent",
                "agent",
                "both",
                "far",
                "stop agent",
                "stop far",
                "stop control",
                "all agents",
                "long",
            ]
        )
        self.counts[kind] += 1
        if kind in ("control", "both", "long") and self.control.poll() is None:
            self.control.kill()
            # "long": longer than the agents' lease, so that they end all their tasks.
            self.control_back_at = now + (self.random.uniform(0, 2.5) if kind != "long" else 1.5 * LEASE_S)
        if kind in ("agent", "both") and agents:
            self._send_signal(self.random.choice(agents), signal.SIGKILL)
        if kind == "all agents":
            for pid in agents:
                self._send_signal(pid, signal.SIGKILL)
        if kind == "far" and self.far.poll() is None:
            self.far.kill()
            self.far_back_at = now + self.random.uniform(0, 4.0)
        if kind.startswith("stop"):
            pid = {
                "stop agent": self.random.choice(agents) if agents else None,
                "stop far": self.far.pid,
                "stop control": self.control.pid,
            }[kind]
            if pid is not None:
                self._send_signal(pid, signal.SIGSTOP)
                most = 2.0 * LEASE_S if kind != "stop control" else 1.2 * LEASE_S
                self.stopped[pid] = now + self.random.uniform(0.2, most)

    def resume_and_restart(self) -> None:
        now = time.monotonic()
        for pid, until in list(self.stopped.items()):
            if now >= until:
                del self.stopped[pid]
                self._send_signal(pid, signal.SIGCONT)
        if self.control.poll() is not None and now >= self.control_back_at:
            self.start_control(*self._random_faults())
        if self.far.poll() is not None and now >= self.far_back_at:
            self.start_far()

    # Users

    def submit(self) -> None:
        draw = self.random
        kind = draw.choice(["array", "array", "array", "gang", "service", "chain"])
        script = TASK.replace("{seconds}", f"{draw.uniform(0.05, 1.5):.2f}" if kind != "service" else "600")
        script = script.replace("{trap}", draw.choice(["", "", "", "trap '' TERM"]))
        script = script.replace("{child}", draw.choice(["", "", "", "setsid sleep 30 &"]))
        tasks = {"array": draw.randint(1, 8), "gang": draw.randint(2, 4), "service": 2}.get(kind, 2)
        block = JobBlock(
            command=["sh", "-c", script],
            kind=kind if kind != "chain" else "array",
            tasks=tasks,
            cpus=draw.choice([0.2, 0.5, 1.0]),
            memory_gb=0.1,
            estimate_s=1.0,
            environment={"E": str(self.evidence)},
            priority=draw.choice(["low", "normal", "high"]) if kind != "service" else "production",
        )
        earlier = [name for name, row in self.jobs.items() if row.accepted and row.ready.description.kind != "service"][
            -5:
        ]
        dependencies = (draw.choice(earlier),) if kind == "chain" and earlier else ()
        name = new_job_id(kind)
        row = self.jobs[name] = SubmittedJob(
            JobSubmission(name, kind, block.spec(kind), block.description(), dependencies)
        )
        if kind == "service":
            row.cancel_at = time.monotonic() + draw.uniform(1.0, 6.0)
        elif draw.random() < 0.1:
            row.cancel_at = time.monotonic() + draw.uniform(0.0, 3.0)

    def poll_jobs(self) -> None:
        """Run one round: submit, cancel or poll each job without a final answer, and poll some that have one."""
        for name, row in self.jobs.items():
            try:
                if not row.accepted:
                    self.api_client.submit(row.ready)
                    row.accepted = True
                elif row.answers and row.answers[-1][1] in ("done", "cancelled") and self.random.random() > 0.02:
                    continue
                elif row.cancel_at is not None and row.cancelled_at is None and time.monotonic() >= row.cancel_at:
                    self._record_answer(row, self.api_client.cancel(name))
                    if row.answers[-1][1] == "cancelled":
                        row.cancelled_at = _uptime()
                else:
                    self._record_answer(row, self.api_client.job(name)["state"])
                self.counts["answers"] += 1
            except ControlServiceUnreachableError:
                self.counts["no answer"] += 1
                return  # the other requests would fail, too
            except RequestRejectedError as error:
                self.breaches.append(f"{name}: answered {error.status}: {error}")

    def _record_answer(self, row: SubmittedJob, state: str) -> None:
        row.answers.append((time.monotonic(), state))
        del row.answers[1:-2]

    def all_final(self) -> bool:
        return all(row.answers and row.answers[-1][1] in ("done", "cancelled") for row in self.jobs.values())

    # The run

    def start(self) -> None:
        """Start the control service with its agents, and one agent that is started separately."""
        self.start_control()
        while not (self.data / "address").exists():
            time.sleep(0.05)
        self.api_client = ApiClient(self.data, retry_for_s=0.0)
        self.start_far()

    def run(self, seconds: float, every_s: float = 2.0, busy: int = 12) -> None:
        self.start()
        end = time.monotonic() + seconds
        next_failure = time.monotonic() + 3.0
        last_progress = time.monotonic()
        while time.monotonic() < end:
            if time.monotonic() >= next_failure:
                self.inject_failure()
                next_failure = time.monotonic() + self.random.expovariate(1.0 / every_s)
            self.resume_and_restart()
            open_jobs = sum(
                1 for row in self.jobs.values() if not row.answers or row.answers[-1][1] not in ("done", "cancelled")
            )
            if open_jobs < busy:
                self.submit()
            self.poll_jobs()
            if time.monotonic() - last_progress > 30.0:
                last_progress = time.monotonic()
                self.say(f"{end - last_progress:.0f} s left: {len(self.jobs)} jobs, {dict(self.counts)}", flush=True)
            time.sleep(0.05)
        for row in self.jobs.values():  # services end by cancellation only
            if row.ready.description.kind == "service" and row.cancel_at is None:
                row.cancel_at = 0.0
        deadline = time.monotonic() + 60.0 + 10.0 * LEASE_S
        while not self.all_final() and time.monotonic() < deadline:
            self.resume_and_restart()
            self.poll_jobs()
            time.sleep(0.1)
        if not self.all_final():
            self.breaches += [
                f"{name}: no final answer ({row.answers[-1:] or 'not accepted'})"
                for name, row in self.jobs.items()
                if not row.answers or row.answers[-1][1] not in ("done", "cancelled")
            ]
        time.sleep(2 * REPORT_S)

    def stop(self) -> None:
        for pid in self.stopped:
            self._send_signal(pid, signal.SIGCONT)
        for process in (self.far, self.control):
            if process is not None and process.poll() is None:
                process.terminate()
                try:
                    process.wait(20.0)
                except subprocess.TimeoutExpired:
                    process.kill()
        # A control service killed just before the end cannot stop its agents.
        processes = AgentProcesses(self.data / "agents", "", self.data, 0.0, None)
        for place in (self.data / "agents").glob("vm-*"):
            processes.kill(place.name)

    # The checker

    def check(self) -> list[str]:
        """Return the broken rules found in all three sources."""
        found = list(self.breaches)
        ends: dict[str, int] = Counter()
        begins: dict[str, list[float]] = defaultdict(list)
        for line in (self.evidence / "log").read_text().splitlines():
            what, task, _, at = line.split()
            if what == "twice":
                found.append(f"{task}: two attempts ran at the same time, according to the task's lock")
            elif what == "begin":
                begins[task].append(float(at))
            else:
                ends[task] += 1
        for name, row in self.jobs.items():
            description = row.ready.description
            finals = {state for _, state in row.answers if state in ("done", "cancelled")}
            if len(finals) > 1:
                found.append(f"{name}: conflicting final answers {sorted(finals)}")
            if "done" in finals:
                found += [
                    f"{name}/{index}: answered done, but the task never ended"
                    for index in range(description.tasks)
                    if not ends[f"{name}/{index}"]
                ]
            if "cancelled" in finals and row.cancel_at is None and not row.ready.awaits:
                found.append(f"{name}: answered cancelled without a request")
            if row.cancelled_at is not None:
                found += [
                    f"{name}/{index}: began {at - row.cancelled_at:.1f} s after its cancellation"
                    for index in range(description.tasks)
                    for at in begins[f"{name}/{index}"]
                    if at > row.cancelled_at + CANCEL_S
                ]
        found += self._check_histories()
        self.counts["tasks begun"] = sum(len(rows) for rows in begins.values())
        self.counts["tasks ended"] = sum(ends.values())
        return found

    def _check_histories(self) -> list[str]:
        """Check in the agents' event logs that no two agents ran the same task at the same time."""
        spans: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        for place in [*(self.data / "agents").glob("vm-*"), self.directory / "far"]:
            open_since: dict[str, float] = {}
            rows = []
            for name in ("history.1.jsonl", "history.jsonl"):
                if (place / name).exists():
                    rows += [json.loads(line) for line in (place / name).read_text().splitlines()]
            for row in rows:
                if row["what"] == "begun":
                    open_since[row["task"]] = row["at"]
                elif row["what"] == "ended" and row["task"] in open_since:
                    spans[row["task"]].append((open_since.pop(row["task"]), row["at"], place.name))
                elif row["what"] == "session":
                    # The agent was killed and restarted: its tasks have ended at an unknown time.
                    open_since.clear()
        found = []
        for task, rows in spans.items():
            rows.sort()
            for (_, until, where), (since, _, other) in itertools.pairwise(rows):
                if since < until - 0.001:
                    found.append(f"{task}: ran on {where} and {other} at the same time, according to their event logs")
        return found


def _uptime() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--every", type=float, default=2.0, help="mean seconds between failures")
    parser.add_argument("--busy", type=int, default=12, help="number of unfinished jobs to keep")
    parser.add_argument("--dir", required=True, help="an empty directory")
    arguments = parser.parse_args()
    seed = arguments.seed if arguments.seed is not None else random.SystemRandom().randrange(10**6)
    print(f"seed {seed}", flush=True)
    loopback = Loopback(Path(arguments.dir).absolute(), seed)
    try:
        loopback.run(arguments.seconds, arguments.every, arguments.busy)
    finally:
        loopback.stop()
    found = loopback.check()
    states = Counter(row.answers[-1][1] if row.answers else "none" for row in loopback.jobs.values())
    print(
        json.dumps(
            {
                "seed": seed,
                "seconds": arguments.seconds,
                "jobs": len(loopback.jobs),
                "ended": states,
                "counts": loopback.counts,
                "breaches": found,
            },
            indent=1,
        )
    )
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
