"""Both sides as real processes: killed by luck from a seed, and at each step of a start, an end and a cancellation."""

import time

import pytest

from tidebend.client.desk import Desk, NoControl
from tidebend.client.jobfile import JobBlock, Ready, new_id
from tools.loopback import TASK, Asked, Loopback


@pytest.mark.timeout(150)
def test_killed_at_random_moments_every_task_has_one_final_answer(tmp_path):
    loopback = Loopback(tmp_path, seed=5)
    try:
        loopback.run(15.0, every_s=1.5, busy=8)
    finally:
        loopback.end()
    assert loopback.check() == []
    assert len(loopback.asked) > 8 and loopback.counts["tasks ended"] > 20


def _ask(loopback, kind, tasks, cancel_at=None):
    script = TASK.replace("{seconds}", "0.3").replace("{trap}", "").replace("{child}", "")
    block = JobBlock(command=["sh", "-c", script], kind=kind, tasks=tasks, cpus=0.5, estimate_s=1.0)
    name = new_id(kind)
    loopback.asked[name] = Asked(Ready(name, kind, block.spec(kind), block.description(), ()), cancel_at=cancel_at)


@pytest.mark.timeout(150)
def test_the_control_service_killed_at_each_step_of_a_start_an_end_and_a_cancel(tmp_path):
    loopback = Loopback(tmp_path, seed=1)
    loopback.start_control()
    try:
        while not (loopback.data / "address").exists():
            time.sleep(0.05)
        loopback.desk = Desk(loopback.data, patience_s=0.0)
        loopback.start_far()
        loopback._some_fault = lambda: ("", "")
        killed = 0
        for step in range(1, 22, 2):
            loopback.control.kill()
            loopback.control.wait()
            loopback.start_control(fault=f"store.{'before' if step % 4 == 1 else 'after'}-commit:{step}")
            _ask(loopback, "array", 2)
            _ask(loopback, "gang", 2)
            _ask(loopback, "array", 1, cancel_at=time.monotonic() + 0.4)
            deadline = time.monotonic() + 40.0
            while not loopback.over():
                assert time.monotonic() < deadline, f"step {step}: no end"
                killed += loopback.control.poll() is not None
                loopback.tend()
                loopback.users()
                time.sleep(0.03)
        assert killed > 5
    finally:
        loopback.end()
    assert loopback.check() == []


def test_nobody_answers_where_nothing_runs(tmp_path):
    with pytest.raises(NoControl, match="tidebend up"):
        Desk(tmp_path)


def test_the_checker_finds_what_it_looks_for(tmp_path):
    loopback = Loopback(tmp_path, seed=1)
    _ask(loopback, "array", 2, cancel_at=1.0)
    _ask(loopback, "array", 1)
    cancelled, done = loopback.asked
    loopback.asked[cancelled].told = [(1.0, "cancelled")]
    loopback.asked[cancelled].cancelled_at = 100.0
    loopback.asked[done].told = [(1.0, "done"), (2.0, "done")]
    log = loopback.evidence / "log"
    log.write_text(f"begin {done}/0 1 10.0\nend {done}/0 1 11.0\nbegin {cancelled}/1 1 99.0\n")
    assert loopback.check() == []
    log.write_text(f"begin {done}/0 1 10.0\nbegin {cancelled}/1 1 120.0\ntwice {cancelled}/1 2 0\n")
    loopback.asked[done].told.append((3.0, "cancelled"))
    for name, at in (("vm-1", 5.0), ("vm-2", 5.5)):
        place = loopback.data / "agents" / name
        place.mkdir(parents=True)
        (place / "history.jsonl").write_text(f'{{"what":"begun","at":{at},"task":"t/0","attempt":1}}\n'
                                             f'{{"what":"ended","at":{at + 1},"task":"t/0","attempt":1}}\n')
    found = "\n".join(loopback.check())
    for word in ("ran twice", "never came to its end", "told ['cancelled', 'done']", "began 20.0 s after",
                 "on vm-1 and vm-2 at once"):
        assert word in found
