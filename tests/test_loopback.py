"""Control service and agents as processes, killed at seeded random times and at each step of a start, end or cancel."""

import json
import os
import signal
import socket
import time
from pathlib import Path

import pytest

from tidebend.access import Keyring
from tidebend.client.api_client import ApiClient, ControlServiceUnreachableError
from tidebend.client.jobfile import JobBlock, JobSubmission, new_job_id
from tools.loopback import LEASE_S, TASK, Loopback, SubmittedJob


@pytest.mark.timeout(150)
def test_killed_at_random_moments_every_task_has_one_final_answer(tmp_path):
    loopback = Loopback(tmp_path, seed=5)
    try:
        loopback.run(15.0, every_s=1.5, busy=8)
    finally:
        loopback.stop()
    assert loopback.check() == []
    assert len(loopback.jobs) > 8
    assert loopback.counts["tasks ended"] > 20


def _add_job(loopback, kind, tasks, cancel_at=None, seconds="0.3", machines=()):
    script = TASK.replace("{seconds}", seconds).replace("{trap}", "").replace("{child}", "")
    block = JobBlock(
        command=["sh", "-c", script],
        kind=kind,
        tasks=tasks,
        cpus=0.5,
        estimate_s=1.0,
        environment={"E": str(loopback.evidence)},
        machines=list(machines),
    )
    name = new_job_id(kind)
    loopback.jobs[name] = SubmittedJob(
        JobSubmission(name, kind, block.spec(kind), block.description(), ()), cancel_at=cancel_at
    )


@pytest.mark.timeout(150)
def test_the_control_service_killed_at_each_step_of_a_start_an_end_and_a_cancel(tmp_path):
    loopback = Loopback(tmp_path, seed=1)
    try:
        loopback.start()
        loopback._random_faults = lambda: ("", "")
        killed = 0
        for step in range(1, 22, 2):
            loopback.control.kill()
            loopback.control.wait()
            loopback.start_control(fault=f"store.{'before' if step % 4 == 1 else 'after'}-commit:{step}")
            _add_job(loopback, "array", 2)
            _add_job(loopback, "gang", 2)
            _add_job(loopback, "array", 1, cancel_at=time.monotonic() + 0.4)
            deadline = time.monotonic() + 40.0
            while not loopback.all_final():
                assert time.monotonic() < deadline, f"step {step}: no end"
                killed += loopback.control.poll() is not None
                loopback.resume_and_restart()
                loopback.poll_jobs()
                time.sleep(0.03)
        assert killed > 5
    finally:
        loopback.stop()
    assert loopback.check() == []


def test_nobody_answers_where_nothing_runs(tmp_path):
    with pytest.raises(ControlServiceUnreachableError, match="tidebend up"):
        ApiClient(tmp_path)


def wait_until_stopped(pid):
    """Wait until all threads of a process have stopped."""
    deadline = time.monotonic() + 10.0
    tasks = Path(f"/proc/{pid}/task")
    while any((task / "stat").read_text().rpartition(")")[2].split()[0] != "T" for task in tasks.iterdir()):
        assert time.monotonic() < deadline
        time.sleep(0.001)


@pytest.mark.timeout(100)
def test_an_agent_that_stood_still_for_longer_than_its_lease_obeys_no_old_order(tmp_path):
    loopback = Loopback(tmp_path, seed=1)
    try:
        loopback.start()
        _add_job(loopback, "array", 1, seconds="7", machines=["far"])
        (name,) = loopback.jobs
        deadline = time.monotonic() + 30.0
        evidence = loopback.evidence / "log"
        while not evidence.exists() or "begin" not in evidence.read_text():
            loopback.poll_jobs()
            assert time.monotonic() < deadline
            time.sleep(0.05)
        (far,) = [row for row in loopback.api_client.agents() if row["kind"] == "far"]
        os.kill(loopback.far.pid, signal.SIGSTOP)
        # on a busy machine its threads run on for a moment, and then count the pause as silence of a connection that
        # hasn't authenticated yet
        wait_until_stopped(loopback.far.pid)
        stopped_at = time.monotonic()
        # a start command sent now; the agent reads it only after it continues, when it is stale
        key = Keyring(loopback.data / "keys.json").bearer_token()
        host, _, port = far["address"].rpartition(":")
        body = json.dumps(
            {"helm": 10**9, "watch": far["session"], "orders": [{"order": "start", "piece": f"{name}/0", "launch": 99}]}
        )
        connection = socket.create_connection((host, int(port)))
        connection.sendall(
            f"POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        while time.monotonic() - stopped_at < 1.6 * LEASE_S:
            # its silence proves nothing: the task is neither started elsewhere nor recorded as done
            loopback.poll_jobs()
            assert loopback.api_client.job(name)["state"] == "running"
            time.sleep(0.1)
        os.kill(loopback.far.pid, signal.SIGCONT)
        assert b" 409 " in connection.recv(1000).splitlines()[0]
        deadline = time.monotonic() + 30.0
        while not loopback.all_final():
            assert time.monotonic() < deadline
            loopback.poll_jobs()
            time.sleep(0.1)
        (now,) = [row for row in loopback.api_client.agents() if row["kind"] == "far"]
        # a later session, or another machine since it was asked to leave meanwhile
        assert now["machine"] > far["machine"] or now["session"] > far["session"]
    finally:
        loopback.stop()
    assert loopback.check() == []
    log = evidence.read_text().splitlines()
    assert [line.split()[0] for line in log if line.split()[2] != "99"] == ["begin", "begin", "end"]
    assert not any(line.split()[2] == "99" for line in log)


def test_the_checker_finds_what_it_looks_for(tmp_path):
    loopback = Loopback(tmp_path, seed=1)
    _add_job(loopback, "array", 2, cancel_at=1.0)
    _add_job(loopback, "array", 1)
    cancelled, done = loopback.jobs
    loopback.jobs[cancelled].answers = [(1.0, "cancelled")]
    loopback.jobs[cancelled].cancelled_at = 100.0
    loopback.jobs[done].answers = [(1.0, "done"), (2.0, "done")]
    log = loopback.evidence / "log"
    log.write_text(f"begin {done}/0 1 10.0\nend {done}/0 1 11.0\nbegin {cancelled}/1 1 99.0\n")
    assert loopback.check() == []
    log.write_text(f"begin {done}/0 1 10.0\nbegin {cancelled}/1 1 120.0\ntwice {cancelled}/1 2 0\n")
    loopback.jobs[done].answers.append((3.0, "cancelled"))
    for name, at in (("vm-1", 5.0), ("vm-2", 5.5)):
        place = loopback.data / "agents" / name
        place.mkdir(parents=True)
        (place / "history.jsonl").write_text(
            f'{{"what":"begun","at":{at},"task":"t/0","attempt":1}}\n'
            f'{{"what":"ended","at":{at + 1},"task":"t/0","attempt":1}}\n'
        )
    found = "\n".join(loopback.check())
    for word in (
        "two attempts ran at the same time",
        "the task never ended",
        "conflicting final answers ['cancelled', 'done']",
        "began 20.0 s after",
        "ran on vm-1 and vm-2 at the same time",
    ):
        assert word in found
